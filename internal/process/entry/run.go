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
	"github.com/fescuejunction/fescuejunction/internal/request/once"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// process holds the parts of a running entry.
type process struct {
	set      *Settings
	control  atomic.Pointer[[]string] // gRPC addresses of control replicas in the settings
	ext      Extension
	log      *logrus.Entry
	scope    tally.Scope
	store    *snapshot.Store
	blocks   atomic.Pointer[blocks.Table]
	life     *lifecycle.Machine
	follower *follow.Follower
	targets  *target.Watcher
	groups   *group.Manager
	guarded  *group.Guarded
	shared   *budget.Shared
	ledger   *once.Service
	links    *linkBudget
	self     *fescuepb.Member
	peers    *peer.Links
}

// Run runs an entry until ctx ends, then stops it gracefully. Settings that are
// reloaded meanwhile come from reloaded, which may be nil.
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
	p := &process{ext: ext.withDefaults(), life: lifecycle.New(log), set: s, log: log, scope: scope, store: &snapshot.Store{}, peers: links, links: &linkBudget{shares: budget.NewLinkShares(s.Instance)}}
	p.control.Store(&s.Control)
	if err := p.loadBlocks(); err != nil {
		return err
	}
	p.assemble()
	go p.reload(ctx, reloaded)
	go metrics.Serve(ctx, s.MetricsAddr, metricsHandler, log)
	return p.serve(ctx, metricsHandler)
}

// reload puts reloaded settings in force: where control is, and the log level.
// All others hold until the next start.
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

func (p *process) loadBlocks() error {
	if p.set.BlocksFile == "" {
		return nil
	}
	f, err := os.Open(p.set.BlocksFile)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "open client blocks")
	}
	defer f.Close()
	t, err := blocks.ParseText(f)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "%s", p.set.BlocksFile)
	}
	p.blocks.Store(t)
	debug.FreeOSMemory()
	return nil
}

func (p *process) assemble() {
	s := p.set
	incarnation := uint64(time.Now().UnixNano())
	p.self = &fescuepb.Member{
		Instance: s.Instance, Region: s.Region, DataCentre: s.DataCentre, Role: fescuepb.Role_ROLE_ENTRY,
		CallerAddr: s.CallerAddr, PeerAddr: s.PeerAddr, GrpcAddr: s.GRPCAddr, Incarnation: incarnation,
	}
	p.follower = follow.New(follow.Config{
		Self: p.self, Sources: s.Control, Peers: s.Peers, Dial: p.peers.Open, Store: p.store, Blocks: &p.blocks, Log: p.log, Metrics: p.scope,
	})
	p.shared = budget.NewShared(budget.NewHolder(s.Instance, incarnation))
	p.targets = &target.Watcher{
		DataCentre: s.DataCentre, Log: p.log,
		Platform: &platform.Client{URL: s.PlatformURL, HTTP: &http.Client{}},
		HTTP:     &http.Client{Transport: &target.Transport{Dial: target.Dial}},
		Changed:  func() { p.groups.Wake() },
	}
	p.groups = group.NewManager(group.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, Incarnation: incarnation, Store: p.store,
		Ready: p.follower.Ready, Targets: p.targets.Targets, Dial: p.peers.Dial, NewToken: newToken,
		HomeChanged: func(string) { p.ledger.Wake() }, Log: p.log,
	})
	p.guarded = &group.Guarded{
		Instance: s.Instance, DataCentre: s.DataCentre, Client: &slots.Client{Dial: p.peers.Dial, Log: p.log}, Now: time.Now, Log: p.log,
	}
	p.ledger = once.New(once.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, Incarnation: incarnation, Store: p.store,
		Role: p.role, ProvedDead: p.groups.Dead,
		DiedWithoutTakeover: p.groups.DiedInContact, AllEntriesAccountedFor: p.groups.AllSeen, RaiseEpoch: p.groups.Raise, Leaving: p.groups.Leaving,
		Peer:           func(m *fescuepb.Member) once.Peer { return once.GRPCPeer{Dial: p.peers.Dial, Addr: m.GrpcAddr} },
		AddressRefused: once.AddressRefuses, Now: steady.Now, Claim: p.claim, Log: p.log,
	})
}

// role tells the ledger this instance's part in a group.
func (p *process) role(service string) once.Role {
	g := p.groups.Group(service)
	return once.Role{
		Epoch: g.Epoch, IsDispatcher: g.Here, Dispatcher: g.Home, Token: g.Token,
		Previous: g.Previous.Instance, PreviousIncarnation: g.Previous.Incarnation, PreviousSilent: g.Previous.Silent,
	}
}

// claim records a dispatcher at the first control replica that answers.
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

// tokenLength keeps key prefixes short; tokens need not be unguessable.
const tokenLength = 10

func newToken() string {
	id := ulid.Make().String()
	return id[len(id)-tokenLength:]
}

// ready reports whether requests can be decided on.
func (p *process) ready() bool {
	if !p.follower.Ready() || !p.guarded.Ready() {
		return false
	}
	return !p.set.NeedHostRoutes || p.store.Load().HasHostRoutes()
}

// stopping reports whether a planned stop has begun.
func (p *process) stopping() bool {
	return p.life.Is(lifecycle.Draining) || p.life.Is(lifecycle.Stopped)
}

// fire moves the life cycle; an event that comes too late changes nothing.
func (p *process) fire(event string) {
	if err := p.life.Fire(event); err != nil {
		p.log.WithError(err).Debug("life cycle unchanged")
	}
}

// followVersions gives each snapshot to the parts that depend on it.
func (p *process) followVersions(ctx context.Context) error {
	for {
		changed := p.store.Changed()
		if s := p.store.Load(); s != nil {
			if p.life.Is(lifecycle.Starting) {
				p.fire(lifecycle.Confirmed)
			}
			p.shared.Use(s)
			p.links.use(s)
			p.groups.Wake()
			p.guarded.Use(s)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
