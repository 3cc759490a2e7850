package state

import (
	"fmt"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/protobuf/proto"
)

// incarnationKey identifies one incarnation of an instance, that is, one run of
// its process.
func incarnationKey(instance string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", instance, incarnation)
}

// CheckMember returns an error of kind BadRequest if a member is malformed.
func CheckMember(m *fescuepb.Member) error {
	switch {
	case m.GetInstance() == "" || len(m.GetInstance()) > MaxNameBytes:
		return errkind.New(errkind.BadRequest, "instance: 1 to %d bytes are required", MaxNameBytes)
	case m.Incarnation == 0:
		return errkind.New(errkind.BadRequest, "incarnation: must not be 0")
	case m.Role == fescuepb.Role_ROLE_UNSPECIFIED:
		return errkind.New(errkind.BadRequest, "role: must be set")
	}
	return nil
}

// applyJoin admits a member. A new incarnation replaces the previous one. An
// incarnation that has departed is rejected, and one that is leaving remains so.
func (m *Machine) applyJoin(index uint64, member *fescuepb.Member) *fescuepb.CommandResult {
	if err := CheckMember(member); err != nil {
		return errorResult(errkind.BadRequest, err.Error())
	}
	if m.departed[incarnationKey(member.Instance, member.Incarnation)] {
		return errorResult(errkind.Conflict, fmt.Sprintf("incarnation %d of instance %q has left; a restarted process needs a new incarnation", member.Incarnation, member.Instance))
	}
	next := proto.Clone(member).(*fescuepb.Member)
	next.JoinedVersion, next.ChangedVersion = index, index
	if cur := m.view.Members[member.Instance]; cur != nil {
		if cur.Incarnation == member.Incarnation {
			next.JoinedVersion = cur.JoinedVersion
			next.Session, next.Via, next.Silent = cur.Session, cur.Via, cur.Silent
			next.Leaving = next.Leaving || cur.Leaving
			if sameMember(cur, next) {
				return &fescuepb.CommandResult{}
			}
		} else {
			m.recordDeparture(cur.Instance, cur.Incarnation)
		}
	}
	m.view.SetMember(next)
	return &fescuepb.CommandResult{}
}

// sameMember reports whether two members are equal apart from the version of
// their last change.
func sameMember(a, b *fescuepb.Member) bool {
	b = proto.Clone(b).(*fescuepb.Member)
	b.ChangedVersion = a.ChangedVersion
	return proto.Equal(a, b)
}

// applyLeave marks a member as leaving or removes it. A removal is recorded even
// if the incarnation is no member, so that a join that arrives after the removal
// is rejected.
func (m *Machine) applyLeave(index uint64, r *fescuepb.LeaveRequest) *fescuepb.CommandResult {
	if r.Instance == "" || len(r.Instance) > MaxNameBytes || r.Incarnation == 0 {
		return errorResult(errkind.BadRequest, "instance and incarnation are required")
	}
	cur := m.view.Members[r.Instance]
	present := cur != nil && cur.Incarnation == r.Incarnation
	if r.Gone {
		m.recordDeparture(r.Instance, r.Incarnation)
		if present {
			m.view.RemoveMember(r.Instance, index)
		}
		return &fescuepb.CommandResult{}
	}
	if !present {
		return errorResult(errkind.NotFound, fmt.Sprintf("incarnation %d of instance %q is not a member", r.Incarnation, r.Instance))
	}
	if !cur.Leaving {
		next := proto.Clone(cur).(*fescuepb.Member)
		next.Leaving, next.ChangedVersion = true, index
		m.view.SetMember(next)
	}
	return &fescuepb.CommandResult{}
}

// recordDeparture records that an instance/incarnation pair may not join again,
// and deletes the oldest pair beyond maxDeparted. A delayed join of a pair that
// old can no longer arrive.
func (m *Machine) recordDeparture(instance string, incarnation uint64) {
	pair := incarnationKey(instance, incarnation)
	if m.departed[pair] {
		return
	}
	m.departed[pair] = true
	m.departedOrder = append(m.departedOrder, pair)
	if len(m.departedOrder) > maxDeparted {
		delete(m.departed, m.departedOrder[0])
		m.departedOrder = m.departedOrder[1:]
	}
}

// Incarnation returns the incarnation of a member, or 0 if there is none.
func (m *Machine) Incarnation(instance string) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.Members[instance].GetIncarnation()
}
