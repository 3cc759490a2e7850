package budget

import (
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
)

// RestoreEarlierCaps accounts for the versions that the granter did not observe
// because the last observed version came with a state snapshot. An unreachable
// holder may still use a pinned share of any version since its process joined.
// Its share of a cap was largest when the number of entries was smallest. That
// number was at least the number of current entries that joined no later than
// the holder.
//
// Caps of revisions that the state no longer retains are not covered: a holder
// that was unreachable while the section of its shift changed more than 100
// times is charged only with the caps of the retained revisions.
func (g *Granter) RestoreEarlierCaps(earlier []state.EarlierCap) {
	if g.snap == nil {
		return
	}
	for _, m := range g.snap.Members() {
		if m.Role != fescuepb.Role_ROLE_ENTRY {
			continue
		}
		entries := countEntriesJoinedBy(g.snap, m.JoinedVersion)
		for name, sh := range g.snap.Shifts {
			g.raiseMaxPinned(m.Instance, name, maxPinnedShare(sh.Cap, entries))
		}
		for _, e := range earlier {
			if e.Until > m.JoinedVersion {
				g.raiseMaxPinned(m.Instance, e.Shift, maxPinnedShare(e.Cap, entries))
				g.recordEarlierCap(e)
			}
		}
	}
}

// countEntriesJoinedBy returns the number of current entries that joined at
// version or earlier.
func countEntriesJoinedBy(s *snapshot.Snapshot, version uint64) int {
	n := 0
	for _, m := range s.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY && m.JoinedVersion <= version {
			n++
		}
	}
	return n
}

// maxPinnedShare returns the largest share that splitPinned gives to any entry
// if limit is split among this number of entries.
func maxPinnedShare(limit, entries int) int {
	return (limit/pinnedDivisor + entries - 1) / entries
}

// raiseMaxPinned records that the instance may have been granted a pinned share
// of this size.
func (g *Granter) raiseMaxPinned(instance, shift string, units int) {
	a := g.account(shift, instance)
	a.maxPinned = max(a.maxPinned, units)
}
