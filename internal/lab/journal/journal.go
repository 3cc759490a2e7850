// Package journal defines the records that stand-in targets and the load
// generator append to their journals, in the JSON Lines format. Each record is
// written by a single write call, so that the journal of a killed process ends
// with a complete record.
package journal

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Event is the kind of a target record.
type Event string

// The events of a target's journal.
const (
	Start    Event = "start"   // a request took a slot
	Finish   Event = "finish"  // a request released its slot
	Shed     Event = "shed"    // a request was rejected because every slot was taken
	Refuse   Event = "refuse"  // a connection over the limit was closed
	Leaving  Event = "leaving" // the target must get no new requests from now on
	Returned Event = "back"    // the target may get new requests again
	Cold     Event = "cold"    // the target simulated a cold start
	Pause    Event = "pause"   // a request was turned away with the announcement that the target wants none for a while
	Probe    Event = "probe"   // a probe arrived within such a pause
)

// IsArrival reports whether the event is the arrival of a request or a probe.
func (e Event) IsArrival() bool { return e == Start || e == Shed || e == Pause || e == Probe }

// Target is one record of a target's journal.
type Target struct {
	Time       int64  `json:"time"` // Unix time, nanoseconds
	Event      Event  `json:"event"`
	Target     string `json:"target"`
	Run        int64  `json:"run,omitempty"`  // start time of the target's process, nanoseconds
	Seq        int64  `json:"seq,omitempty"`  // identifies a request in its start and finish records; unique within a run
	Call       string `json:"call,omitempty"` // identifier that the load generator gave the call
	Attempt    int    `json:"attempt,omitempty"`
	RequestID  string `json:"request_id,omitempty"`
	Key        string `json:"key,omitempty"`
	Shift      string `json:"shift,omitempty"`
	Method     string `json:"method,omitempty"`
	URI        string `json:"uri,omitempty"`
	BodyBytes  int64  `json:"body_bytes,omitempty"`
	DeadlineMs int64  `json:"deadline_ms,omitempty"`
	InProgress int    `json:"in_progress"` // requests in progress after the event
	Slots      int    `json:"slots"`
	Cancelled  bool   `json:"cancelled,omitempty"` // the caller cancelled the request or closed its connection
	Expired    bool   `json:"expired,omitempty"`   // the deadline passed during the work
	Fault      string `json:"fault,omitempty"`     // injected fault; empty if none
	PauseMs    int64  `json:"pause_ms,omitempty"`  // announced pause; 0 if the announcement has no valid length
}

// Caller is one record of the load generator's journal: one attempt at a call.
type Caller struct {
	Call       string `json:"call"`
	Service    string `json:"service"`
	Route      string `json:"route"`
	Shift      string `json:"shift"`
	Key        string `json:"key,omitempty"`
	Attempt    int    `json:"attempt"` // from 1
	Entry      string `json:"entry"`
	Intended   int64  `json:"intended"` // planned start, Unix time in nanoseconds
	Sent       int64  `json:"sent"`
	Done       int64  `json:"done"`
	Status     int    `json:"status"`
	Kind       string `json:"kind,omitempty"` // error kind of the answer, or a caller_ kind that the load generator assigned; empty for a success
	DidRun     string `json:"did_run,omitempty"`
	RequestID  string `json:"request_id,omitempty"`
	BodyBytes  int64  `json:"body_bytes,omitempty"` // bytes sent
	AnswerSize int    `json:"answer_bytes"`
	Wrong      string `json:"wrong,omitempty"` // defect of an answer that was received completely
	Detail     string `json:"detail,omitempty"`
	Last       bool   `json:"last"` // whether this is the last attempt at the call
}

// Writer appends records to a journal. It is safe for concurrent use.
type Writer struct {
	mu   sync.Mutex
	file *os.File
	err  error
}

// Open opens the journal at path for appending. An empty path gives a writer
// that discards its records.
func Open(path string) (*Writer, error) {
	if path == "" {
		return &Writer{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	return &Writer{file: f}, nil
}

// Append writes one record. Close returns the first error of all appends.
func (w *Writer) Append(record any) {
	if w.file == nil {
		return
	}
	line, err := json.Marshal(record)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		_, err = w.file.Write(append(line, '\n'))
	}
	if w.err == nil {
		w.err = err
	}
}

// Close closes the journal and returns the first error of any Append.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.file.Close(); w.err == nil {
		w.err = err
	}
	return w.err
}

// Read returns the records of the journal at path. It fails at a line that is
// not valid JSON.
func Read[T any](path string) ([]T, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read journal: %w", err)
	}
	defer f.Close()
	var out []T
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, 1<<20)
	for line := 1; sc.Scan(); line++ {
		var rec T
		if err := json.Unmarshal(sc.Bytes(), &rec); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		out = append(out, rec)
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read journal %s: %w", path, err)
	}
	return out, nil
}

// Now returns the current time in the unit of the records, Unix nanoseconds.
func Now() int64 { return time.Now().UnixNano() }
