package group

import (
	"errors"
	"time"

	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// refusalTTL is how long an entry does not ask a dispatcher without free slots again for
// a request that would be refused like the one before. A dispatcher whose pool is
// full would otherwise spend its processor time and its link on refusals. It is short
// compared with the running times after which slots become free.
const refusalTTL = 100 * time.Millisecond

// refusal is the answer of a dispatcher that refused a request at once, because it
// would not have been in time.
type refusal struct {
	err       error
	until     time.Time
	objective time.Duration // time that the refused request had left to meet its objective
}

// recordRefusal records the answer of another entry's dispatcher to a request. A refusal
// counts if no slot of the pool is free: a request for another object could
// otherwise be admitted.
func (g *Guarded) recordRefusal(pool slotlink.Pool, w dispatch.Work, load dispatch.Load, err error) {
	var refused *dispatch.Refusal
	g.mu.Lock()
	defer g.mu.Unlock()
	if !errors.As(err, &refused) || load.FreeSlots > 0 || load.ExpectedWait == 0 || w.AnySlot {
		delete(g.refusals, pool)
		return
	}
	now := g.Now()
	g.refusals[pool] = refusal{err: err, until: now.Add(min(refused.RetryAfter, refusalTTL)), objective: w.Objective.Sub(now)}
}

// refusedLately returns the last refusal of the pool's dispatcher if it holds for w: it was
// a moment ago, and the refused request had no less time left.
func (g *Guarded) refusedLately(pool slotlink.Pool, w dispatch.Work) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	r, ok := g.refusals[pool]
	if !ok || now.After(r.until) || w.Objective.IsZero() || w.Objective.Sub(now) > r.objective {
		return nil
	}
	return r.err
}
