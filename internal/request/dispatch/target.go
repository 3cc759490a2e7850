package dispatch

import (
	"time"
)

// Back-off of a target after failures.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// A target sheds when its slots are taken by somebody else; they are
	// free again within a few service times.
	shedBackoff = 20 * time.Millisecond
	// One failed response may be the request's fault.
	failuresBeforeBackoff = 3
)

// target is the dispatcher's own view of a target. Times are durations since
// the group's epoch.
type target struct {
	info           TargetInfo
	listed         bool // in the last SetTargets
	warmupStart    time.Duration
	quickResponses int // quick responses since warmFrom; they shorten the warm-up

	running []*Request // never longer than info.Slots, except after a shrink

	health health

	failures     int
	backoff      time.Duration
	backoffUntil time.Duration
	halfOpen     bool // after a back-off: one request until a response comes back
}

func (t *target) inFlight() int { return len(t.running) }

// open reports whether the target takes new requests, now or as soon as this
// dispatcher gets slots: after a takeover they may come a moment later.
func (t *target) accepting() bool { return t.listed && t.info.State == Active }

// usable reports whether the target takes new requests now.
func (t *target) usable() bool { return t.accepting() && t.info.Slots > 0 }

// limit returns how many requests may be in flight on t at time at.
func (t *target) limit(at time.Duration, s *Settings) int {
	if !t.usable() || at < t.backoffUntil {
		return 0
	}
	if t.halfOpen {
		return 1
	}
	return t.slowStartLimit(at, s)
}

// slots returns the hard limit of requests in flight.
func (t *target) slots(s *Settings) int {
	if s.Slots > 0 {
		return min(t.info.Slots, s.Slots)
	}
	return t.info.Slots
}

// goodPerSlot is the number of quick responses per slot that end the warm-up
// early.
const quickResponsesPerSlot = 16

// warmLimit returns the limit of the slow start, from 1 to the slots.
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

// observe updates the failure back-off.
func (t *target) observe(at time.Duration, result Result) {
	switch result {
	case OK:
		t.failures, t.backoff, t.halfOpen = 0, 0, false
	case Unreachable:
		t.startBackoff(at, minBackoff)
	case Shed:
		t.startBackoff(at, shedBackoff)
		t.halfOpen = false
	case Failed, ServerError:
		if t.failures++; t.failures >= failuresBeforeBackoff {
			t.startBackoff(at, minBackoff)
		}
	}
}

// takeOut starts a back-off. Failures of requests that were sent before the
// back-off began do not lengthen it.
func (t *target) startBackoff(at, minimum time.Duration) {
	if at < t.backoffUntil {
		return
	}
	t.backoff = min(max(2*t.backoff, minimum), maxBackoff)
	t.backoffUntil = at + t.backoff
	t.halfOpen = true
}
