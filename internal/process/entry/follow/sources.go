package follow

import (
	"sort"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/rendezvous"
)

// relaysPerDataCentre is how many entries of a data centre prefer to follow
// control directly and relay its updates to the others.
const relaysPerDataCentre = 2

// sourceKind is the role of a source. It appears in log fields.
type sourceKind string

const (
	fromControl sourceKind = "control"
	fromRelay   sourceKind = "relay"
	fromPeer    sourceKind = "peer" // an entry that is not a relay
)

// source is an instance that a follower can watch, by its gRPC address.
type source struct {
	kind     sourceKind
	addr     string
	distance distance
}

// distance orders the sources of a kind, nearest first, because traffic between
// regions is slow and is charged for.
type distance int

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
	unknownDistance
)

// rank is the combination of kind and distance by which a follower prefers
// sources.
type rank struct {
	kind     sourceKind
	distance distance
}

func (s source) rank() rank { return rank{s.kind, s.distance} }

// rankIn returns the rank of an address in the plan. An address that is no longer
// in the plan gets a rank that equals none of the plan.
func rankIn(plan []source, addr string) rank {
	for _, s := range plan {
		if s.addr == addr {
			return s.rank()
		}
	}
	return rank{distance: unknownDistance}
}

// planSources returns the sources for self in order of preference. A relay prefers
// control, and the other entries prefer a relay. All other instances follow as
// fallbacks, so that one reachable instance suffices.
func planSources(self *fescuepb.Member, members []*fescuepb.Member, control, peers []string) []source {
	entries := liveEntries(self, members)
	relayCount := min(relaysPerDataCentre, len(entries))
	relay := isRelay(self, entries[:relayCount])
	p := &planner{self: self, seen: map[string]bool{self.GrpcAddr: true, "": true}, distances: map[string]distance{}}
	for _, m := range members {
		p.distances[m.GrpcAddr] = distanceTo(self, m)
	}
	relays, others := addresses(entries[:relayCount]), append(addresses(entries[relayCount:]), peers...)
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

// liveEntries returns the entries of self's data centre that are not leaving. They
// are ordered by rendezvous hashing, so that all entries with the same members
// agree on the first ones, which are the relays.
func liveEntries(self *fescuepb.Member, members []*fescuepb.Member) []*fescuepb.Member {
	var out []*fescuepb.Member
	for _, m := range members {
		if m.Role == fescuepb.Role_ROLE_ENTRY && m.DataCentre == self.DataCentre && !m.Leaving {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return rendezvous.Hash(self.DataCentre, out[i].Instance) > rendezvous.Hash(self.DataCentre, out[j].Instance)
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

func distanceTo(self, m *fescuepb.Member) distance {
	switch {
	case m.DataCentre == self.DataCentre:
		return sameDataCentre
	case m.Region == self.Region:
		return sameRegion
	}
	return otherRegion
}

// planner collects sources, each address once. Within a kind, nearer sources come
// first. Sources at the same distance are ordered by rendezvous hashing with the
// follower's name, which spreads the followers over the sources.
type planner struct {
	self      *fescuepb.Member
	seen      map[string]bool
	distances map[string]distance // by address
	out       []source
}

func (p *planner) add(kind sourceKind, addrs []string) {
	first := len(p.out)
	for _, a := range addrs {
		if !p.seen[a] {
			p.seen[a] = true
			p.out = append(p.out, source{kind, a, p.distance(a)})
		}
	}
	added := p.out[first:]
	sort.Slice(added, func(i, j int) bool {
		if added[i].distance != added[j].distance {
			return added[i].distance < added[j].distance
		}
		return rendezvous.Hash(p.self.Instance, added[i].addr) > rendezvous.Hash(p.self.Instance, added[j].addr)
	})
}

func (p *planner) distance(addr string) distance {
	if d, known := p.distances[addr]; known {
		return d
	}
	return unknownDistance
}
