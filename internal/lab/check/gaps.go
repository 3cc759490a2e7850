package check

import (
	"slices"
	"time"
)

// gaps finds times without a whole answer, between the first attempt and the
// last.
func (c *checker) gaps() {
	if len(c.callers) == 0 {
		return
	}
	var done []int64
	first, last := c.callers[0].Sent, c.callers[0].Done
	for _, a := range c.callers {
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
	c.report.LongestGapMs = milliseconds(longest)
	if c.opts.MaxGap > 0 && longest > int64(c.opts.MaxGap) {
		c.find(Gap, "no whole answer for %s from %s on", time.Duration(longest), time.Unix(0, at).Format(time.RFC3339Nano))
	}
}
