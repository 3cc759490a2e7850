package state

import (
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/protobuf/proto"
)

// maxTargets bounds the targets of a command together with the stored ones.
const maxTargets = 100_000

// applyTargets replaces and removes targets. A command that changes nothing does
// not create a version.
func (m *Machine) applyTargets(index uint64, c *fescuepb.TargetsChange) *fescuepb.CommandResult {
	if len(m.view.Targets)+len(c.Set) > maxTargets {
		return errorResult(errkind.BadRequest, "too many targets")
	}
	for _, t := range c.Set {
		if t.Id == "" || len(t.Id) > MaxNameBytes {
			return errorResult(errkind.BadRequest, "a target has no valid ID")
		}
	}
	for _, t := range c.Set {
		if SameTarget(m.view.Targets[t.Id], t) {
			continue
		}
		t.ChangedVersion = index
		m.view.SetTarget(t)
	}
	for _, id := range c.Removed {
		if m.view.Targets[id] != nil {
			m.view.RemoveTarget(id, index)
		}
	}
	return &fescuepb.CommandResult{}
}

// SameTarget reports whether two targets are equal apart from the version of
// their last change.
func SameTarget(a, b *fescuepb.Target) bool {
	if a == nil || b == nil {
		return a == b
	}
	c := proto.Clone(b).(*fescuepb.Target)
	c.ChangedVersion = a.ChangedVersion
	return proto.Equal(a, c)
}

// Targets returns the targets that the platform lists, ordered by ID.
func (m *Machine) Targets() []*fescuepb.Target {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.TargetList()
}

// EncodeTargets returns the encoded command for a change of targets.
func EncodeTargets(c *fescuepb.TargetsChange) ([]byte, error) {
	return proto.Marshal(&fescuepb.Command{Body: &fescuepb.Command_Targets{Targets: c}})
}
