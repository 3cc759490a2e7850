package dispatch

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/retry"
)

// hedgeSamples is the number of running times of a route that must be known
// before its requests are hedged.
const hedgeSamples = 20

// HedgeDelay returns how long after the dispatch of r a hedge should be started,
// or 0 if r must not be hedged.
func (g *Group) HedgeDelay(r *Request) time.Duration {
	if !g.mayHedge(r) || r.route.run.samples < hedgeSamples {
		return 0
	}
	return max(g.settings.HedgeMinDelay, r.route.run.tail)
}

// hedgePolicy returns the budget of hedges. The slack of 1 allows one hedge
// before there were enough requests for the percentage to amount to one.
func hedgePolicy(s Settings) retry.Policy {
	return retry.Policy{Percent: float64(s.HedgePercent), Slack: 1}
}

func (g *Group) mayHedge(r *Request) bool {
	return g.settings.HedgePercent > 0 && r.work.Safe && !r.work.AtMostOnce && !r.isHedge && !r.hedged
}

// Hedge starts h as a second attempt of the running request r on another
// target. It returns false if r may not be hedged, if short requests are queued,
// if no target is free or if the hedge budget is spent.
func (g *Group) Hedge(now time.Time, r, h *Request) bool {
	if r.state != running || !g.mayHedge(r) || g.stopped || g.short.len() > 0 {
		return false
	}
	at := g.sinceEpoch(now)
	w := r.work
	w.Exclude = append([]string{r.target.info.ID}, w.Exclude...)
	g.initRequest(at, h, w)
	h.deadline = r.deadline
	h.isHedge = true
	if h.long && g.longInFlight >= g.longCap(at) {
		return false
	}
	t, _ := g.chooseTarget(at, h)
	if t == nil || !g.hedges.TryTake(now) {
		return false
	}
	r.hedged = true
	g.start(at, h, t, "hedge")
	return true
}
