package controlmain

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/budget"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"github.com/sirupsen/logrus"
)

// versionCapacity is how many committed versions may wait for the budget
// server. A full ring delays the state machine: no version may be skipped,
// because holders that are silent now may have acted on it.
const versionCapacity = 64

// catchUpTimeout bounds one attempt to catch up. Versions wait meanwhile, so a
// full ring would hold up the read that it waits for.
const catchUpTimeout = time.Second

// leadership tells the budget server what the replica knows.
type leadership struct {
	p           *process
	log         *logrus.Entry
	versions    *ring.Ring[*committedVersion]
	snap        atomic.Pointer[snapshot.Snapshot]
	unprocessed *committedVersion // taken from versions but not given yet; owned by run

	caughtUpTerm atomic.Uint64             // term in which snap had every version committed before it
	confirmedAt  atomic.Pointer[time.Time] // when a quorum confirmed that term
	ctx          context.Context           // ends when versions are not taken any more
	stop         context.CancelFunc
}

// committed is a committed version.
type committedVersion struct {
	*fescuepb.Update
	restored bool // from a state snapshot
	earlier  []state.EarlierCap
}

func newLeadership(p *process, log *logrus.Entry) *leadership {
	l := &leadership{p: p, log: log, versions: ring.New[*committedVersion](versionCapacity)}
	l.confirmedAt.Store(new(time.Time))
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// IsLeader reports whether the replica leads, a quorum has confirmed that
// recently, and every version from before its term was given to the budget
// server, which otherwise would not know who may hold leases.
func (l *leadership) IsLeader() bool {
	if !l.p.replica.IsLeader() || l.caughtUpTerm.Load() != l.Term() {
		return false
	}
	return steady.Since(*l.confirmedAt.Load()) < budget.LeaderOverlap || l.p.server.ConfirmedWithin(budget.LeaderOverlap)
}

// Term returns the replica's term.
func (l *leadership) Term() uint64 { return l.p.replica.Status().Term }

// Snapshot returns the newest committed version, or nil.
func (l *leadership) Snapshot() *snapshot.Snapshot { return l.snap.Load() }

// enqueue takes a committed version from the state machine.
func (l *leadership) enqueue(u *fescuepb.Update, restored bool) {
	c := &committedVersion{Update: u, restored: restored}
	if restored {
		c.earlier = l.p.machine.EarlierCaps()
	}
	_ = l.versions.Put(l.ctx, c) // fails only at the end of the process
}

// run gives each committed version and change of role to the budget server,
// until ctx ends.
func (l *leadership) run(ctx context.Context, server *budget.Server) {
	defer l.stop()
	var builder snapshot.Builder
	l.deliver(&builder, &committedVersion{Update: &fescuepb.Update{}}, server)
	for {
		changed := l.p.replica.Changed()
		l.catchUp(ctx, &builder, server)
		server.SyncRole()
		if u := l.unprocessed; u != nil {
			l.unprocessed = nil
			l.deliver(&builder, u, server)
		}
		select {
		case l.unprocessed = <-l.versions.C():
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// catchUp gives a new leader's budget server every version committed before
// its term and none from after its beginning: without an entry from before,
// leases can be granted at once.
func (l *leadership) catchUp(ctx context.Context, builder *snapshot.Builder, server *budget.Server) {
	term, startedAt := l.Term(), steady.Now()
	if !l.p.replica.IsLeader() || l.caughtUpTerm.Load() == term {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	// The state machine has every version up to the index read.
	if _, err := l.p.replica.Read(ctx); err != nil {
		return // tried again at the next change
	}
	st := l.p.replica.Status()
	if st.Term != term {
		return
	}
	for {
		if l.unprocessed == nil && l.versions.Len() > 0 {
			l.unprocessed, _ = l.versions.Take(ctx) // does not wait
		}
		if l.unprocessed == nil || l.unprocessed.Version > st.TermStart {
			break
		}
		l.deliver(builder, l.unprocessed, server)
		l.unprocessed = nil
	}
	l.confirmedAt.Store(&startedAt)
	l.caughtUpTerm.Store(term)
}

// take compiles a committed version and gives it to the budget server.
func (l *leadership) deliver(builder *snapshot.Builder, u *committedVersion, server *budget.Server) {
	snap, err := builder.Build(snapshot.Content{Version: u.Version, Sections: u.Sections, Members: u.Members, Targets: u.Targets, Blocks: u.BlockTable})
	if err != nil {
		l.log.WithError(err).WithField("version", u.Version).Error("committed version does not compile")
		return
	}
	old := l.snap.Swap(snap)
	server.Observe(snap)
	if u.restored {
		server.RestoreEarlierCaps(u.earlier)
	}
	for _, instance := range removedMembers(old, snap) {
		server.InstanceRemoved(instance)
	}
}

// removed returns the instances that are members in old but not in snap.
func removedMembers(old, snap *snapshot.Snapshot) []string {
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
