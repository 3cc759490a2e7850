package kit

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the record of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{f: f, start: time.Now()}, nil
}

// Printf adds a line with the seconds since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Since returns the time since the start.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Close closes the file.
func (r *Record) Close() { r.f.Close() }
