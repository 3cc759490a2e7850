package follow

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// relaysPerDataCentre is how many entries of a data centre follow control.
const relaysPerDataCentre = 2

// sourceKind orders the kinds of sources.
type sourceKind string

const (
	fromControl sourceKind = "control"
	fromRelay   sourceKind = "relay"
	fromPeer    sourceKind = "peer" // an entry that is not a relay
)

// source is an instance that a follower can watch.
type source struct {
	kind sourceKind
	addr string
}

// planSources returns the sources for self, best first. A relay prefers
// control and the other entries prefer a relay; everything else follows as a
// fallback, so that one reachable instance is enough.
func planSources(self *fescuepb.Member, members []*fescuepb.Member, control, peers []string) []source {
	entries := liveEntries(self, members)
	cut := min(relaysPerDataCentre, len(entries))
	relay := isRelay(self, entries[:cut])
	p := &planner{self: self, seen: map[string]bool{self.GrpcAddr: true, "": true}}
	relays, others := addresses(entries[:cut]), append(addresses(entries[cut:]), peers...)
	control = append(append([]string{}, control...), controlAddresses(members)...)
	if relay || len(entries) == 0 {
		p.add(fromControl, control)
		p.add(fromRelay, relays)
	} else {
		p.add(fromRelay, relays)
		p.add(fromControl, control)
	}
	p.add(fromPeer, others)
	return p.out
}

// liveEntries returns the entries of self's data centre that are not
// leaving, by rendezvous hashing, so that all agree on the first ones.
func liveEntries(self *fescuepb.Member, members []*fescuepb.Member) []*fescuepb.Member {
	var out []*fescuepb.Member
	for _, m := range members {
		if m.Role == fescuepb.Role_ROLE_ENTRY && m.DataCentre == self.DataCentre && !m.Leaving {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return score(self.DataCentre, out[i].Instance) > score(self.DataCentre, out[j].Instance)
	})
	return out
}

func isRelay(self *fescuepb.Member, relays []*fescuepb.Member) bool {
	for _, m := range relays {
		if m.Instance == self.Instance {
			return true
		}
	}
	return false
}

func addresses(members []*fescuepb.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.GrpcAddr)
	}
	return out
}

func controlAddresses(members []*fescuepb.Member) []string {
	var out []string
	for _, m := range members {
		if m.Role == fescuepb.Role_ROLE_CONTROL && !m.Leaving {
			out = append(out, m.GrpcAddr)
		}
	}
	return out
}

// planner collects each address once. Within a kind each follower has its
// own order, which spreads the followers over the sources.
type planner struct {
	self *fescuepb.Member
	seen map[string]bool
	out  []source
}

func (p *planner) add(kind sourceKind, addrs []string) {
	first := len(p.out)
	for _, a := range addrs {
		if !p.seen[a] {
			p.seen[a] = true
			p.out = append(p.out, source{kind, a})
		}
	}
	added := p.out[first:]
	sort.Slice(added, func(i, j int) bool {
		return score(p.self.Instance, added[i].addr) > score(p.self.Instance, added[j].addr)
	})
}

func score(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
