package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	lowestLatency  = 1                                          // microseconds
	highestLatency = int64(10 * time.Minute / time.Microsecond) // microseconds
	precision      = 3                                          // significant digits
)

// results collects the results of a run. It is safe for concurrent use.
type results struct {
	settings *Settings

	mu            sync.Mutex
	routes        map[string]*tally
	all           *tally
	lookups       *hdrhistogram.Histogram
	lookupsFailed int64
	retries       int64
	maxStartDelay time.Duration // longest delay of a start behind its planned time
}

// tally holds the results of one route, or of all routes together.
type tally struct {
	latency        *hdrhistogram.Histogram // of complete, correct answers, measured from the planned start
	calls          int64
	ok             int64
	withinDeadline int64 // successful calls that ended within the deadline
	wrong          int64
	notSent        int64
	kinds          map[string]int64 // failed calls by error kind
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, precision)
}

func newTally() *tally { return &tally{latency: newHistogram(), kinds: map[string]int64{}} }

func newResults(s *Settings) *results {
	r := &results{settings: s, routes: map[string]*tally{}, all: newTally(), lookups: newHistogram()}
	for _, route := range s.Routes {
		r.routes[route.Name] = newTally()
	}
	return r
}

// add records the end of a call. began and ended are measured from the start
// of the run.
func (r *results) add(c *call, began, ended time.Duration, out outcome) {
	if c.at < r.settings.Warmup.AsDuration() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxStartDelay = max(r.maxStartDelay, began-c.at)
	for _, t := range []*tally{r.all, r.routes[c.route.Name]} {
		t.add(c, ended-c.at, out)
	}
}

func (t *tally) add(c *call, latency time.Duration, out outcome) {
	t.calls++
	if out.rec.Wrong != "" {
		t.wrong++
	}
	if out.rec.Kind != "" {
		t.kinds[out.rec.Kind]++
		return
	}
	t.ok++
	if latency <= c.route.Deadline.AsDuration() {
		t.withinDeadline++
	}
	_ = t.latency.RecordValue(clamp(latency))
}

func clamp(d time.Duration) int64 {
	return min(max(d.Microseconds(), lowestLatency), highestLatency)
}

// recordNotSent counts a call that was not started because max_in_flight calls
// were in flight.
func (r *results) recordNotSent(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.notSent++
	r.routes[c.route.Name].notSent++
}

func (r *results) recordRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries++
}

func (r *results) recordLookup(took time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		r.lookupsFailed++
		return
	}
	_ = r.lookups.RecordValue(clamp(took))
}

// corrected returns h with the latencies added that a closed loop did not
// measure while it waited for slow answers (coordinated omission). The median
// is taken as the expected interval between the calls of one worker.
func corrected(h *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	out := newHistogram()
	interval := max(h.ValueAtPercentile(50), 1)
	for _, bar := range h.Distribution() {
		if bar.Count == 0 {
			continue
		}
		for v := bar.To; v > 0; v -= interval {
			_ = out.RecordValues(v, bar.Count)
			if v < 2*interval {
				break
			}
		}
	}
	return out
}
