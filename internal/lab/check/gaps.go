package check

import (
	"maps"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// checkGaps finds periods without a complete answer on a route, between the
// first and the last attempt there.
func (c *checker) checkGaps() {
	byRoute := map[string][]journal.Caller{}
	for _, a := range c.callers {
		byRoute[a.Route] = append(byRoute[a.Route], a)
	}
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		longest, at := longestGap(byRoute[route])
		c.report.LongestGapMs = max(c.report.LongestGapMs, milliseconds(int64(longest)))
		if c.opts.MaxGap > 0 && longest > c.opts.MaxGap {
			c.addFinding(ServiceGap, "route %s got no whole answer for %s from %s on", route, longest, at.UTC().Format(time.RFC3339Nano))
		}
	}
}

// longestGap returns the longest period without a complete answer and when it
// began.
func longestGap(attempts []journal.Caller) (time.Duration, time.Time) {
	var done []int64
	first, last := attempts[0].Sent, attempts[0].Done
	for _, a := range attempts {
		first, last = min(first, a.Sent), max(last, a.Done)
		if a.Kind == "" && a.Wrong == "" {
			done = append(done, a.Done)
		}
	}
	slices.Sort(done)
	previous, longest, at := first, int64(0), first
	for _, t := range append(done, last) {
		if t-previous > longest {
			longest, at = t-previous, previous
		}
		previous = t
	}
	return time.Duration(longest), time.Unix(0, at)
}
