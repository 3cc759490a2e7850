package budget

import (
	"sort"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
)

// loweredCap is a cap that was lowered and is not in force yet, or that some
// holders have not acknowledged yet.
type loweredCap struct {
	oldCap  int
	version uint64 // version that lowered the cap
	inForce bool   // the sum of charges does not exceed the new cap
}

// recordLoweredCaps records the caps that s lowers or removes. If an earlier
// reduction of the same cap is still recorded, the highest of the earlier values
// is kept.
func (g *Granter) recordLoweredCaps(s *snapshot.Snapshot) {
	if g.snap == nil {
		return
	}
	for name, old := range g.snap.Shifts {
		highest := max(old.Cap, g.loweredCaps[name].oldCap)
		if s.Shifts[name].Cap < old.Cap {
			g.loweredCaps[name] = loweredCap{oldCap: highest, version: s.Version}
		}
	}
}

// recordEarlierCap records an earlier cap if it is higher than the committed one.
func (g *Granter) recordEarlierCap(e state.EarlierCap) {
	if e.Cap <= g.committedCap(e.Shift) {
		return
	}
	p := g.loweredCaps[e.Shift]
	g.loweredCaps[e.Shift] = loweredCap{oldCap: max(p.oldCap, e.Cap), version: max(p.version, e.Until)}
}

// reclaimGrants returns grants that lower the pinned share of the holder in
// shifts with a lowered cap that its request does not contain. They are needed
// while an unreachable holder may still use more than its share of the new cap.
func (g *Granter) reclaimGrants(req *fescuepb.LeaseRequest, now time.Time) []*fescuepb.LeaseGrant {
	asked := map[string]bool{}
	for _, ask := range req.Asks {
		asked[ask.Shift] = true
	}
	var out []*fescuepb.LeaseGrant
	for shift := range g.loweredCaps {
		a := g.ledger(shift).accounts[req.Instance]
		if asked[shift] || a == nil || len(a.possible) == 0 {
			continue
		}
		if pinned, _ := g.targetLimits(req.Instance, shift, now); pinned < a.possible[0].pinned {
			out = append(out, g.grant(req.Instance, shift, now))
		}
	}
	return out
}

// updateLoweredCaps marks lowered caps as in force if the sum of charges does not
// exceed them, and then removes those that every holder has acknowledged. It does
// nothing unless this granter is a leader that may grant, because only such a
// leader knows the charges.
func (g *Granter) updateLoweredCaps(now time.Time) {
	if !g.leading || now.Before(g.GrantsFrom()) {
		return
	}
	for shift, p := range g.loweredCaps {
		if g.totalCharge(shift, now) > g.committedCap(shift) {
			continue
		}
		p.inForce = true
		g.loweredCaps[shift] = p
		if len(g.unacknowledgedHolders(shift, p, now)) == 0 {
			delete(g.loweredCaps, shift)
		}
	}
	g.pruneAccounts(now)
}

// pruneAccounts removes accounts without units in use whose instance or shift no
// longer exists.
func (g *Granter) pruneAccounts(now time.Time) {
	if now.Sub(g.prunedAt) < pruneInterval {
		return
	}
	g.prunedAt = now
	for shift, l := range g.ledgers {
		for inst, a := range l.accounts {
			known := g.snap.Member(inst) != nil && g.pinnedShares[shift] != nil
			if !known && a.maxPinned == 0 && a.charge(now, g.longestDeadline) == 0 {
				l.chargeSum -= a.countedCharge
				delete(l.accounts, inst)
			}
		}
		if len(l.accounts) == 0 {
			delete(g.ledgers, shift)
		}
	}
}

// unacknowledgedHolders returns the holders that may use units of the shift and
// have not acknowledged the lowered cap, ordered by instance.
func (g *Granter) unacknowledgedHolders(shift string, p loweredCap, now time.Time) []string {
	var out []string
	for inst, a := range g.ledger(shift).accounts {
		h := g.holders[inst]
		acked := h != nil && h.ackedVersion >= p.version
		if !acked && a.charge(now, g.longestDeadline) > 0 {
			out = append(out, inst)
		}
	}
	sort.Strings(out)
	return out
}

// CapInForce returns the cap that the units in use at all holders together do not
// exceed at now. A lowered cap is in force once the units that the holders may
// have in use fit within it: either all holders have acknowledged it, or the
// others have given up as many units as the unacknowledged holders may use.
func (g *Granter) CapInForce(shift string, now time.Time) int {
	g.updateLoweredCaps(now)
	if p := g.loweredCaps[shift]; !p.inForce {
		return max(g.committedCap(shift), p.oldCap)
	}
	return g.committedCap(shift)
}

// PendingCaps returns the lowered caps that are not in force yet or not
// acknowledged by every holder yet, ordered by shift, each with the instances
// whose acknowledgement is missing.
func (g *Granter) PendingCaps(now time.Time) []*fescuepb.PendingCap {
	g.updateLoweredCaps(now)
	var out []*fescuepb.PendingCap
	for shift, p := range g.loweredCaps {
		pc := &fescuepb.PendingCap{Shift: shift, OldCap: uint64(p.oldCap), NewCap: uint64(g.committedCap(shift))}
		pc.Missing = g.unacknowledgedHolders(shift, p, now)
		out = append(out, pc)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Shift < out[j].Shift })
	return out
}
