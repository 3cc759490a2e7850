// Package budget limits the requests in flight of each shift and the bytes sent
// between regions, over all entries together. The unit of a shift cap is one
// request in flight. A holder, which runs at an entry, uses a pinned share that
// needs no renewal and leased units that expire on its own clock. The granter,
// which runs at the control leader, charges each holder with all units that it
// may have in use, and grants only units of the cap that are not charged to other
// holders.
//
// Granter, Holder and LinkShares do no I/O and read no clock: the caller passes
// the time, which must be monotonic.
package budget

import (
	"sort"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/rendezvous"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// pinnedDivisor divides a cap into its pinned half; the other half is leased on
// demand.
const pinnedDivisor = 2

// entryNames returns the committed entry instances, ordered by name. It omits
// entries that are leaving: they hand over their services, and their shares go to
// the other entries as soon as they acknowledge the version.
func entryNames(s *snapshot.Snapshot) []string {
	var out []string
	for _, m := range s.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY && !m.Leaving {
			out = append(out, m.Instance)
		}
	}
	return out
}

// splitPinned divides the pinned half of limit among the entries and returns the
// units by entry. The remainder goes to the entries that rank highest by hash with
// the shift, one unit each, so that some entries have a share even of a small cap,
// and different shifts favour different entries.
func splitPinned(shift string, limit int, entries []string) map[string]int {
	out := make(map[string]int, len(entries))
	if len(entries) == 0 {
		return out
	}
	half := limit / pinnedDivisor
	even, extra := half/len(entries), half%len(entries)
	for _, e := range entries {
		out[e] = even
	}
	for _, e := range rankByHash(shift, entries)[:extra] {
		out[e]++
	}
	return out
}

// rankByHash returns the entries in descending order of their rendezvous hash
// with key.
func rankByHash(key string, entries []string) []string {
	type scored struct {
		name string
		hash uint64
	}
	list := make([]scored, len(entries))
	for i, e := range entries {
		list[i] = scored{e, rendezvous.Hash(key, e)}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].hash != list[j].hash {
			return list[i].hash > list[j].hash
		}
		return list[i].name < list[j].name
	})
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.name
	}
	return out
}

// PinnedShare returns the pinned share of an entry in the cap of the shift, as a
// number of requests in flight.
func PinnedShare(s *snapshot.Snapshot, shift, instance string) int {
	return splitPinned(shift, s.Shifts[shift].Cap, entryNames(s))[instance]
}
