package dispatch

import (
	"time"
)

// Parameters of the back-off of a target after failures.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// A target sheds requests when other dispatchers occupy its slots. The slots
	// are free again within a few service times, so this back-off is short.
	shedBackoff = 20 * time.Millisecond
	// A single failed response may be caused by the request.
	failuresBeforeBackoff = 3
)

// target is the state that a Group keeps about a target. Times are durations
// since the group's epoch.
type target struct {
	info           TargetInfo
	listed         bool // was in the last SetTargets call
	left           bool // its process has announced that it leaves
	warmupStart    time.Duration
	quickResponses int // quick responses since warmupStart; they shorten the slow start

	running []*Request // at most info.Slots requests, except after info.Slots was lowered

	health health

	failures     int
	backoff      time.Duration
	backoffUntil time.Duration
	halfOpen     bool // after a back-off: one request at a time until one succeeds or is shed
	// halfOpenSince is the end of the last request without success of a half-open
	// target, and startsWhenHalfOpen is Group.startCount at that time.
	halfOpenSince      time.Duration
	startsWhenHalfOpen int
}

func (t *target) inFlight() int { return len(t.running) }

// accepting reports whether the target takes new requests, now or as soon as
// this dispatcher gets slots. After a takeover of the group the slots may arrive
// later than the list of targets.
func (t *target) accepting() bool { return t.listed && t.info.State == Active && !t.left }

// usable reports whether the target takes new requests and this dispatcher has
// slots on it. A target in back-off is usable too; limit is 0 for it.
func (t *target) usable() bool { return t.accepting() && t.info.Slots > 0 }

// limit returns the number of requests that may be in flight on t now. It takes
// the back-off and the slow start into account.
func (t *target) limit(at time.Duration, s *Settings) int {
	if !t.usable() || at < t.backoffUntil {
		return 0
	}
	if t.halfOpen {
		return 1
	}
	return t.slowStartLimit(at, s)
}

// slots returns the hard limit of requests in flight on t.
func (t *target) slots(s *Settings) int {
	if s.Slots > 0 {
		return min(t.info.Slots, s.Slots)
	}
	return t.info.Slots
}

// quickResponsesPerSlot is the number of quick responses per slot that end the
// slow start early.
const quickResponsesPerSlot = 16

// slowStartLimit returns the limit of requests in flight during the slow start.
// It rises from 1 to the number of slots with time and with quick responses.
func (t *target) slowStartLimit(at time.Duration, s *Settings) int {
	n := t.slots(s)
	if s.Warmup <= 0 || t.info.HealthySince.IsZero() || n <= 1 {
		return n
	}
	progress := float64(at-t.warmupStart) / float64(s.Warmup)
	progress += float64(t.quickResponses) / float64(quickResponsesPerSlot*n)
	if progress >= 1 {
		return n
	}
	return 1 + int(max(progress, 0)*float64(n-1))
}

func (t *target) add(r *Request) {
	r.pos = len(t.running)
	t.running = append(t.running, r)
}

func (t *target) remove(r *Request) {
	last := len(t.running) - 1
	moved := t.running[last]
	t.running[r.pos] = moved
	moved.pos = r.pos
	t.running[last] = nil
	t.running = t.running[:last]
	r.pos = -1
}

// observe updates the failure count and the back-off from the result of a
// request.
func (t *target) observe(at time.Duration, result Result) {
	switch result {
	case OK:
		t.failures, t.backoff, t.halfOpen = 0, 0, false
	case Unreachable:
		t.startBackoff(at, minBackoff)
	case Shed:
		t.startBackoff(at, shedBackoff)
		t.halfOpen = false
	case Failed, ServerError, TimedOut, Overran:
		if t.failures++; t.failures >= failuresBeforeBackoff {
			t.startBackoff(at, minBackoff)
		}
	}
}

// startBackoff starts a back-off of minimum, or of twice the last back-off if
// that is longer and no request succeeded since, up to maxBackoff. Failures
// during a back-off do not lengthen it, because their requests were sent before
// it began.
func (t *target) startBackoff(at, minimum time.Duration) {
	if at < t.backoffUntil {
		return
	}
	t.backoff = min(max(2*t.backoff, minimum), maxBackoff)
	t.backoffUntil = at + t.backoff
	t.halfOpen = true
}
