// Package follow obtains the steering document for an entry. It registers the
// entry as a member, chooses a source, keeps the routing snapshot up to date and
// relays updates to the other entries of its data centre.
package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/feed"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
)

// Config holds the settings and dependencies of a Follower.
type Config struct {
	Self    *fescuepb.Member
	Sources []string // gRPC addresses of the control replicas
	Peers   []string // gRPC addresses of entries in the data centre, used if control is unreachable
	Dial    func(addr string) (*grpc.ClientConn, error)
	Store   *snapshot.Store
	Blocks  *atomic.Pointer[blocks.Table] // receives the client-block table; nil if none is needed
	Log     *logrus.Entry
	Metrics tally.Scope
}

// Follower keeps a snapshot store up to date. It is safe for concurrent use.
type Follower struct {
	cfg       Config
	hub       *feed.Hub
	sessions  *feed.Sessions
	now       func() time.Time // clock of package steady
	ackNeeded chan struct{}    // signalled if the versions to acknowledge changed; capacity 1

	confirmation  confirmation
	chunks        chunks
	blocksChanged chan struct{} // signalled if a new snapshot, which may name another table, is in force; capacity 1

	mu             sync.Mutex
	received       *view.Receiver
	builder        snapshot.Builder
	freshness      freshness
	ready          bool // a version is in force
	confirmed      bool // the counter has confirmed a version since the start
	inForce        uint64
	leaving        bool
	lastSession    uint64   // number of the last watch that became the current one
	plannedVersion uint64   // version of the view from which plan was computed
	plan           []source // sources in order of preference
}

// New returns a follower that follows no source until Run is called.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg, now: steady.Now, received: view.NewReceiver(), ackNeeded: make(chan struct{}, 1), blocksChanged: make(chan struct{}, 1)}
	f.chunks.data = map[blocks.Hash][]byte{}
	f.plan = planSources(cfg.Self, nil, cfg.Sources, cfg.Peers)
	f.sessions = &feed.Sessions{
		Via: cfg.Self.Instance, Members: f.members, Report: f.reportSession, Now: time.Now, Counter: relaySource{f}.Counter, Log: cfg.Log,
	}
	f.hub = feed.NewHub(feed.Config{
		Instance:       cfg.Self.Instance,
		Source:         relaySource{f},
		Uninterrupted:  f.uninterrupted,
		Stalled:        f.stalled,
		Pending:        f.pending,
		OnAcknowledged: f.acknowledge,
		Sessions:       f.sessions,
	})
	return f
}

// Run joins the members and follows a source until ctx ends. It returns an error
// of kind Conflict if the incarnation has already left.
func (f *Follower) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer f.hub.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		if err := f.maintainMembership(ctx); err != nil {
			cancel(err)
		}
	})
	wg.Go(func() { f.recoverFromPeers(ctx) })
	wg.Go(func() { f.sessions.Run(ctx) })
	if f.cfg.Blocks != nil {
		wg.Go(func() { f.maintainBlockTable(ctx) })
	}
	newLoop(f).run(ctx)
	if err := context.Cause(ctx); err != context.Canceled {
		return err
	}
	return nil
}

// Ready reports whether a version is in force. It is a confirmed one, unless it
// was taken from a peer because control could not be reached.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// stalled reports whether the counter has not advanced within counterTimeout.
func (f *Follower) stalled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshness.stalled(f.now())
}

// pending returns the counter of the source while its content is still on the way, or
// 0.
func (f *Follower) pending() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshness.pendingCounter(f.now())
}

// uninterrupted reports whether a version has been confirmed since the start. Only
// then may restarted peers take a version from this process.
func (f *Follower) uninterrupted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// acknowledge makes the watches acknowledge the versions in force soon.
func (f *Follower) acknowledge() { signal(f.ackNeeded) }

// signal sends to a channel of capacity 1 unless a signal is already pending.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// applyUpdate applies an update that was received on a watch. It wakes the hub if
// there is something new to relay, and reports whether it did.
func (f *Follower) applyUpdate(progress *watchProgress, u *fescuepb.Update, now time.Time) (outcome view.Outcome, pushed bool) {
	outcome, pushed = f.mergeUpdate(progress, u, now)
	if pushed {
		f.hub.Wake()
	}
	return outcome, pushed
}

