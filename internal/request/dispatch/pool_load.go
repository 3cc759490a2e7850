package dispatch

import (
	"slices"
	"time"
)

// Load returns the current load.
func (p *Pool) Load(now time.Time) Load {
	at := p.sinceEpoch(now)
	l := Load{Queued: len(p.queue), InFlight: p.inFlight, Draining: p.stopped || !p.anyAccepting()}
	for _, b := range p.targets {
		if b.left && b.listed {
			l.Leaving = append(l.Leaving, b.info.Process())
		}
		if b.usable(at) && b.slowness(at) < slowThreshold {
			l.FreeSlots += max(0, b.freeSlots(at)-b.waiting)
		}
	}
	if l.FreeSlots == 0 {
		l.ExpectedWait = p.soonestSlot(at)
	}
	l.FailedPercent = p.failedPercent(at)
	for _, s := range p.routes {
		if s.all.usable() {
			l.Run = max(l.Run, s.all.mean())
		}
	}
	return l
}

// soonestSlot returns the expected time until the first target that is not slow has a slot
// for a further request, or 0 if there is no such target.
func (p *Pool) soonestSlot(at time.Duration) time.Duration {
	soonest := time.Duration(-1)
	for _, b := range p.targets {
		if !b.usable(at) || b.slowness(at) >= slowThreshold {
			continue
		}
		if w := b.expectedWait(at, b.waiting, 0); soonest < 0 || w < soonest {
			soonest = w
		}
	}
	return max(soonest, 0)
}

// failedPercent returns the percentage of the slots that belong to targets which
// recently failed. A substitute leaves out silent targets.
func (p *Pool) failedPercent(at time.Duration) int {
	slots, failed := 0, 0
	for _, b := range p.targets {
		if !b.accepting() {
			continue
		}
		slots += b.slots()
		if b.recentlyFailed(at) && !(p.settings.Substitute && b.silent()) {
			failed += b.slots()
		}
	}
	if slots == 0 {
		return 0
	}
	return 100 * failed / slots
}

// refuseNoTarget returns the refusal of r, which no target can take.
func (p *Pool) refuseNoTarget(at time.Duration, r *Request) *Refusal {
	var c pauseCheck
	for _, b := range p.targets {
		if b.accepting() {
			c.add(r.pauseLeft(at, &b.info), slices.Contains(r.work.Exclude, b.info.ID))
		}
	}
	if refusal := c.refusal(); refusal != nil {
		return refusal
	}
	return refuse(errNoTarget, p.earliestRecovery(at))
}

// earliestRecovery returns the time until the first back-off of a target ends,
// at most one second. It returns one second if no target is in back-off.
func (p *Pool) earliestRecovery(at time.Duration) time.Duration {
	soonest := time.Second
	for _, b := range p.targets {
		if b.accepting() && b.backoffUntil > at {
			soonest = min(soonest, b.backoffUntil-at)
		}
	}
	return soonest
}
