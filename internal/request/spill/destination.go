package spill

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// Result is how a request sent to another data centre ended.
type Result int

// The results.
const (
	Completed   Result = iota // a response of the target came back
	Refused                   // the destination rejected the request as not run
	Unreachable               // no connection to the destination
	NoResponse                // sent, but no response came
)

// Outcome is what an entry learned from a request to another data centre.
type Outcome struct {
	Result     Result
	RoundTrip  time.Duration  // network only; 0: not measured
	Run        time.Duration  // at the destination without its queue; 0: unknown
	Load       *dispatch.Load // in the answer or refusal; nil: none
	RetryAfter time.Duration  // of a refusal; 0: none
}

// Back-off from a destination after refusals.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
	maxDoublings = 7 // doublings until maxBackoff
)

// Remembered loads and measurements.
const (
	loadHalfLife    = 2 * time.Second  // of a remembered wait
	loadLifetime    = 10 * time.Second // then it says nothing
	smoothingFactor = 0.2              // of a new measurement
)

// place is what is remembered of a service in a data centre.
type destination struct {
	lastUsed       time.Time // last observation
	runTime        time.Duration
	wait           time.Duration
	waitObservedAt time.Time
	draining       bool

	failures     int
	backoffUntil time.Time
}

func movingAverage(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + time.Duration(smoothingFactor*float64(v-old))
}

func (p *destination) observe(now time.Time, o Outcome, random float64) {
	p.lastUsed = now
	if o.Run > 0 {
		p.runTime = movingAverage(p.runTime, o.Run)
	}
	if o.Load != nil {
		p.wait, p.waitObservedAt, p.draining = o.Load.ExpectedWait, now, o.Load.Draining
	}
	if o.Result == Completed {
		p.failures, p.backoffUntil = 0, time.Time{}
		return
	}
	p.backOff(now, o.RetryAfter, random)
}

// backOff keeps away from the place: twice as long after each refusal, at
// least RetryAfter, and with jitter so that senders do not return in step.
// Refusals of requests that were sent before the back-off do not lengthen it.
func (p *destination) backOff(now time.Time, retryAfter time.Duration, random float64) {
	if now.Before(p.backoffUntil) {
		return
	}
	wait := min(firstBackoff<<min(p.failures, maxDoublings), maxBackoff)
	p.failures++
	wait = max(wait, min(retryAfter, maxBackoff))
	p.backoffUntil = now.Add(wait + time.Duration(random*float64(wait)))
}

// expectedWait returns the remembered wait, which counts less with age.
func (p *destination) expectedWait(now time.Time) time.Duration {
	age := now.Sub(p.waitObservedAt)
	if p.waitObservedAt.IsZero() || age >= loadLifetime {
		return 0
	}
	w := p.wait
	for ; age >= loadHalfLife; age -= loadHalfLife {
		w /= 2
	}
	return w - time.Duration(float64(w)/2*float64(age)/float64(loadHalfLife))
}

// open reports whether the place may get requests now.
func (p *destination) available(now time.Time) bool {
	if now.Before(p.backoffUntil) {
		return false
	}
	return !p.draining || now.Sub(p.waitObservedAt) >= loadHalfLife
}
