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

// versionCapacity is how many committed versions may be queued for the budget
// server. A full queue blocks the state machine, because no version may be
// skipped: holders that are unreachable now may have applied it.
const versionCapacity = 64

// catchUpTimeout limits one attempt to catch up. No versions are taken from the
// queue during the read of the attempt, so without a limit a full queue could block
// the state machine, and with it the read, forever.
const catchUpTimeout = time.Second

// leadership implements budget.Leadership for the replica of this process, and
// passes committed versions to the budget server.
type leadership struct {
	p           *process
	log         *logrus.Entry
	versions    *ring.Ring[*committedVersion]
	snap        atomic.Pointer[snapshot.Snapshot]
	unprocessed *committedVersion // taken from versions but not yet delivered; owned by run

	caughtUpTerm atomic.Uint64             // latest term as leader for which all earlier versions were delivered
	confirmedAt  atomic.Pointer[time.Time] // start of the read with which a quorum confirmed that term
	ctx          context.Context           // ends when run stops taking versions
	stop         context.CancelFunc
}

// committedVersion is a committed version for the budget server.
type committedVersion struct {
	*fescuepb.Update
	restored bool               // from a state snapshot
	earlier  []state.EarlierCap // caps of revisions before a restored version
}

func newLeadership(p *process, log *logrus.Entry) *leadership {
	l := &leadership{p: p, log: log, versions: ring.New[*committedVersion](versionCapacity)}
	l.confirmedAt.Store(new(time.Time))
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// IsLeader reports whether the replica is the leader, a quorum has confirmed this
// recently, and every version from before its term was delivered to the budget
// server. Without these versions, the budget server would not know which entries
// may hold leases.
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

// enqueue queues a committed version for the budget server. The state machine calls
// it. It blocks while the queue is full.
func (l *leadership) enqueue(u *fescuepb.Update, restored bool) {
	c := &committedVersion{Update: u, restored: restored}
	if restored {
		c.earlier = l.p.machine.EarlierCaps()
	}
	_ = l.versions.Put(l.ctx, c) // fails only after run has ended
}

// run passes each committed version and each change of role to the budget server
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

// catchUp delivers to the budget server of a new leader every version committed
// before its term, and none committed after the term began. Later versions must
// wait, because the budget server can grant leases at once only if no entry was a
// member before the term. An error is retried at the next change.
func (l *leadership) catchUp(ctx context.Context, builder *snapshot.Builder, server *budget.Server) {
	term, startedAt := l.Term(), steady.Now()
	if !l.p.replica.IsLeader() || l.caughtUpTerm.Load() == term {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	// After the read, the state machine has every version committed before it.
	if _, err := l.p.replica.Read(ctx); err != nil {
		return // retried at the next change
	}
	st := l.p.replica.Status()
	if st.Term != term {
		return
	}
	for {
		if l.unprocessed == nil && l.versions.Len() > 0 {
			l.unprocessed, _ = l.versions.Take(ctx) // does not block, as the queue is not empty
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

// deliver builds the snapshot of a committed version and passes it to the budget
// server.
func (l *leadership) deliver(builder *snapshot.Builder, u *committedVersion, server *budget.Server) {
	snap, err := builder.Build(snapshot.Content{Version: u.Version, Sections: u.Sections, Routes: u.Routes, Members: u.Members, Targets: u.Targets, Blocks: u.BlockTable})
	if err != nil {
		l.log.WithError(err).WithField("version", u.Version).Error("cannot build a snapshot of the committed version")
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

// removedMembers returns the instances that are members in old but not in snap.
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
