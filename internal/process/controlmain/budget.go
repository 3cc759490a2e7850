package controlmain

import (
	"context"
	"sync/atomic"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/process/budget"
	"github.com/fescuejunction/fescuejunction/internal/process/ring"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
)

// versionCapacity is how many committed versions may wait for the budget
// server. A full ring delays the state machine: no version may be skipped,
// because holders that are silent now may have acted on it.
const versionCapacity = 64

// leadership tells the budget server what the replica knows.
type leadership struct {
	p        *process
	log      *logrus.Entry
	versions *ring.Ring[*fescuepb.Update]
	snap     atomic.Pointer[snapshot.Snapshot]
	ctx      context.Context // ends when versions are not taken any more
	stop     context.CancelFunc
}

func newLeadership(p *process, log *logrus.Entry) *leadership {
	l := &leadership{p: p, log: log, versions: ring.New[*fescuepb.Update](versionCapacity)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// IsLeader reports whether the replica leads and a quorum has confirmed that
// recently.
func (l *leadership) IsLeader() bool {
	return l.p.replica.IsLeader() && l.p.server.ConfirmedWithin(budget.LeaderOverlap)
}

// Term returns the replica's term.
func (l *leadership) Term() uint64 { return l.p.replica.Status().Term }

// Snapshot returns the newest committed version, or nil.
func (l *leadership) Snapshot() *snapshot.Snapshot { return l.snap.Load() }

// enqueue takes a committed version from the state machine.
func (l *leadership) enqueue(u *fescuepb.Update) {
	_ = l.versions.Put(l.ctx, u) // fails only at the end of the process
}

// run gives each committed version to the budget server, until ctx ends.
func (l *leadership) run(ctx context.Context, server *budget.Server) {
	defer l.stop()
	var builder snapshot.Builder
	for {
		u, err := l.versions.Take(ctx)
		if err != nil {
			return
		}
		snap, err := builder.Build(u.Version, u.Sections, u.Members, u.BlockTable)
		if err != nil {
			l.log.WithError(err).WithField("version", u.Version).Error("committed version does not compile")
			continue
		}
		old := l.snap.Swap(snap)
		server.Observe(snap)
		for _, instance := range removed(old, snap) {
			server.Gone(instance)
		}
	}
}

// removed returns the instances that are members in old but not in snap.
func removed(old, snap *snapshot.Snapshot) []string {
	if old == nil {
		return nil
	}
	var out []string
	for _, m := range old.Members() {
		if snap.Member(m.Instance) == nil {
			out = append(out, m.Instance)
		}
	}
	return out
}
