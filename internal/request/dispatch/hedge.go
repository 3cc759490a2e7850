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
	return max(g.set.HedgeMinDelay, r.route.run.tail)
}

// hedgePolicy returns the bound of hedges. One is allowed before enough requests
// have come for the percentage to be a whole one.
func hedgePolicy(s Settings) retry.Policy {
	return retry.Policy{Percent: float64(s.HedgePercent), Slack: 1}
}

func (g *Group) mayHedge(r *Request) bool {
	return g.set.HedgePercent > 0 && r.work.Safe && !r.work.Once && !r.hedge && !r.hedged
}

// Hedge starts h as a second try of the running request r on another target.
func (g *Group) Hedge(now time.Time, r, h *Request) bool {
	if r.state != running || !g.mayHedge(r) || g.stopped || g.short.len() > 0 {
		return false
	}
	at := g.at(now)
	w := r.work
	w.Exclude = append([]string{r.target.info.ID}, w.Exclude...)
	g.prepare(at, h, w)
	h.deadline = r.deadline
	h.hedge = true
	if h.long && g.longRun >= g.longCap(at) {
		return false
	}
	t, _ := g.choose(at, h)
	if t == nil || !g.hedges.TryTake(now) {
		return false
	}
	r.hedged = true
	g.start(at, h, t, "hedge")
	return true
}
