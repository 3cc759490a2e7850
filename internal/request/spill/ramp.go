package spill

import (
	"sync"
	"time"
)

// The ramp of remote requests at the destination.
const (
	rampInitialLimit = 2.0 // requests in flight; enough to measure
	// rampRate grows the limit e-fold per second of good completions, so
	// that cold caches have seconds, not milliseconds, to fill.
	rampGrowthRate     = 1.0
	rampMaxCredit      = 100 * time.Millisecond // longest time that one completion credits
	rampDecreaseFactor = 0.5                    // on overload
	rampCooldown       = 100 * time.Millisecond // one halving per overload
	rampIdlePeriod     = 5 * time.Second        // the limit halves per so much idle time
)

// RampResult is how a remote request went at the destination.
type RampResult int

// The results.
const (
	OnTime     RampResult = iota // completed in time
	Neutral                      // says nothing, for example cancelled
	Overloaded                   // refused by the queue, shed or too late
)

// RemoteRamp limits the remote requests in flight of one dispatch group. It
// is safe for concurrent use.
//
// Invariant: no more requests are in flight than the limit at their
// admission, which is at most the slots of the group.
type RemoteRamp struct {
	mu           sync.Mutex
	limit        float64
	inFlight     int
	lastGrowth   time.Time // last growth
	lastDecrease time.Time // last halving
	lastActivity time.Time // last remote request
}

// NewRemoteRamp returns a ramp at its start.
func NewRemoteRamp(now time.Time) *RemoteRamp {
	return &RemoteRamp{limit: rampInitialLimit, lastGrowth: now, lastActivity: now}
}

// Admit admits a remote request, which must end with Done. slots are the
// usable slots of the group.
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

// Done ends an admitted request.
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

// grow raises the limit if the present one is in use.
func (r *RemoteRamp) grow(now time.Time, used float64) {
	credit := min(now.Sub(r.lastGrowth), rampMaxCredit)
	r.lastGrowth = now
	if used >= r.limit/2 && now.Sub(r.lastDecrease) >= rampCooldown {
		r.limit *= 1 + rampGrowthRate*credit.Seconds()
	}
}

func (r *RemoteRamp) decrease(now time.Time) {
	if now.Sub(r.lastDecrease) < rampCooldown {
		return
	}
	r.lastDecrease = now
	r.limit = max(1, r.limit*rampDecreaseFactor)
}

// decay lowers the limit after idle time.
func (r *RemoteRamp) decay(now time.Time) {
	for now.Sub(r.lastActivity) >= rampIdlePeriod && r.limit > rampInitialLimit {
		r.limit = max(rampInitialLimit, r.limit*rampDecreaseFactor)
		r.lastActivity = r.lastActivity.Add(rampIdlePeriod)
	}
	if r.inFlight == 0 && r.limit < rampInitialLimit && now.Sub(r.lastDecrease) >= rampIdlePeriod {
		r.limit = rampInitialLimit
	}
}

// Limit returns the present limit of remote requests in flight.
func (r *RemoteRamp) Limit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.limit)
}
