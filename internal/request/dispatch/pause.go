package dispatch

import "time"

// Pause is a target that wants no requests from the entry that asks for a slot.
type Pause struct {
	Target Process
	Left   time.Duration // until the pause ends
}

// pauseEnd is a Pause with its end as the time since the epoch.
type pauseEnd struct {
	target Process
	until  time.Duration
}

// setPauses takes over the pauses of the work of r, which was submitted at at.
func (r *Request) setPauses(at time.Duration) {
	r.pauses = r.pauses[:0]
	for _, p := range r.work.Pauses {
		r.pauses = append(r.pauses, pauseEnd{p.Target, at + p.Left})
	}
}

// pauseLeft returns how long the target with this information wants no requests
// from the entry of r. It is 0 or less if there is no pause.
func (r *Request) pauseLeft(at time.Duration, info *TargetInfo) time.Duration {
	left := time.Duration(0)
	for _, p := range r.pauses {
		if p.target.Same(info.Process()) {
			left = max(left, p.until-at)
		}
	}
	return left
}

// pauseCheck decides whether only pauses keep a request from every target.
type pauseCheck struct {
	available bool          // some target does not pause
	first     time.Duration // until the first pause ends; 0 if no target was added
}

// add adds a target that accepts requests, with how much longer it pauses and whether
// the request has tried it already. One that was tried is no longer of use to the
// request, but the end of its pause matters to the next attempt of the caller.
func (c *pauseCheck) add(left time.Duration, tried bool) {
	switch {
	case left <= 0:
		c.available = c.available || !tried
	case c.first == 0 || left < c.first:
		c.first = left
	}
}

// refusal returns the refusal if every target pauses, or nil.
func (c *pauseCheck) refusal() *Refusal {
	if c.available || c.first == 0 {
		return nil
	}
	return RefusePausing(c.first)
}
