package dispatch

import "time"

const (
	// coldShare of the rate that a cold target tolerates is used. Beside the
	// dispatcher of a pool, one that was cut off from the others may still take
	// itself for it, and targets bear half as much again as they state.
	coldRateShare = 0.7
	// coldFactor is how much longer a cold target is expected to run.
	coldSlowdown = 2
)

// coldLimit bounds the requests to a target that is cold, by their rate.
type coldLimiter struct {
	incarnation       int64
	reportedRemaining time.Duration // TargetInfo.ColdFor that until was computed from
	coldUntil         time.Duration
	rate              float64 // requests a second
	tokens            float64
	refilledAt        time.Duration
}

// note takes over what is known of a target's cold time. It is counted from
// when it was first told.
func (c *coldLimiter) update(at time.Duration, info TargetInfo) {
	c.rate = info.ColdRate * coldRateShare
	if c.incarnation == info.Incarnation && info.ColdRemaining == c.reportedRemaining {
		return
	}
	c.incarnation, c.reportedRemaining = info.Incarnation, info.ColdRemaining
	c.startCold(at, info.ColdRemaining)
}

// begin makes the target cold for a time; 0 makes it warm.
func (c *coldLimiter) startCold(at, duration time.Duration) {
	c.coldUntil, c.refilledAt, c.tokens = at+duration, at, 1
}

// cold reports whether the target is cold.
func (c *coldLimiter) isCold(at time.Duration) bool { return at < c.coldUntil && c.rate > 0 }

// allows reports whether the target may get a request now.
func (c *coldLimiter) allow(at time.Duration) bool {
	if !c.isCold(at) {
		return true
	}
	c.tokens = min(1, c.tokens+(at-c.refilledAt).Seconds()*c.rate)
	c.refilledAt = at
	return c.tokens >= 1
}

// spend notes a request that was started on the target.
func (c *coldLimiter) consume(at time.Duration) {
	if c.isCold(at) {
		c.tokens--
	}
}