// mergeUpdate merges an update into the view and puts the view in force if it is
// confirmed. wake reports whether the version or the counter advanced.
func (f *Follower) mergeUpdate(progress *watchProgress, u *fescuepb.Update, now time.Time) (outcome view.Outcome, wake bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	outcome = f.received.Apply(u)
	switch {
	case outcome == view.Gap: // the counter must not confirm content that is missing
		return outcome, false
	case outcome == view.Paged:
		progress.contentAt = now
		progress.pages++
		f.cfg.Metrics.Counter("follow_pages").Inc(1)
		f.freshness.observePending(progress, max(u.Counter, u.Pending), now)
		return outcome, false
	case u.Version > f.received.View.Version: // without content, or with a page that is not the next one
		f.freshness.observePending(progress, max(u.Counter, u.Pending), now)
		return outcome, false
	}
	advance := f.freshness.observe(progress, u.Counter, now)
	if advance {
		progress.contentAt = now
	}
	if u.Pending > u.Counter { // the source itself waits for content
		f.freshness.observePending(progress, u.Pending, now)
	}
	if progress.confirmsVersion() && !f.confirmed {
		f.confirmed = true
		f.cfg.Log.WithFields(logrus.Fields{"version": f.received.View.Version, "source": u.Source}).Info("version confirmed")
	}
	if f.confirmed || f.ready {
		f.installLocked()
	}
	if f.freshness.isFresh(now) && f.inForce == f.received.View.Version {
		f.confirmation.confirm(f.freshness.advancedAt)
	}
	return outcome, advance || outcome == view.Advanced
}

// installLocked puts the view in force if it is newer than the version in force.
// The caller holds the lock and has checked that the version may be acted on.
func (f *Follower) installLocked() {
	if f.received.View.Version <= f.inForce {
		return
	}
	snap, err := f.builder.Build(snapshot.Content{
		Version: f.received.View.Version, Sections: f.received.View.LiveSections(), Members: f.received.View.MemberList(),
		Routes: f.received.View.RouteList(), Targets: f.received.View.TargetList(), Suspects: f.received.View.SuspectList(), Blocks: f.received.View.Blocks,
	})
	if err != nil {
		f.cfg.Log.WithError(err).WithField("version", f.received.View.Version).Error("version cannot be put in force: building the snapshot failed")
		return
	}
	f.cfg.Store.Swap(snap)
	signal(f.blocksChanged)
	f.inForce, f.ready = f.received.View.Version, true
	f.cfg.Metrics.Gauge("follow_version").Update(float64(f.inForce))
	f.cfg.Log.WithField("version", f.inForce).Info("version in force")
	f.acknowledge()
}

// members returns the members of the view.
func (f *Follower) members() []*fescuepb.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received.View.MemberList()
}

// SetSources replaces the configured gRPC addresses of the control replicas.
func (f *Follower) SetSources(control []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Sources = control
	f.plan = planSources(f.cfg.Self, f.received.View.MemberList(), f.cfg.Sources, f.cfg.Peers)
}

// nextSession returns the number of the next watch that becomes the current one.
func (f *Follower) nextSession() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSession++
	return f.lastSession
}

// sources returns the sources according to the newest view, in order of
// preference.
func (f *Follower) sources() []source {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.received.View.Version != f.plannedVersion {
		f.plannedVersion = f.received.View.Version
		f.plan = planSources(f.cfg.Self, f.received.View.MemberList(), f.cfg.Sources, f.cfg.Peers)
	}
	return f.plan
}

// watchRequest returns the first request of a watch or an acknowledgement.
// session is 0 for a watch that is not the current one.
func (f *Follower) watchRequest(session uint64) *fescuepb.WatchRequest {
	behind := f.hub.Acks.LiveVersions()
	f.mu.Lock()
	defer f.mu.Unlock()
	return &fescuepb.WatchRequest{
		Instance: f.cfg.Self.Instance,
		Version:  f.received.View.Version,
		InForce:  f.inForce,
		Behind:   behind,

		Incarnation: f.cfg.Self.Incarnation,
		Session:     session,
		Position:    f.received.Position().Message(),
	}
}
