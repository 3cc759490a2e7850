package budget

import (
	"sort"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
)

// lowered is a cap that was lowered and may not be in force yet.
type lowered struct {
	oldCap  int
	version uint64
	inForce bool // the sum is within the new cap
}

// noteLowered records the caps that s lowers or removes. A cap that is still
// pending from before keeps its highest earlier value.
func (g *Granter) noteLowered(s *snapshot.Snapshot) {
	if g.snap == nil {
		return
	}
	for name, old := range g.snap.Shifts {
		highest := max(old.Cap, g.pending[name].oldCap)
		if s.Shifts[name].Cap < old.Cap {
			g.pending[name] = lowered{oldCap: highest, version: s.Version}
		}
	}
}

// notePending records an earlier cap that is above the present one.
func (g *Granter) notePending(e state.EarlierCap) {
	if e.Cap <= g.cap(e.Shift) {
		return
	}
	p := g.pending[e.Shift]
	g.pending[e.Shift] = lowered{oldCap: max(p.oldCap, e.Cap), version: max(p.version, e.Until)}
}

// claimBack lowers shares that the holder did not ask about, of pending caps
// of which a silent holder may still use more than its part.
func (g *Granter) claimBack(req *fescuepb.LeaseRequest, now time.Time) []*fescuepb.LeaseGrant {
	asked := map[string]bool{}
	for _, ask := range req.Asks {
		asked[ask.Shift] = true
	}
	var out []*fescuepb.LeaseGrant
	for shift := range g.pending {
		a := g.ledger(shift).accounts[req.Instance]
		if asked[shift] || a == nil || len(a.states) == 0 {
			continue
		}
		if pinned, _ := g.target(req.Instance, shift, now); pinned < a.states[0].pinned {
			out = append(out, g.grant(req.Instance, shift, now))
		}
	}
	return out
}

// settle puts lowered caps in force whose charges have come down, and forgets
// those that every holder has acknowledged. Only a leader that may grant
// knows the charges.
func (g *Granter) settle(now time.Time) {
	if !g.leading || now.Before(g.GrantsFrom()) {
		return
	}
	for shift, p := range g.pending {
		if g.sum(shift, now) > g.cap(shift) {
			continue
		}
		p.inForce = true
		g.pending[shift] = p
		if len(g.missing(shift, p, now)) == 0 {
			delete(g.pending, shift)
		}
	}
	g.prune(now)
}

// prune forgets accounts of instances and shifts that no longer exist and
// have nothing in use.
func (g *Granter) prune(now time.Time) {
	if now.Sub(g.prunedAt) < pruneInterval {
		return
	}
	g.prunedAt = now
	for shift, l := range g.shifts {
		for inst, a := range l.accounts {
			known := g.snap.Member(inst) != nil && g.pinned[shift] != nil
			if !known && a.floor == 0 && a.charge(now, g.deadline) == 0 {
				l.total -= a.counted
				delete(l.accounts, inst)
			}
		}
		if len(l.accounts) == 0 {
			delete(g.shifts, shift)
		}
	}
}

// missing returns the holders that may use the shift and have not
// acknowledged the lowered cap, ordered by instance.
func (g *Granter) missing(shift string, p lowered, now time.Time) []string {
	var out []string
	for inst, a := range g.ledger(shift).accounts {
		h := g.holders[inst]
		acked := h != nil && h.version >= p.version
		if !acked && a.charge(now, g.deadline) > 0 {
			out = append(out, inst)
		}
	}
	sort.Strings(out)
	return out
}

// CapInForce returns the cap that the sum over all holders keeps to at now.
// A lowered cap is in force once all that the holders may have in use fits
// it: they have acknowledged it, or the others have given up what the missing
// ones may use.
func (g *Granter) CapInForce(shift string, now time.Time) int {
	g.settle(now)
	if p := g.pending[shift]; !p.inForce {
		return max(g.cap(shift), p.oldCap)
	}
	return g.cap(shift)
}

// PendingCaps returns the lowered caps that are not in force or not
// acknowledged by every holder yet, ordered by shift, with the instances whose
// acknowledgement is missing.
func (g *Granter) PendingCaps(now time.Time) []*fescuepb.PendingCap {
	g.settle(now)
	var out []*fescuepb.PendingCap
	for shift, p := range g.pending {
		pc := &fescuepb.PendingCap{Shift: shift, OldCap: uint64(p.oldCap), NewCap: uint64(g.cap(shift))}
		pc.Missing = g.missing(shift, p, now)
		out = append(out, pc)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Shift < out[j].Shift })
	return out
}
