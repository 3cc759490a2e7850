package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record collects what was sent, answered and run, and writes it to a file.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	runs  map[string][]run
}

// run is one run of a request at a backend.
type run struct {
	at      time.Duration
	backend *backend
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{start: time.Now(), file: f, runs: map[string][]run{}}, err
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a backend begins to work on a request.
func (r *record) ran(id string, b *backend, req *http.Request, body []byte) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], run{time.Since(r.start), b})
	n := len(r.runs[id])
	r.mu.Unlock()
	r.logf("run %s: %s %s (%d bytes) at %s of %s in %s (run %d of this request)", id, req.Method, req.RequestURI, len(body), b.id, b.service, b.zone, n)
}

// runsOf returns the runs of a request.
func (r *record) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs[id]...)
}
