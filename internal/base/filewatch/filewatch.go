// Package filewatch notices that files have changed, without a goroutine: the
// user of the files asks before each use.
package filewatch

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// checkInterval bounds how often the files are looked at.
const checkInterval = time.Second

// Watch notices changes of a set of files by modification time and size. It is not
// safe for concurrent use.
type Watcher struct {
	files         []string
	lastSignature string
	lastCheck     time.Time
}

// New returns a watch on the files in their present state.
func New(files ...string) *Watcher {
	return &Watcher{files: files, lastSignature: signature(files), lastCheck: time.Now()}
}

// Changed reports whether a file has changed since it last returned true, or
// since New. It looks at most once per second.
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
