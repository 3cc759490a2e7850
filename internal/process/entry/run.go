package entry

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/metrics"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/connection/peer"
	"github.com/fescuejunction/fescuejunction/internal/connection/platform"
	"github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/entry/follow"
	"github.com/fescuejunction/fescuejunction/internal/process/entry/group"
	"github.com/fescuejunction/fescuejunction/internal/process/entry/lifecycle"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/budget"
	"github.com/fescuejunction/fescuejunction/internal/request/announce"
	"github.com/fescuejunction/fescuejunction/internal/request/once"
	"github.com/fescuejunction/fescuejunction/internal/request/proxy"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// process holds the components of a running entry.
type process struct {
	settings   *Settings
	control    atomic.Pointer[[]string] // gRPC addresses of control replicas in the settings
	ext        Extension
	log        *logrus.Entry
	scope      tally.Scope
	store      *snapshot.Store
	blocks     atomic.Pointer[blocks.Table]
	lifecycle  *lifecycle.Machine
	start      proxy.Start
	stopState  atomic.Pointer[proxy.Stop] // nil while no planned stop is in progress
	follower   *follow.Follower
	targets    *target.Watcher
	groups     *group.Manager
	guarded    *group.Guarded
	shared     *budget.ConcurrentHolder
	ledger     *once.Service
	announced  *announce.Registry
	linkBudget *linkBudget
	suspects   *quarantine.Table
	reporter   *suspectReporter
	self       *fescuepb.Member
	peers      *peer.Links
}

// Run runs an entry until ctx ends, then stops it gracefully. It receives reloaded
// settings from reloaded, which may be nil.
func Run(ctx context.Context, s *Settings, reloaded <-chan *Settings, ext Extension, log *logrus.Entry) error {
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(s.MemoryLimit) << 20)
	}
	links, err := peer.NewLinks(s.TLS, log)
	if err != nil {
		return err
	}
	defer links.Close()
	scope, metricsHandler, closer := metrics.New("entry")
	defer func() { _ = closer.Close() }()
	p := &process{ext: ext.withDefaults(), lifecycle: lifecycle.New(log), settings: s, log: log, scope: scope, store: &snapshot.Store{}, peers: links, linkBudget: &linkBudget{shares: budget.NewLinkShares(s.Instance)}}
	p.control.Store(&s.Control)
	if err := p.loadBlocks(); err != nil {
		return err
	}
	p.assemble()
	p.start = p.watchStart(ctx)
	go metrics.Serve(ctx, s.MetricsAddr, metricsHandler, log)
	return p.serve(ctx, reloaded, metricsHandler)
}

// reload applies the reloaded settings until ctx ends: the addresses of control and
// the log level. Changes of all other settings take effect at the next start.
func (p *process) reload(ctx context.Context, reloaded <-chan *Settings) {
	for {
		select {
		case s := <-reloaded:
			p.control.Store(&s.Control)
			p.follower.SetSources(s.Control)
			s.Log.SetLevel(p.log)
			p.log.WithField("control", s.Control).Info("reloaded settings in force")
		case <-ctx.Done():
			return
		}
	}
}

// loadBlocks loads the client-block table from the file named in the settings, if
// there is one.
func (p *process) loadBlocks() error {
	if p.settings.BlocksFile == "" {
		return nil
	}
	f, err := os.Open(p.settings.BlocksFile)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "open client blocks")
	}
	defer f.Close()
	t, err := blocks.ParseText(f)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "%s", p.settings.BlocksFile)
	}
	p.blocks.Store(t)
	debug.FreeOSMemory()
	return nil
}

// assemble creates the components of the entry and connects them.
func (p *process) assemble() {
	s := p.settings
	incarnation := uint64(time.Now().UnixNano())
	p.self = &fescuepb.Member{
		Instance: s.Instance, Region: s.Region, DataCentre: s.DataCentre, Role: fescuepb.Role_ROLE_ENTRY,
		CallerAddr: s.CallerAddr, PeerAddr: s.PeerAddr, GrpcAddr: s.GRPCAddr, Incarnation: incarnation,
	}
	p.follower = follow.New(follow.Config{
		Self: p.self, Sources: s.Control, Peers: s.Peers, Dial: p.peers.Open, Store: p.store, Blocks: &p.blocks, Log: p.log, Metrics: p.scope,
	})
	p.suspects = quarantine.NewTable(s.Instance)
	p.reporter = &suspectReporter{
		instance: s.Instance, events: ring.New[quarantine.Event](suspectEvents), send: p.follower.ReportSuspects, log: p.log,
		dropped: p.scope.Counter("suspect_events_dropped"),
	}
	p.announced = announce.New(steady.Now, p.log, p.scope)
	p.shared = budget.NewConcurrentHolder(budget.NewHolder(s.Instance, incarnation))
	p.targets = &target.Watcher{
		DataCentre: s.DataCentre, Log: p.log,
		Platform: &platform.Client{URL: s.PlatformURL, HTTP: platform.NewHTTPClient()},
		HTTP:     &http.Client{Transport: &target.Transport{Dial: target.Dial}},
		Pausing:  p.announced.PausesAt,
		Changed:  func() { p.groups.Wake() },
	}
	p.groups = group.NewManager(group.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, Incarnation: incarnation, Store: p.store,
		Ready: p.follower.Ready, Targets: p.targets.Targets, Announced: p.announced, Dial: p.peers.Dial, NewToken: newToken,
		DispatcherChanged: func(string) { p.ledger.Wake() }, Log: p.log,
	})
	p.guarded = &group.Guarded{
		Instance: s.Instance, DataCentre: s.DataCentre, Client: &slots.Client{Dial: p.peers.Dial, Log: p.log}, Announced: p.announced, Metrics: p.scope, Now: time.Now, Log: p.log,
	}
	p.ledger = once.New(once.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, Incarnation: incarnation, Store: p.store,
		Role: p.role, ProvedDead: p.groups.ProvedDead,
		DiedWithoutTakeover: p.groups.DiedWithoutTakeover, AllEntriesAccountedFor: p.groups.AllEntriesAccountedFor, RaiseEpoch: p.groups.RaiseEpoch, Leaving: p.groups.Leaving,
		Peer:           func(m *fescuepb.Member) once.Peer { return once.GRPCPeer{Dial: p.peers.Dial, Addr: m.GrpcAddr} },
		AddressRefused: once.AddressRefuses, Now: steady.Now, Claim: p.claim, Log: p.log,
	})
}

