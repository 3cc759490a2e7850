package dispatch

import "time"

const (
	// coldRateShare is the part of the rate tolerated by a cold target that this
	// dispatcher uses. A second entry that is partitioned from the others may
	// still consider itself the dispatcher of the pool and send requests as well.
	// Targets tolerate 1.5 times the rate that they state, so two dispatchers at
	// 0.7 each stay below it.
	coldRateShare = 0.7
	// coldSlowdown is the expected running time on a cold target relative to a
	// warm one.
	coldSlowdown = 2
)

// coldLimiter is a token bucket with a capacity of one token that limits the
// rate of requests to a target while it is cold.
type coldLimiter struct {
	incarnation       int64
	reportedRemaining time.Duration // TargetInfo.ColdRemaining from which coldUntil was computed
	coldUntil         time.Duration
	rate              float64 // requests per second
	tokens            float64
	refilledAt        time.Duration
}

// update takes over the rate and the remaining cold time from info. The cold
// time counts from the first call with this incarnation and this value, so that
// repeated calls do not extend it.
func (c *coldLimiter) update(at time.Duration, info TargetInfo) {
	c.rate = info.ColdRate * coldRateShare
	if c.incarnation == info.Incarnation && info.ColdRemaining == c.reportedRemaining {
		return
	}
	c.incarnation, c.reportedRemaining = info.Incarnation, info.ColdRemaining
	c.startCold(at, info.ColdRemaining)
}

// startCold makes the target cold for the given duration; 0 makes it warm.
func (c *coldLimiter) startCold(at, duration time.Duration) {
	c.coldUntil, c.refilledAt, c.tokens = at+duration, at, 1
}

// isCold reports whether the target is cold.
func (c *coldLimiter) isCold(at time.Duration) bool { return at < c.coldUntil && c.rate > 0 }

// allow refills the bucket and reports whether the target may get a request now.
func (c *coldLimiter) allow(at time.Duration) bool {
	if !c.isCold(at) {
		return true
	}
	c.tokens = min(1, c.tokens+(at-c.refilledAt).Seconds()*c.rate)
	c.refilledAt = at
	return c.tokens >= 1
}

// consume takes one token for a request that was started on the target.
func (c *coldLimiter) consume(at time.Duration) {
	if c.isCold(at) {
		c.tokens--
	}
}
