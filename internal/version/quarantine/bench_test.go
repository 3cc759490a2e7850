package quarantine_test

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
)

// BenchmarkCheck measures what a request pays: without a suspect, and with one.
func BenchmarkCheck(b *testing.B) {
	r := quarantine.Request{Method: "GET", Destination: "nony93.example", Path: "/puje670/16/5e4b", Object: "16"}
	for name, suspects := range map[string]int{"no suspect": 0, "one suspect": 1, "full": quarantine.MaxSuspects} {
		b.Run(name, func(b *testing.B) {
			t, now := quarantine.NewTable("e"), time.Now()
			for f := range quarantine.Fingerprint(suspects) {
				t.Crashed(now, f, "t/1")
			}
			b.ReportAllocs()
			for b.Loop() {
				if t.Active() {
					t.Check(now, r.Fingerprint())
				}
			}
		})
	}
}
