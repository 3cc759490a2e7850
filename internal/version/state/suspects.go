package state

import (
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"google.golang.org/protobuf/proto"
)

// maxSuspectItems bounds the fingerprints of one command.
const maxSuspectItems = 4 * quarantine.MaxSuspects

// CheckSuspects returns an error of kind BadRequest if a change of the suspects is
// malformed.
func CheckSuspects(c *fescuepb.SuspectsChange) error {
	items := len(c.Cleared) + len(c.TrialsDue) + len(c.Claims)
	for _, crash := range c.Crashes {
		items += len(crash.Suspects)
		if crash.Target == "" || len(crash.Target) > 2*MaxNameBytes {
			return errkind.New(errkind.BadRequest, "a crash has no valid target")
		}
		for _, id := range crash.Suspects {
			if _, ok := quarantine.ParseFingerprint(id); !ok {
				return errkind.New(errkind.BadRequest, "suspect %q is not a fingerprint", id)
			}
		}
	}
	if len(c.Instance) > MaxNameBytes || items > maxSuspectItems {
		return errkind.New(errkind.BadRequest, "the instance name or the %d fingerprints exceed their limits", items)
	}
	return nil
}

// applySuspects adds and removes evidence about requests that may crash targets. What
// is cleared is removed first, so that crashes in the same command count anew. A
// command that changes nothing does not create a version.
func (m *Machine) applySuspects(index uint64, c *fescuepb.SuspectsChange) *fescuepb.CommandResult {
	if err := CheckSuspects(c); err != nil {
		return errorResult(errkind.BadRequest, err.Error())
	}
	for _, id := range c.Cleared {
		if m.view.Suspects[id] != nil {
			m.view.RemoveSuspect(id, index)
		}
	}
	for _, crash := range c.Crashes {
		for _, id := range crash.Suspects {
			m.changeSuspect(index, id, true, func(s *fescuepb.Suspect) bool { return quarantine.AddCrash(s, crash.Target) })
		}
	}
	for _, id := range c.TrialsDue {
		m.changeSuspect(index, id, false, quarantine.DueTrial)
	}
	for _, id := range c.Claims {
		m.changeSuspect(index, id, false, func(s *fescuepb.Suspect) bool { return quarantine.ClaimTrial(s, c.Instance) })
	}
	for len(m.view.Suspects) > quarantine.MaxSuspects {
		m.view.RemoveSuspect(quarantine.Evictable(m.view.Suspects), index)
	}
	m.explainSuspects(index)
	return &fescuepb.CommandResult{}
}

// explainSuspects records for each suspect which other one explains its crashes. The
// order does not matter: it depends on the crashes only, which stay as they are.
func (m *Machine) explainSuspects(index uint64) {
	for _, s := range m.view.Suspects {
		if by := quarantine.ExplainedBy(s, m.view.Suspects); by != s.ExplainedBy {
			m.changeSuspect(index, s.Id, false, func(next *fescuepb.Suspect) bool { next.ExplainedBy = by; return true })
		}
	}
}

// changeSuspect stores a suspect as change returns it, if it returns true. A suspect
// that does not exist is created if create is set.
func (m *Machine) changeSuspect(index uint64, id string, create bool, change func(*fescuepb.Suspect) bool) {
	cur := m.view.Suspects[id]
	if cur == nil && !create {
		return
	}
	next := &fescuepb.Suspect{Id: id}
	if cur != nil {
		next = proto.Clone(cur).(*fescuepb.Suspect)
	}
	if change(next) {
		next.ChangedVersion = index
		m.view.SetSuspect(next)
	}
}

// Suspects returns the requests that may crash targets, ordered by fingerprint.
func (m *Machine) Suspects() []*fescuepb.Suspect {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.SuspectList()
}
