package spill

import (
	"sync"
	"time"
)

// Parameters of RemoteRamp.
const (
	// rampInitialLimit is the first limit, in requests in flight. It is large
	// enough to measure completions.
	rampInitialLimit = 2.0
	// rampGrowthRate is the growth per second: the limit grows e-fold per second
	// of completions in time, so that cold caches have seconds and not
	// milliseconds to fill.
	rampGrowthRate     = 1.0
	rampMaxCredit      = 100 * time.Millisecond // longest time that one completion is credited with
	rampDecreaseFactor = 0.5                    // applied to the limit on overload
	rampCooldown       = 100 * time.Millisecond // between two decreases, so that one overload causes one
	rampIdlePeriod     = 5 * time.Second        // the limit is halved after each such period without requests
)

// RampResult is the result of a remote request at the destination.
type RampResult int

// The results.
const (
	OnTime     RampResult = iota // completed in time
	Neutral                      // no evidence of the load, for example cancelled
	Overloaded                   // refused by the queue, shed or completed too late
)

// RemoteRamp limits the requests from elsewhere that are in flight in one
// dispatch group. The limit starts low and grows with completions in time, so
// that a sudden move of traffic does not overload the group. It is safe for
// concurrent use.
//
// Invariant: when a request is admitted, the number of requests in flight
// including it does not exceed the limit, which is at most the slots of the
// group.
type RemoteRamp struct {
	mu           sync.Mutex
	limit        float64
	inFlight     int
	lastGrowth   time.Time // last completion in time, whether or not the limit grew
	lastDecrease time.Time // last decrease on overload
	lastActivity time.Time // last admission or end of a remote request
}

// NewRemoteRamp returns a ramp with the initial limit.
func NewRemoteRamp(now time.Time) *RemoteRamp {
	return &RemoteRamp{limit: rampInitialLimit, lastGrowth: now, lastActivity: now}
}

// Admit reports whether a remote request may run now. Each admitted request must
// end with Done. slots is the number of usable slots of the group.
func (r *RemoteRamp) Admit(now time.Time, slots int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	r.limit = min(r.limit, max(1, float64(slots)))
	if r.inFlight >= slots || float64(r.inFlight+1) > r.limit {
		return false
	}
	r.inFlight++
	r.lastActivity = now
	return true
}

// Done records the end of an admitted request and adjusts the limit.
func (r *RemoteRamp) Done(now time.Time, res RampResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	used := float64(r.inFlight)
	r.inFlight--
	r.lastActivity = now
	switch res {
	case OnTime:
		r.grow(now, used)
	case Overloaded:
		r.decrease(now)
	}
}

// grow raises the limit if at least half of it is in use and no decrease
// happened within rampCooldown.
func (r *RemoteRamp) grow(now time.Time, used float64) {
	credit := min(now.Sub(r.lastGrowth), rampMaxCredit)
	r.lastGrowth = now
	if used >= r.limit/2 && now.Sub(r.lastDecrease) >= rampCooldown {
		r.limit *= 1 + rampGrowthRate*credit.Seconds()
	}
}

// decrease lowers the limit, at most once per rampCooldown and not below 1.
func (r *RemoteRamp) decrease(now time.Time) {
	if now.Sub(r.lastDecrease) < rampCooldown {
		return
	}
	r.lastDecrease = now
	r.limit = max(1, r.limit*rampDecreaseFactor)
}

// decay moves the limit back towards rampInitialLimit after idle time, from
// above and from below.
func (r *RemoteRamp) decay(now time.Time) {
	for now.Sub(r.lastActivity) >= rampIdlePeriod && r.limit > rampInitialLimit {
		r.limit = max(rampInitialLimit, r.limit*rampDecreaseFactor)
		r.lastActivity = r.lastActivity.Add(rampIdlePeriod)
	}
	if r.inFlight == 0 && r.limit < rampInitialLimit && now.Sub(r.lastDecrease) >= rampIdlePeriod {
		r.limit = rampInitialLimit
	}
}

// Limit returns the current limit of remote requests in flight, rounded down.
func (r *RemoteRamp) Limit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.limit)
}
