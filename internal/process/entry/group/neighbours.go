package group

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const (
	// regionFanOut is the number of entries of another region to which this entry
	// forwards. With all entries of a region in turn, most forwards of a large deployment
	// would open a connection, which takes a round trip between the regions.
	regionFanOut = 4
	// maxRegionEntries bounds the entries of a region that are tried for one request.
	maxRegionEntries = 2
)

// RegionEntries returns at most maxRegionEntries entries of another region to
// which a request may be forwarded, in order of preference. The key spreads
// requests over regionFanOut entries.
func (g *Guarded) RegionEntries(region, key string) []*fescuepb.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.snap == nil {
		return nil
	}
	usable := make([]*fescuepb.Member, 0, regionFanOut)
	for _, m := range g.neighboursLocked(region) {
		if len(usable) == regionFanOut {
			break
		}
		if g.usableLocked(m) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(key) % uint64(len(usable)))
	return slices.Concat(usable[first:], usable[:first])[:min(len(usable), maxRegionEntries)]
}

// neighboursLocked returns the entries of another region in the order in which this entry
// uses them. Invariant: if all are usable, the entries of this region divide the entries of
// the other one evenly among themselves, so that none gets more forwards than others.
func (g *Guarded) neighboursLocked(region string) []*fescuepb.Member {
	if out, ok := g.neighbours[region]; ok {
		return out
	}
	entries := g.hashedEntriesLocked(region)
	var out []*fescuepb.Member
	if n := len(entries); n > 0 {
		own := slices.IndexFunc(g.hashedEntriesLocked(g.snap.Region(g.DataCentre)), func(m *fescuepb.Member) bool { return m.Instance == g.Instance })
		first := max(own, 0) * regionFanOut % n
		out = slices.Concat(entries[first:], entries[:first])
	}
	g.neighbours[region] = out
	return out
}

// hashedEntriesLocked returns the entries of a region, also those that are not present, in
// an order on which all entries agree and in which data centres are mixed.
func (g *Guarded) hashedEntriesLocked(region string) []*fescuepb.Member {
	var out []*fescuepb.Member
	for _, m := range g.snap.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY && m.Region == region {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *fescuepb.Member) int {
		return cmp.Or(cmp.Compare(rank(region, a), rank(region, b)), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}
