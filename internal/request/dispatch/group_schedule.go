package dispatch

import "time"

// agingDelay is how long a long request waits before it may go ahead of short
// ones. Without it, a steady supply of short requests would starve long work.
const agingDelay = 500 * time.Millisecond

// agedShareDivisor bounds the long work that may go ahead of queued short work:
// it holds at most the slots of longCap divided by this, but at least one.
const agedShareDivisor = 4

// maxSkipped bounds how many queued requests are skipped in one pass because
// they have already tried every free target.
const maxSkipped = 8

// longCap returns the number of slots that long work may hold.
func (g *Group) longCap(at time.Duration) int {
	return max(1, g.usableSlots(at)*g.settings.LongSharePercent/100)
}

// usableSlots returns the number of requests that the group may have in flight
// now. Slots withheld by a back-off, a slow start or a demotion do not count.
// Otherwise the share of long work, which is computed from this number, could
// cover every slot that is really available.
func (g *Group) usableSlots(at time.Duration) int {
	n := 0
	for _, t := range g.targets {
		if !t.health.demoted {
			n += t.limit(at, &g.settings)
		}
	}
	return n
}

// dispatchQueued starts queued requests while targets can take them.
func (g *Group) dispatchQueued(at time.Duration) {
	if g.queuedCount() == 0 {
		return
	}
	var skipped [maxSkipped]*Request
	n := 0
	for n < maxSkipped {
		r := g.nextQueued(at)
		if r == nil {
			break
		}
		if refusal := g.checkDeadline(at, r, 0, g.requiredRun(r)); refusal != nil {
			g.refuseQueued(r, refusal)
			continue
		}
		t, reason := g.chooseTarget(at, r)
		if t != nil {
			g.queueOf(r).remove(r)
			g.start(at, r, t, reason)
			g.decided = append(g.decided, r)
			continue
		}
		if refusal := g.checkPauses(at, r); refusal != nil {
			g.refuseQueued(r, refusal)
			continue
		}
		if len(r.work.Exclude) == 0 && len(r.pauses) == 0 {
			break
		}
		g.queueOf(r).remove(r)
		skipped[n] = r
		n++
	}
	for _, r := range skipped[:n] {
		g.queueOf(r).push(r)
	}
}

// requiredRun returns the time that must be left before the deadline of r for r
// to get a slot. It is a high quantile of the running times while other requests
// are queued, so that slots go to work that will very likely complete in time,
// and a low quantile otherwise.
func (g *Group) requiredRun(r *Request) time.Duration {
	if g.queueOf(r).len() > 1 {
		return r.route.run.high
	}
	return r.route.run.low
}

// nextQueued returns the queued request that goes next, or nil. Short requests
// go first, except that a limited number of long ones goes ahead after
// agingDelay.
func (g *Group) nextQueued(at time.Duration) *Request {
	short, long := g.short.head(), g.long.head()
	if long != nil && g.longInFlight >= g.longCap(at) {
		long = nil
	}
	if short == nil || long == nil {
		if short != nil {
			return short
		}
		return long
	}
	aged := max(1, g.longCap(at)/agedShareDivisor)
	if g.longInFlight < aged && at-g.long.oldest().arrived >= agingDelay {
		return long
	}
	return short
}

// Reasons for the choice of a target, for the log.
const (
	reasonLeast   = "least loaded"
	reasonTrial   = "trial of a demoted target"
	reasonRetrial = "trial after a back-off"
	reasonDemoted = "only demoted targets are left"
)

// chooseTarget returns the target for r and the reason, or nil if no target can
// take r. Demoted targets get only trial requests, unless every target with
// capacity is demoted. Targets after a back-off get trial requests besides.
func (g *Group) chooseTarget(at time.Duration, r *Request) (*target, string) {
	var best, leastSlow *target
	bestCost, hasNormal := 0.0, false
	n := len(g.targets)
	g.rotation++
	for i := range n {
		t := g.targets[(g.rotation+i)%n]
		limit := t.limit(at, &g.settings)
		if limit == 0 || excluded(r, t) || r.pauseLeft(at, &t.info) > 0 {
			continue
		}
		free := t.inFlight() < limit
		if t.health.demoted {
			if free && g.trialDue(at, r, t) {
				return t, reasonTrial
			}
			if free && (leastSlow == nil || t.health.meanRatio.value < leastSlow.health.meanRatio.value) {
				leastSlow = t
			}
			continue
		}
		hasNormal = true
		if !free {
			continue
		}
		if g.trialDue(at, r, t) {
			return t, reasonRetrial
		}
		if cost := t.cost(limit); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best == nil && !hasNormal && leastSlow != nil {
		return leastSlow, reasonDemoted
	}
	return best, reasonLeast
}

// cost returns the value by which free targets are compared; the lowest wins. It
// is the share of the slots that would be in use, raised by the suspicion of
// slowness and by the reported load. A report only raises the cost, so it cannot
// make a target look better than the dispatcher's own measurements do.
func (t *target) cost(limit int) float64 {
	c := float64(t.inFlight()+1) / float64(limit)
	c *= 1 + suspicionWeight*t.health.suspicion/demoteEvidence
	return c * (1 + reportWeight*max(0, t.info.ReportedLoad))
}

// Weights of the suspicion and of the reported load in the cost of a target.
const (
	suspicionWeight = 2
	reportWeight    = 0.1
)

func excluded(r *Request, t *target) bool {
	for _, id := range r.work.Exclude {
		if id == t.info.ID {
			return true
		}
	}
	return false
}

// checkPauses returns a refusal if only pauses keep r from every target.
func (g *Group) checkPauses(at time.Duration, r *Request) *Refusal {
	if len(r.pauses) == 0 {
		return nil
	}
	var c pauseCheck
	for _, t := range g.targets {
		if t.accepting() {
			c.add(r.pauseLeft(at, &t.info), excluded(r, t))
		}
	}
	return c.refusal()
}

// checkTargets returns a refusal if no target that r may use accepts requests,
// or if all of them pause, or are in back-off for more than minBackoff or until
// the deadline of r.
func (g *Group) checkTargets(at time.Duration, r *Request) *Refusal {
	if refusal := g.checkPauses(at, r); refusal != nil {
		return refusal
	}
	soonest := time.Duration(-1)
	for _, t := range g.targets {
		if !t.accepting() || excluded(r, t) || r.pauseLeft(at, &t.info) > 0 {
			continue
		}
		remaining := max(0, t.backoffUntil-at)
		if soonest < 0 || remaining < soonest {
			soonest = remaining
		}
	}
	if soonest < 0 {
		return refuse(errNoTarget, time.Second)
	}
	if soonest > 0 && (soonest > minBackoff || at+soonest >= r.deadline) {
		return refuse(errNoTarget, soonest)
	}
	return nil
}
