package state

import (
	"fmt"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/protobuf/proto"
)

// groupClaims holds the last accepted claim of a dispatch group and the claim
// before it. A previous claim without a group means that there was none.
type groupClaims struct{ claim, previous *fescuepb.GroupClaim }

// groupKey returns the key of a group in Machine.claims.
func groupKey(g *fescuepb.GroupId) string { return g.GetService() + "\x00" + g.GetDataCentre() }

// CheckClaim returns an error of kind BadRequest if a claim is malformed.
func CheckClaim(c *fescuepb.GroupClaim) error {
	g := c.GetGroup()
	switch {
	case g.GetService() == "" || len(g.GetService()) > MaxNameBytes:
		return errkind.New(errkind.BadRequest, "group.service: 1 to %d bytes are required", MaxNameBytes)
	case g.GetDataCentre() == "" || len(g.GetDataCentre()) > MaxNameBytes:
		return errkind.New(errkind.BadRequest, "group.data_centre: 1 to %d bytes are required", MaxNameBytes)
	case c.Home == "" || len(c.Home) > MaxNameBytes || c.HomeIncarnation == 0:
		return errkind.New(errkind.BadRequest, "home and home_incarnation are required")
	case c.Epoch == 0:
		return errkind.New(errkind.BadRequest, "epoch: must not be 0")
	}
	return nil
}

// applyClaim accepts a claim if its epoch is higher than that of the last
// accepted claim. If the last accepted claim is sent again, it gets the same
// reply as the first time. Claims are not part of the content that followers
// see, so they do not change the version.
func (m *Machine) applyClaim(c *fescuepb.GroupClaim) *fescuepb.CommandResult {
	if err := CheckClaim(c); err != nil {
		return errorResult(errkind.BadRequest, err.Error())
	}
	if m.departed[incarnationKey(c.Home, c.HomeIncarnation)] {
		return errorResult(errkind.Conflict, fmt.Sprintf("incarnation %d of instance %q has left", c.HomeIncarnation, c.Home))
	}
	key := groupKey(c.Group)
	last, known := m.claims[key]
	switch {
	case known && proto.Equal(last.claim, c):
		return claimResult(true, last.previous)
	case known && c.Epoch <= last.claim.Epoch:
		return claimResult(false, last.claim)
	}
	m.claims[key] = groupClaims{claim: c, previous: last.claim}
	return claimResult(true, last.claim)
}

// claimResult returns the result of a claim. Previous is the claim before it or,
// if it was rejected, the accepted claim that prevails.
func claimResult(accepted bool, previous *fescuepb.GroupClaim) *fescuepb.CommandResult {
	if previous.GetGroup() == nil {
		previous = nil
	}
	return &fescuepb.CommandResult{Claim: &fescuepb.ClaimReply{Accepted: accepted, Previous: previous}}
}

func (m *Machine) loadClaims(claims, previous []*fescuepb.GroupClaim) error {
	if len(claims) != len(previous) {
		return errkind.New(errkind.CorruptLog, "the state snapshot has %d claims and %d previous ones", len(claims), len(previous))
	}
	for i, c := range claims {
		m.claims[groupKey(c.Group)] = groupClaims{claim: c, previous: previous[i]}
	}
	return nil
}