// role returns this instance's role in the dispatch group of a service, for the
// ledger.
func (p *process) role(service string) once.Role {
	g := p.groups.Group(service)
	return once.Role{
		Epoch: g.Epoch, IsDispatcher: g.IsDispatcher, Dispatcher: g.Dispatcher, Token: g.Token,
		Previous: g.Previous.Instance, PreviousIncarnation: g.Previous.Incarnation, PreviousSilent: g.Previous.Silent,
	}
}

// claim records a dispatcher at the first control replica that accepts the call.
// If no call succeeds, it returns the error of the last one. A failed dial ends
// the search with its error.
func (p *process) claim(ctx context.Context, c *fescuepb.GroupClaim) (*fescuepb.ClaimReply, error) {
	var last error
	for _, addr := range *p.control.Load() {
		conn, err := p.peers.Dial(addr)
		if err != nil {
			return nil, err
		}
		reply, err := fescuepb.NewMembersClient(conn).ClaimGroup(ctx, c)
		if err == nil {
			return reply, nil
		}
		last = err
	}
	return nil, last
}

// tokenLength is the number of characters of a key token. Tokens are short because
// they are part of key prefixes, and they need not be unguessable.
const tokenLength = 10

// newToken returns the random end of a new ULID.
func newToken() string {
	id := ulid.Make().String()
	return id[len(id)-tokenLength:]
}

// ready reports whether this entry can route requests: a version is in force and,
// if the settings require host routes, the version has some.
func (p *process) ready() bool {
	if !p.follower.Ready() || !p.guarded.Ready() {
		return false
	}
	return !p.settings.NeedHostRoutes || p.store.Load().HasHostRoutes()
}

// How long requests wait for the start of the entry, and how often it is checked. After the loss
// of all processes a version is confirmed 1.1 to 1.4 s after the start.
const (
	startWait          = 2 * time.Second
	startCheckInterval = 20 * time.Millisecond
)

// watchStart returns the start of this entry, which ends when the entry is ready.
func (p *process) watchStart(ctx context.Context) proxy.Start {
	ready := make(chan struct{})
	until := time.Now().Add(startWait)
	go func() {
		ticker := time.NewTicker(startCheckInterval)
		defer ticker.Stop()
		for time.Now().Before(until) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			if p.ready() {
				close(ready)
				return
			}
		}
	}()
	return proxy.Start{Ready: ready, Until: until}
}

// stopping reports whether a planned stop has begun or is complete.
func (p *process) stopping() bool {
	return p.lifecycle.Is(lifecycle.Draining) || p.lifecycle.Is(lifecycle.Stopped)
}

// stopProgress returns the progress of a planned stop.
func (p *process) stopProgress() proxy.Stop {
	if s := p.stopState.Load(); s != nil {
		return *s
	}
	return proxy.Stop{}
}

// fireEvent applies an event to the lifecycle. An event that the current state does
// not allow, such as a confirmation during a stop, is only logged.
func (p *process) fireEvent(event string) {
	if err := p.lifecycle.Fire(event); err != nil {
		p.log.WithError(err).Debug("lifecycle event ignored in the current state")
	}
}

// applySnapshots passes each new snapshot to the components that depend on it,
// until ctx ends.
func (p *process) applySnapshots(ctx context.Context) error {
	for {
		changed := p.store.Changed()
		if s := p.store.Load(); s != nil {
			if p.lifecycle.Is(lifecycle.Starting) {
				p.fireEvent(lifecycle.Confirmed)
			}
			p.shared.ApplySnapshot(s)
			p.linkBudget.setSnapshot(s)
			p.applySuspects(s) // before the entry is ready, so that it never sends a quarantined request
			p.groups.Wake()
			p.guarded.SetSnapshot(s)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
