package dispatch

import "time"

const (
	// coldShare of the rate that a cold target tolerates is used. Beside the
	// dispatcher of a pool, one that was cut off from the others may still take
	// itself for it, and targets bear half as much again as they state.
	coldShare = 0.7
	// coldFactor is how much longer a cold target is expected to run.
	coldFactor = 2
)

// coldLimit bounds the requests to a target that is cold, by their rate.
type coldLimit struct {
	incarnation int64
	told        time.Duration // TargetInfo.ColdFor that until was computed from
	until       time.Duration
	rate        float64 // requests a second
	tokens      float64
	filled      time.Duration
}

// note takes over what is known of a target's cold time. It is counted from
// when it was first told.
func (c *coldLimit) note(at time.Duration, info TargetInfo) {
	c.rate = info.ColdRate * coldShare
	if c.incarnation == info.Incarnation && info.ColdFor == c.told {
		return
	}
	c.incarnation, c.told = info.Incarnation, info.ColdFor
	c.begin(at, info.ColdFor)
}

// begin makes the target cold for a time; 0 makes it warm.
func (c *coldLimit) begin(at, lasting time.Duration) {
	c.until, c.filled, c.tokens = at+lasting, at, 1
}

// cold reports whether the target is cold.
func (c *coldLimit) cold(at time.Duration) bool { return at < c.until && c.rate > 0 }

// allows reports whether the target may get a request now.
func (c *coldLimit) allows(at time.Duration) bool {
	if !c.cold(at) {
		return true
	}
	c.tokens = min(1, c.tokens+(at-c.filled).Seconds()*c.rate)
	c.filled = at
	return c.tokens >= 1
}

// spend notes a request that was started on the target.
func (c *coldLimit) spend(at time.Duration) {
	if c.cold(at) {
		c.tokens--
	}
}
