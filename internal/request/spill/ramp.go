package spill

import (
	"sync"
	"time"
)

// The ramp of remote requests at the destination.
const (
	rampStart = 2.0 // requests in flight; enough to measure
	// rampRate grows the limit e-fold per second of good completions, so
	// that cold caches have seconds, not milliseconds, to fill.
	rampRate   = 1.0
	rampStep   = 100 * time.Millisecond // longest time that one completion credits
	rampHalve  = 0.5                    // on overload
	rampSettle = 100 * time.Millisecond // one halving per overload
	rampIdle   = 5 * time.Second        // the limit halves per so much idle time
)

// RampResult is how a remote request went at the destination.
type RampResult int

// The results.
const (
	Good       RampResult = iota // completed in time
	Neutral                      // says nothing, for example cancelled
	Overloaded                   // refused by the queue, shed or too late
)

// RemoteRamp limits the remote requests in flight of one dispatch group. It
// is safe for concurrent use.
//
// Invariant: no more requests are in flight than the limit at their
// admission, which is at most the slots of the group.
type RemoteRamp struct {
	mu       sync.Mutex
	limit    float64
	inFlight int
	grown    time.Time // last growth
	shrunk   time.Time // last halving
	active   time.Time // last remote request
}

// NewRemoteRamp returns a ramp at its start.
func NewRemoteRamp(now time.Time) *RemoteRamp {
	return &RemoteRamp{limit: rampStart, grown: now, active: now}
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
	r.active = now
	return true
}

// Done ends an admitted request.
func (r *RemoteRamp) Done(now time.Time, res RampResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	used := float64(r.inFlight)
	r.inFlight--
	r.active = now
	switch res {
	case Good:
		r.grow(now, used)
	case Overloaded:
		r.shrink(now)
	}
}

// grow raises the limit if the present one is in use.
func (r *RemoteRamp) grow(now time.Time, used float64) {
	credit := min(now.Sub(r.grown), rampStep)
	r.grown = now
	if used >= r.limit/2 && now.Sub(r.shrunk) >= rampSettle {
		r.limit *= 1 + rampRate*credit.Seconds()
	}
}

func (r *RemoteRamp) shrink(now time.Time) {
	if now.Sub(r.shrunk) < rampSettle {
		return
	}
	r.shrunk = now
	r.limit = max(1, r.limit*rampHalve)
}

// decay lowers the limit after idle time.
func (r *RemoteRamp) decay(now time.Time) {
	for now.Sub(r.active) >= rampIdle && r.limit > rampStart {
		r.limit = max(rampStart, r.limit*rampHalve)
		r.active = r.active.Add(rampIdle)
	}
	if r.inFlight == 0 && r.limit < rampStart && now.Sub(r.shrunk) >= rampIdle {
		r.limit = rampStart
	}
}

// Limit returns the present limit of remote requests in flight.
func (r *RemoteRamp) Limit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.limit)
}
