package follow

import (
	"sync/atomic"
	"time"
)

const (
	// suspensionGap is the time without a step of the loop from which on the process
	// counts as suspended in between. The loop steps at least every beatInterval.
	suspensionGap = time.Second
	// resumeTimeout is how long after a suspension a source may take to confirm the
	// version: the time for another connection, and for the counter to advance on it.
	resumeTimeout = time.Second
)

// confirmation is what the handlers of requests read for each request. It takes no lock,
// because the follower holds its own while it builds a snapshot.
type confirmation struct {
	at atomic.Pointer[time.Time] // when the counter last confirmed the version in force; nil: never

	steppedAt atomic.Pointer[time.Time] // when the loop last ran; nil before Run
	resumedAt atomic.Pointer[time.Time] // end of the last suspension; nil: none
}

// confirm records that the counter confirmed the version in force when it advanced at
// advancedAt.
func (c *confirmation) confirm(advancedAt time.Time) { c.at.Store(&advancedAt) }

// confirmed reports whether the version in force was confirmed within freshnessWindow.
func (c *confirmation) confirmed(now time.Time) bool {
	at := c.at.Load()
	return at != nil && now.Sub(*at) < freshnessWindow
}

// step records that the loop runs. It returns how long the process was suspended, or 0
// if it was not.
func (c *confirmation) step(now time.Time) (suspended time.Duration) {
	if c.suspended(now) {
		suspended = now.Sub(*c.steppedAt.Load())
		c.resumedAt.Store(&now)
	}
	c.steppedAt.Store(&now)
	return suspended
}

// suspended reports whether the loop has not run for suspensionGap. A request may be
// handled before the loop runs again.
func (c *confirmation) suspended(now time.Time) bool {
	at := c.steppedAt.Load()
	return at != nil && now.Sub(*at) >= suspensionGap
}

// resuming returns the rest of resumeTimeout after a suspension, or 0.
func (c *confirmation) resuming(now time.Time) time.Duration {
	if c.suspended(now) {
		return resumeTimeout
	}
	if at := c.resumedAt.Load(); at != nil {
		return max(0, resumeTimeout-now.Sub(*at))
	}
	return 0
}

// Confirmed reports whether the counter confirmed the version in force within the last
// 1.5 s (freshnessWindow).
func (f *Follower) Confirmed() bool { return f.confirmation.confirmed(f.now()) }

// Resuming returns for how long a confirmation of the version can still be expected to
// follow the suspension that the process has just left, or 0. Without a confirmation by
// then, the process is cut off.
func (f *Follower) Resuming() time.Duration { return f.confirmation.resuming(f.now()) }

// recordStep records that the loop runs and logs a suspension of the process.
func (f *Follower) recordStep() {
	if suspended := f.confirmation.step(f.now()); suspended > 0 {
		f.cfg.Metrics.Counter("follow_suspensions").Inc(1)
		f.cfg.Log.WithField("suspended_ms", suspended.Milliseconds()).Warn("process was suspended")
	}
}
