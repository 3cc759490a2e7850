package spill

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// Result is the result of a request sent to another data centre or region.
type Result int

// The results.
const (
	Completed   Result = iota // a target responded
	Refused                   // the destination refused the request without running it
	Unreachable               // no connection to the destination
	NoResponse                // the request was sent, but no response arrived
)

// Outcome holds what an entry observed about a request to another data centre
// or region.
type Outcome struct {
	Result     Result
	RoundTrip  time.Duration  // network time only; 0: not measured
	Run        time.Duration  // running time at the destination without queueing; 0: unknown
	Load       *dispatch.Load // load reported with the response or refusal; nil: none
	RetryAfter time.Duration  // wait requested by a refusal; 0: none
}

// Back-off from a destination after refusals and failures.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
	maxDoublings = 7 // enough doublings to reach maxBackoff without overflow
)

// Ageing of reported loads and smoothing of measurements.
const (
	loadHalfLife    = 2 * time.Second  // time in which a reported wait loses half its value
	loadLifetime    = 10 * time.Second // age from which a reported wait is ignored
	smoothingFactor = 0.2              // weight of a new measurement
)

// destination holds the observations about a service in another data centre or
// region.
type destination struct {
	lastUsed       time.Time     // last observation, for eviction
	runTime        time.Duration // moving average; 0: unknown
	wait           time.Duration // last reported wait for a slot
	waitObservedAt time.Time
	draining       bool

	failures     int // back-offs since the last completed request
	backoffUntil time.Time
}

// movingAverage returns the exponentially weighted moving average after the
// measurement v. The first measurement is taken as it is.
func movingAverage(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + time.Duration(smoothingFactor*float64(v-old))
}

// observe updates the destination with an outcome. random, in [0, 1), gives the
// jitter of a back-off.
func (d *destination) observe(now time.Time, o Outcome, random float64) {
	d.lastUsed = now
	if o.Run > 0 {
		d.runTime = movingAverage(d.runTime, o.Run)
	}
	if o.Load != nil {
		d.wait, d.waitObservedAt, d.draining = o.Load.ExpectedWait, now, o.Load.Draining
	}
	if o.Result == Completed {
		d.failures, d.backoffUntil = 0, time.Time{}
		return
	}
	d.backOff(now, o.RetryAfter, random)
}

// backOff starts a back-off. Its length doubles with each one, is at least
// retryAfter (up to maxBackoff), and gets jitter so that senders do not return
// all at the same time. Failures that arrive during a back-off belong to
// requests sent before it and do not lengthen it.
func (d *destination) backOff(now time.Time, retryAfter time.Duration, random float64) {
	if now.Before(d.backoffUntil) {
		return
	}
	wait := min(firstBackoff<<min(d.failures, maxDoublings), maxBackoff)
	d.failures++
	wait = max(wait, min(retryAfter, maxBackoff))
	d.backoffUntil = now.Add(wait + time.Duration(random*float64(wait)))
}

// expectedWait returns the last reported wait, reduced with its age: halved per
// loadHalfLife, linear in between, and 0 from loadLifetime on.
func (d *destination) expectedWait(now time.Time) time.Duration {
	age := now.Sub(d.waitObservedAt)
	if d.waitObservedAt.IsZero() || age >= loadLifetime {
		return 0
	}
	w := d.wait
	for ; age >= loadHalfLife; age -= loadHalfLife {
		w /= 2
	}
	return w - time.Duration(float64(w)/2*float64(age)/float64(loadHalfLife))
}

// available reports whether the destination may get requests now: it is not in
// back-off, and was not reported as draining within loadHalfLife.
func (d *destination) available(now time.Time) bool {
	if now.Before(d.backoffUntil) {
		return false
	}
	return !d.draining || now.Sub(d.waitObservedAt) >= loadHalfLife
}
