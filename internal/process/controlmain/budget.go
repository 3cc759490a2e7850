package controlmain

import (
	"context"
	"sync/atomic"

	"github.com/fescuejunction/fescuejunction/internal/process/budget"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"github.com/sirupsen/logrus"
)

// leadership tells the budget server what the replica knows.
type leadership struct {
	log  control.Log
	term func() uint64
	snap atomic.Pointer[snapshot.Snapshot]
}

// IsLeader reports whether the replica leads.
func (l *leadership) IsLeader() bool { return l.log.IsLeader() }

// Term returns the replica's term.
func (l *leadership) Term() uint64 { return l.term() }

// Snapshot returns the newest committed version, or nil.
func (l *leadership) Snapshot() *snapshot.Snapshot { return l.snap.Load() }

// observeVersions gives each committed version and change of role to the
// budget server.
func observeVersions(ctx context.Context, l *leadership, machine *state.Machine, server *budget.Server, log *logrus.Entry) error {
	for {
		changed := l.log.Changed()
		if snap := compile(machine, log); snap != nil {
			before := l.snap.Load()
			l.snap.Store(snap)
			server.Sync()
			for _, instance := range removed(before, snap) {
				server.Gone(instance)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// removed returns the entries that are no longer members.
func removed(before, after *snapshot.Snapshot) []string {
	if before == nil {
		return nil
	}
	var out []string
	for _, m := range before.Members() {
		if after.Member(m.Instance) == nil {
			out = append(out, m.Instance)
		}
	}
	return out
}

// compile builds the routing snapshot of the machine's version.
func compile(machine *state.Machine, log *logrus.Entry) *snapshot.Snapshot {
	u := machine.Since(0)
	snap, err := snapshot.Build(u.Version, u.Sections, u.Members, u.BlockTable)
	if err != nil {
		log.WithError(err).WithField("version", u.Version).Error("committed version does not compile")
		return nil
	}
	return snap
}
