package logging

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// BenchmarkRoutineLine measures a routine line as large as that of a dispatch
// decision.
func BenchmarkRoutineLine(b *testing.B) {
	log, flush := NewAsync(io.Discard, "info", "test", "i1")
	defer flush()
	b.ReportAllocs()
	for b.Loop() {
		Routine(log, logrus.Fields{
			"request_id": "01M90HSGAGPB5Z2M4XQ519N5CQ", "service": "rota", "route": "/roster", "shift": "kovalam",
			"dc": "n1", "target": "rota-n1-1", "reason": "least loaded", "attempt": 1, "queued_ms": 0.0, "mode": "in time",
			"region": "", "objective_ms": 4998.969, "object": "", "wait_ms": 4999.0, "here_ms": 0.031, "version": uint64(11),
		}, "request dispatched")
	}
}
