package budget

import (
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
)

// Restored tells a granter that the version observed last came with a state
// snapshot, so that it has not observed the ones before it. A silent holder
// may still use a pinned share of any version since its process joined. Its
// share of a cap was largest when the fewest entries were members: at least
// those that joined before it and still are.
//
// Revisions that the state no longer keeps are not covered: a holder that
// has been silent while its shift's section changed more than 100 times is
// charged with the caps of the kept ones.
func (g *Granter) Restored(earlier []state.EarlierCap) {
	if g.snap == nil {
		return
	}
	for _, m := range g.snap.Members() {
		if m.Role != fescuepb.Role_ROLE_ENTRY {
			continue
		}
		entries := joinedBy(g.snap, m.JoinedVersion)
		for name, sh := range g.snap.Shifts {
			g.mayHold(m.Instance, name, largestPinned(sh.Cap, entries))
		}
		for _, e := range earlier {
			if e.Until > m.JoinedVersion {
				g.mayHold(m.Instance, e.Shift, largestPinned(e.Cap, entries))
				g.notePending(e)
			}
		}
	}
}

// joinedBy counts the entries that joined at version or before and still are
// members.
func joinedBy(s *snapshot.Snapshot, version uint64) int {
	n := 0
	for _, m := range s.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY && m.JoinedVersion <= version {
			n++
		}
	}
	return n
}

// largestPinned returns the largest share that splitPinned gives any of so
// many entries.
func largestPinned(limit, entries int) int {
	return (limit/pinnedDivisor + entries - 1) / entries
}

func (g *Granter) mayHold(instance, shift string, units int) {
	a := g.account(shift, instance)
	a.floor = max(a.floor, units)
}
