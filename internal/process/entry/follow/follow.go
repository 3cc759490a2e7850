// Package follow is how an entry obtains the steering document: it joins as
// a member, chooses a source, keeps the routing snapshot up to date and
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

// Config configures a follower.
type Config struct {
	Self    *fescuepb.Member
	Sources []string // gRPC addresses of the control replicas
	Peers   []string // gRPC addresses of entries in the data centre, for when control is out of reach
	Dial    func(addr string) (*grpc.ClientConn, error)
	Store   *snapshot.Store
	Blocks  *atomic.Pointer[blocks.Table] // receives the client-block table; nil if it isn't wanted
	Log     *logrus.Entry
	Metrics tally.Scope
}

// Follower keeps a snapshot store up to date.
type Follower struct {
	cfg      Config
	hub      *feed.Hub
	sessions *feed.Sessions
	now      func() time.Time // of package steady
	ack      chan struct{}    // the versions to acknowledge changed; holds one

	chunks        chunks
	blocksChanged chan struct{} // the snapshot names another table; holds one

	mu        sync.Mutex
	view      *view.View
	builder   snapshot.Builder
	fresh     freshness
	ready     bool // a version is in force
	confirmed bool // a version was confirmed by the counter since the start
	inForce   uint64
	leaving   bool
	session   uint64   // number of the last watch taken into use
	planned   uint64   // version of the view that plan was made from
	plan      []source // sources, best first
}

// New returns a follower; Run starts it.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg, now: steady.Now, view: view.New(), ack: make(chan struct{}, 1), blocksChanged: make(chan struct{}, 1)}
	f.chunks.data = map[blocks.Hash][]byte{}
	f.plan = planSources(cfg.Self, nil, cfg.Sources, cfg.Peers)
	f.sessions = &feed.Sessions{
		Via: cfg.Self.Instance, Members: f.members, Report: f.reportSession, Now: time.Now, Counter: relaySource{f}.Counter, Log: cfg.Log,
	}
	f.hub = feed.NewHub(feed.Config{
		Instance:      cfg.Self.Instance,
		Source:        relaySource{f},
		Uninterrupted: f.uninterrupted,
		Acknowledged:  f.acknowledge,
		Sessions:      f.sessions,
	})
	return f
}

// Run joins and follows until ctx ends. It fails if the incarnation has
// already left.
func (f *Follower) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer f.hub.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		if err := f.keepJoined(ctx); err != nil {
			cancel(err)
		}
	})
	wg.Go(func() { f.askPeers(ctx) })
	wg.Go(func() { f.sessions.Run(ctx) })
	if f.cfg.Blocks != nil {
		wg.Go(func() { f.keepBlocks(ctx) })
	}
	newLoop(f).run(ctx)
	if err := context.Cause(ctx); err != context.Canceled {
		return err
	}
	return nil
}

// Ready reports whether a confirmed version is in force.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// Confirmed reports whether the counter advanced within the last 1.5 s.
func (f *Follower) Confirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.fresh(f.now())
}

func (f *Follower) uninterrupted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// acknowledge makes the watches send the versions in force soon.
func (f *Follower) acknowledge() { signal(f.ack) }

// signal fills a channel that holds one element.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// take applies an update received on a watch.
func (f *Follower) take(w *watchCounters, u *fescuepb.Update, now time.Time) view.Outcome {
	outcome, wake := f.absorb(w, u, now)
	if wake {
		f.hub.Wake()
	}
	return outcome
}

func (f *Follower) absorb(w *watchCounters, u *fescuepb.Update, now time.Time) (outcome view.Outcome, wake bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	outcome = f.view.Apply(u)
	if outcome == view.Gap {
		return outcome, false // the counter would vouch for content that is missing
	}
	advance := f.fresh.observe(w, u.Counter, now)
	if w.confirming() && !f.confirmed {
		f.confirmed = true
		f.cfg.Log.WithFields(logrus.Fields{"version": f.view.Version, "source": u.Source}).Info("version confirmed")
	}
	if f.confirmed || f.ready {
		f.install()
	}
	return outcome, advance || outcome == view.Advanced
}

// install puts the view in force. The caller holds the lock and has checked
// that the version is confirmed.
func (f *Follower) install() {
	if f.view.Version <= f.inForce {
		return
	}
	snap, err := f.builder.Build(snapshot.Content{
		Version: f.view.Version, Sections: f.view.LiveSections(), Members: f.view.MemberList(),
		Targets: f.view.TargetList(), Blocks: f.view.Blocks,
	})
	if err != nil {
		f.cfg.Log.WithError(err).WithField("version", f.view.Version).Error("version not put in force")
		return
	}
	f.cfg.Store.Swap(snap)
	signal(f.blocksChanged)
	f.inForce, f.ready = f.view.Version, true
	f.cfg.Metrics.Gauge("follow_version").Update(float64(f.inForce))
	f.cfg.Log.WithField("version", f.inForce).Info("version in force")
	f.acknowledge()
}

// members returns the members of the view.
func (f *Follower) members() []*fescuepb.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.MemberList()
}

// SetSources replaces the configured addresses of the control replicas.
func (f *Follower) SetSources(control []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Sources = control
	f.plan = planSources(f.cfg.Self, f.view.MemberList(), f.cfg.Sources, f.cfg.Peers)
}

// nextSession numbers the watches that are taken into use.
func (f *Follower) nextSession() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.session++
	return f.session
}

// sources returns the sources, best first, as the newest view has them.
func (f *Follower) sources() []source {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Version != f.planned {
		f.planned = f.view.Version
		f.plan = planSources(f.cfg.Self, f.view.MemberList(), f.cfg.Sources, f.cfg.Peers)
	}
	return f.plan
}

// request returns the first request of a watch or an acknowledgement. session
// is 0 for a watch that is not in use.
func (f *Follower) request(session uint64) *fescuepb.WatchRequest {
	behind := f.hub.Acks.Behind()
	f.mu.Lock()
	defer f.mu.Unlock()
	return &fescuepb.WatchRequest{
		Instance: f.cfg.Self.Instance,
		Version:  f.view.Version,
		InForce:  f.inForce,
		Behind:   behind,

		Incarnation: f.cfg.Self.Incarnation,
		Session:     session,
	}
}
