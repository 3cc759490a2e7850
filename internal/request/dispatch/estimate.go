package dispatch

import "time"

// shortWait estimates the wait of a short request behind ahead others. It is
// 0 while nothing has been measured.
func (g *Group) expectedShortWait(at time.Duration, ahead int) time.Duration {
	slots := max(1, g.usableSlots(at)-g.longInFlight)
	return time.Duration(float64(ahead+1) * g.routes.class[0].value / float64(slots))
}

// expectedWait estimates how long r will wait if it is queued now.
func (g *Group) expectedWait(at time.Duration, r *Request) time.Duration {
	if !r.long {
		return g.expectedShortWait(at, g.short.ahead(r.deadline))
	}
	ahead := float64(g.long.ahead(r.deadline) + 1)
	return time.Duration(ahead * g.routes.class[1].value / float64(g.longCap(at)))
}

// estimateProbe is how often a request runs although its estimate exceeds
// its deadline. Without it an estimate that is too high would stay forever,
// because nothing would run to correct it.
const estimateProbeInterval = time.Second

// checkDeadline refuses r if it cannot complete in time after waiting and
// running. Without measurements only the deadline itself counts.
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
