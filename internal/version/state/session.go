package state

import (
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/protobuf/proto"
)

// session records that a member's watch was opened or lost. Sessions of an
// incarnation are numbered upwards, so an older change, which may arrive late,
// has no effect. The loss of a session counts only if the same instance
// served it; a session that was taken for lost too early may open again.
func (m *Machine) applySession(index uint64, c *fescuepb.SessionChange) *fescuepb.CommandResult {
	if c.Instance == "" || len(c.Instance) > maxNameBytes || len(c.Via) > maxNameBytes || c.Session == 0 {
		return errorResult(errkind.BadRequest, "instance and session are required")
	}
	cur := m.view.Members[c.Instance]
	if cur == nil || cur.Incarnation != c.Incarnation || c.Session < cur.Session {
		return &fescuepb.CommandResult{}
	}
	if c.Lost && (cur.Session != c.Session || cur.Via != c.Via || cur.Silent) {
		return &fescuepb.CommandResult{}
	}
	if !c.Lost && cur.Session == c.Session && !cur.Silent {
		return &fescuepb.CommandResult{}
	}
	next := proto.Clone(cur).(*fescuepb.Member)
	next.Session, next.Via, next.Silent, next.ChangedVersion = c.Session, c.Via, c.Lost, index
	m.view.SetMember(next)
	return &fescuepb.CommandResult{}
}
