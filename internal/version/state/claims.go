package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

type groupKey struct{ service, dc string }

// claim records a new dispatcher of a group. It is accepted only with a
// higher epoch than the last one's; the result names the claim before it.
func (m *Machine) claim(c *fescuepb.GroupClaim) *fescuepb.CommandResult {
	if c.GetGroup().GetService() == "" || c.Group.DataCentre == "" || c.Home == "" {
		return refuse(errkind.BadRequest, "a claim needs a service, a data centre and an instance")
	}
	key := groupKey{c.Group.Service, c.Group.DataCentre}
	before := m.claims[key]
	reply := &fescuepb.ClaimReply{Previous: before}
	if c.Epoch > before.GetEpoch() {
		m.claims[key] = c
		reply.Accepted = true
	}
	return &fescuepb.CommandResult{Claim: reply}
}

// claimList returns the claims in a fixed order.
func (m *Machine) claimList() []*fescuepb.GroupClaim {
	out := make([]*fescuepb.GroupClaim, 0, len(m.claims))
	for _, key := range sortedGroups(m.claims) {
		out = append(out, m.claims[key])
	}
	return out
}

func sortedGroups(claims map[groupKey]*fescuepb.GroupClaim) []groupKey {
	return slices.SortedFunc(maps.Keys(claims), func(a, b groupKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.dc, b.dc))
	})
}
