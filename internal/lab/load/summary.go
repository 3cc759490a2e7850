package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is the result of a run.
type Summary struct {
	Mode            Mode              `json:"mode"`
	Loop            string            `json:"loop"` // open or closed
	Seed            uint64            `json:"seed"`
	Seconds         float64           `json:"seconds"` // measured time without the warm-up
	All             Totals            `json:"all"`
	Routes          map[string]Totals `json:"routes"`
	Retries         int64             `json:"retries"`
	Lookups         int64             `json:"lookups"`
	LookupsPerS     float64           `json:"lookups_per_second"`
	LookupsFailed   int64             `json:"lookups_failed"`
	LookupLatency   Latency           `json:"lookup_latency"`
	MaxStartDelayMs float64           `json:"latest_start_ms"` // longest delay of a start behind its planned time
}

// Totals is the result of one route, or of all routes together.
type Totals struct {
	Calls      int64            `json:"calls"`
	OK         int64            `json:"ok"`
	Wrong      int64            `json:"wrong"` // answers that were received completely but are wrong
	NotSent    int64            `json:"not_sent"`
	Kinds      map[string]int64 `json:"kinds"`         // failed calls by error kind
	Throughput float64          `json:"throughput"`    // ended calls a second
	Goodput    float64          `json:"goodput"`       // correct answers within the deadline a second
	Latency    Latency          `json:"latency"`       // of correct answers, corrected for coordinated omission
	Raw        *Latency         `json:"raw,omitempty"` // uncorrected latency; closed loop only
}

// Latency is a distribution, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Latency{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}

// summary returns the summary of a run that took elapsed.
func (r *results) summary(elapsed time.Duration) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	seconds := (min(elapsed, r.settings.Duration.AsDuration()) - r.settings.Warmup.AsDuration()).Seconds()
	closed := r.settings.Workers > 0
	out := Summary{
		Mode:            r.settings.Mode,
		Loop:            "open",
		Seed:            r.settings.Seed,
		Seconds:         seconds,
		All:             r.all.totals(seconds, closed),
		Routes:          map[string]Totals{},
		Retries:         r.retries,
		Lookups:         r.lookups.TotalCount(),
		LookupsPerS:     float64(r.lookups.TotalCount()) / elapsed.Seconds(),
		LookupsFailed:   r.lookupsFailed,
		LookupLatency:   latencyOf(r.lookups),
		MaxStartDelayMs: float64(r.maxStartDelay.Microseconds()) / 1000,
	}
	if closed {
		out.Loop = "closed"
	}
	for name, t := range r.routes {
		out.Routes[name] = t.totals(seconds, closed)
	}
	return out
}

func (t *tally) totals(seconds float64, closed bool) Totals {
	p := Totals{
		Calls:      t.calls,
		OK:         t.ok,
		Wrong:      t.wrong,
		NotSent:    t.notSent,
		Kinds:      t.kinds,
		Throughput: float64(t.calls) / seconds,
		Goodput:    float64(t.withinDeadline) / seconds,
		Latency:    latencyOf(t.latency),
	}
	if closed {
		raw := p.Latency
		p.Raw = &raw
		p.Latency = latencyOf(corrected(t.latency))
	}
	return p
}

// Print writes the summary as text.
func (s Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "mode %s, %s loop, seed %d, %.2f s\n", s.Mode, s.Loop, s.Seed, s.Seconds)
	if s.Mode != LookupsOnly {
		fmt.Fprintf(w, "%-24s %8s %8s %6s %9s %9s %9s %9s %9s %9s %9s\n", "route",
			"calls", "ok", "wrong", "call/s", "good/s", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms")
		s.All.print(w, "all")
		for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
			s.Routes[name].print(w, name)
		}
		for _, kind := range slices.Sorted(maps.Keys(s.All.Kinds)) {
			fmt.Fprintf(w, "ended with %s: %d\n", kind, s.All.Kinds[kind])
		}
		fmt.Fprintf(w, "retries: %d; not sent: %d; latest start: %.3f ms behind the plan\n", s.Retries, s.All.NotSent, s.MaxStartDelayMs)
	}
	if s.Mode != Direct {
		l := s.LookupLatency
		fmt.Fprintf(w, "look-ups: %d (%.1f/s), %d failed, p50 %.3f p90 %.3f p99 %.3f p99.9 %.3f max %.3f ms\n",
			s.Lookups, s.LookupsPerS, s.LookupsFailed, l.P50, l.P90, l.P99, l.P999, l.Max)
	}
}

func (p Totals) print(w io.Writer, name string) {
	l := p.Latency
	fmt.Fprintf(w, "%-24s %8d %8d %6d %9.1f %9.1f %9.3f %9.3f %9.3f %9.3f %9.3f\n", name,
		p.Calls, p.OK, p.Wrong, p.Throughput, p.Goodput, l.P50, l.P90, l.P99, l.P999, l.Max)
}
