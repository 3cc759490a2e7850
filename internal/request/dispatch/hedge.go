package dispatch

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/retry"
)

// hedgeSamples is how many running times of the route are known before its
// requests are hedged.
const hedgeSamples = 20

// HedgeDelay returns how long after its dispatch a hedge of r is worth it, 0
// for never.
func (g *Group) HedgeDelay(r *Request) time.Duration {
	if !g.mayHedge(r) || r.route.run.samples < hedgeSamples {
		return 0
	}
	return max(g.settings.HedgeMinDelay, r.route.run.tail)
}

// hedgePolicy returns the bound of hedges. One is allowed before enough requests
// have come for the percentage to be a whole one.
func hedgePolicy(s Settings) retry.Policy {
	return retry.Policy{Percent: float64(s.HedgePercent), Slack: 1}
}

func (g *Group) mayHedge(r *Request) bool {
	return g.settings.HedgePercent > 0 && r.work.Safe && !r.work.AtMostOnce && !r.isHedge && !r.hedged
}

// Hedge starts h as a second try of the running request r on another target.
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
	if t == nil || !g.hedges.Take(now) {
		return false
	}
	r.hedged = true
	g.start(at, h, t, "hedge")
	return true
}
