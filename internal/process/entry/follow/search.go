package follow

import (
	"slices"
	"time"
)

// maxWaiting is how many sources without news a follower keeps watching during a
// search. Of up to six control replicas, any three include one of every quorum.
const maxWaiting = 3

// search is the state of the search for a source. It decides which source is
// tried next.
type search struct {
	since    time.Time
	turn     int            // number of the last opening
	tried    map[string]int // number of the last opening by address
	lastPeer bool           // the source opened last was an entry that is not a relay
}

// newSearch starts a search at now. The source at address last, if there is one,
// is tried after the others.
func newSearch(now time.Time, last string) search {
	s := search{since: now, turn: 1, tried: map[string]int{}}
	s.tried[last] = s.turn
	return s
}

// opened returns how many sources were opened.
func (s *search) opened() int { return s.turn - 1 }

// record notes that a source was opened.
func (s *search) record(pick source) {
	s.turn++
	s.tried[pick.addr] = s.turn
	s.lastPeer = pick.kind == fromPeer
}

// next returns the source to open next, or false if all of the plan are open. Each
// control replica and relay has its turn before the other entries; after that,
// every second one is an entry. The entries can be many and seldom have news that
// neither control nor a relay has.
func (s *search) next(plan []source, isOpen func(addr string) bool) (source, bool) {
	preferred, ok := s.leastRecent(plan, isOpen, func(k sourceKind) bool { return k != fromPeer })
	peer, peerOK := s.leastRecent(plan, isOpen, func(k sourceKind) bool { return k == fromPeer })
	if !ok || peerOK && s.tried[preferred.addr] > 0 && !s.lastPeer {
		return peer, peerOK
	}
	return preferred, true
}

// leastRecent returns the source of the plan that was tried least recently among
// those that are not open and whose kind matches; of several, the first.
func (s *search) leastRecent(plan []source, isOpen func(string) bool, matches func(sourceKind) bool) (best source, found bool) {
	for _, p := range plan {
		if !matches(p.kind) || isOpen(p.addr) {
			continue
		}
		if !found || s.tried[p.addr] < s.tried[best.addr] {
			best, found = p, true
		}
	}
	return best, found
}

// keepWaiting selects the watches of sources without news that stay open: at most
// maxWaiting, all of the most preferred kind that one of them has. An entry with a
// relay that answers therefore holds no watches at control.
func keepWaiting(plan []source, watches []*watch) (kept, dropped []*watch) {
	position := func(w *watch) int {
		if i := slices.IndexFunc(plan, func(s source) bool { return s.addr == w.addr }); i >= 0 {
			return i
		}
		return len(plan)
	}
	sorted := slices.Clone(watches)
	slices.SortStableFunc(sorted, func(a, b *watch) int { return position(a) - position(b) })
	for _, w := range sorted {
		if len(kept) < maxWaiting && rankIn(plan, w.addr).kind == rankIn(plan, sorted[0].addr).kind {
			kept = append(kept, w)
		} else {
			dropped = append(dropped, w)
		}
	}
	return kept, dropped
}
