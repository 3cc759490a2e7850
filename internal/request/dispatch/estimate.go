package dispatch

import "time"

// expectedShortWait estimates how long a short request waits behind ahead
// others. It returns 0 while no running time has been measured.
func (g *Group) expectedShortWait(at time.Duration, ahead int) time.Duration {
	slots := max(1, g.usableSlots(at)-g.longInFlight)
	return time.Duration(float64(ahead+1) * g.routes.class[0].value / float64(slots))
}

// expectedWait estimates how long r waits if it is queued now.
func (g *Group) expectedWait(at time.Duration, r *Request) time.Duration {
	if !r.long {
		return g.expectedShortWait(at, g.short.ahead(r.deadline))
	}
	ahead := float64(g.long.ahead(r.deadline) + 1)
	return time.Duration(ahead * g.routes.class[1].value / float64(g.longCap(at)))
}

// estimateProbeInterval is the least time between two requests of a route that
// run although their estimated running time exceeds their deadline. Without
// these probes an estimate that is too high would never be corrected, because
// every request of the route would be refused.
const estimateProbeInterval = time.Second

// checkDeadline returns a refusal if r, after the given wait and running time,
// would complete after its deadline, and nil otherwise. Both durations are 0
// while nothing has been measured, so only the deadline itself counts then.
func (g *Group) checkDeadline(at time.Duration, r *Request, wait, run time.Duration) *Refusal {
	if at+wait+run < r.deadline {
		return nil
	}
	if at+wait < r.deadline && at-r.route.lastProbe >= estimateProbeInterval {
		r.route.lastProbe = at
		return nil
	}
	return refuse(errUnmeetable, wait)
}
