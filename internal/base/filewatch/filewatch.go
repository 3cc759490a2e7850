// Package filewatch detects changes of files without a goroutine: the caller
// checks for a change before it uses the files.
package filewatch

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// checkInterval is the least time between two reads of the file attributes.
const checkInterval = time.Second

// Watcher detects changes of a set of files by their modification times and sizes.
// It is not safe for concurrent use.
type Watcher struct {
	files         []string
	lastSignature string
	lastCheck     time.Time
}

// New returns a watcher that reports changes from the current state of the files.
func New(files ...string) *Watcher {
	return &Watcher{files: files, lastSignature: signature(files), lastCheck: time.Now()}
}

// Changed reports whether a file has changed since it last returned true, or
// since New. It reads the file attributes at most once per second and returns
// false in between.
func (w *Watcher) Changed(now time.Time) bool {
	if now.Sub(w.lastCheck) < checkInterval {
		return false
	}
	w.lastCheck = now
	sig := signature(w.files)
	if sig == w.lastSignature {
		return false
	}
	w.lastSignature = sig
	return true
}

// signature returns a text that differs if a modification time, a size or the
// error from reading them differs.
func signature(files []string) string {
	var b strings.Builder
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			fmt.Fprintf(&b, "%v;", err)
			continue
		}
		fmt.Fprintf(&b, "%d %d;", info.ModTime().UnixNano(), info.Size())
	}
	return b.String()
}
