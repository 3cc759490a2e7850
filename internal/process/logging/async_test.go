package logging

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against log lines that are lost when the process ends.
func TestAsyncWritesEverything(t *testing.T) {
	var out bytes.Buffer
	log, flush := NewAsync(&out, "info", "test", "i1")
	for range 1000 {
		log.Info("line")
	}
	flush()
	if got := strings.Count(out.String(), "\n"); got != 1000 {
		t.Fatalf("%d lines written, want 1000", got)
	}
}
