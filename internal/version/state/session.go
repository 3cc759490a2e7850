package state

import (
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/protobuf/proto"
)

// applySession records that a member's watch was opened or lost. The sessions of
// an incarnation have increasing numbers, so a change of an older session that
// arrives late has no effect. The loss of a session is accepted only from the
// instance that served it. A session that was reported lost too early may be
// opened again.
func (m *Machine) applySession(index uint64, c *fescuepb.SessionChange) *fescuepb.CommandResult {
	if c.Instance == "" || len(c.Instance) > MaxNameBytes || len(c.Via) > MaxNameBytes || c.Session == 0 {
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
