// Package budget holds the budgets of shift caps and region links. A holder
// (entry) uses a pinned share that needs no renewal and leased units with an
// expiry on its own clock. The granter (control leader) charges each holder
// with everything that it may still have in use, and grants only what the
// other charges leave free of the cap.
//
// Nothing in Granter, Holder and LinkShares does I/O or reads a clock: the
// caller passes the time, which must be monotonic.
package budget

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// pinnedDivisor is the part of a cap that is pinned: one half. The rest is
// leased on demand.
const pinnedDivisor = 2

// entryNames returns the committed entry instances, ordered by name. A
// leaving one is left out: it hands its services over, so its share goes to
// the others as soon as it acknowledges that.
func entryNames(s *snapshot.Snapshot) []string {
	var out []string
	for _, m := range s.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY && !m.Leaving {
			out = append(out, m.Instance)
		}
	}
	return out
}

// splitPinned splits the pinned half of limit over the entries. The
// remainder goes to the entries that rank highest for the shift, one unit
// each, so that a small cap still gives some entries a share and different
// shifts favour different entries.
func splitPinned(shift string, limit int, entries []string) map[string]int {
	out := make(map[string]int, len(entries))
	if len(entries) == 0 {
		return out
	}
	half := limit / pinnedDivisor
	base, extra := half/len(entries), half%len(entries)
	for _, e := range entries {
		out[e] = base
	}
	for _, e := range ranked(shift, entries)[:extra] {
		out[e]++
	}
	return out
}

// ranked returns the entries by falling rendezvous hash with key.
func ranked(key string, entries []string) []string {
	type scored struct {
		name string
		hash uint64
	}
	list := make([]scored, len(entries))
	for i, e := range entries {
		list[i] = scored{e, xxhash.Sum64String(key + "\x00" + e)}
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

// Pinned returns the pinned share of an entry in the shift's cap, in units
// of requests in flight.
func Pinned(s *snapshot.Snapshot, shift, instance string) int {
	return splitPinned(shift, s.Shifts[shift].Cap, entryNames(s))[instance]
}
