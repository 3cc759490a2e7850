package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	"github.com/fescuejunction/fescuejunction/internal/connection/peer"
	"github.com/fescuejunction/fescuejunction/internal/connection/platform"
	"github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/budget"
	"github.com/fescuejunction/fescuejunction/internal/process/follow"
	"github.com/fescuejunction/fescuejunction/internal/process/group"
	"github.com/fescuejunction/fescuejunction/internal/process/lifecycle"
	"github.com/fescuejunction/fescuejunction/internal/process/metrics"
	"github.com/fescuejunction/fescuejunction/internal/process/steady"
	"github.com/fescuejunction/fescuejunction/internal/request/lookup"
	"github.com/fescuejunction/fescuejunction/internal/request/once"
	"github.com/fescuejunction/fescuejunction/internal/request/proxy"
	"github.com/fescuejunction/fescuejunction/internal/request/retry"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
)

// Timeouts of the HTTP servers and of the graceful stop.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	// stopMargin is for leaving at control and for writing the last answers.
	stopMargin = 10 * time.Second
	// leaveTimeout bounds the last report to control, after the last request.
	leaveTimeout = 250 * time.Millisecond
	// exitMargin is for the end of the process after that report.
	exitMargin = 250 * time.Millisecond
)

// timeout bounds the graceful stop. Without a time of grace it outlasts the
// longest request that is admitted while the entry lingers: a document may allow
// more than a minute.
func (s Stop) timeout(snap *snapshot.Snapshot) time.Duration {
	if s.Grace > 0 {
		return s.Grace.D() - leaveTimeout - exitMargin
	}
	longest := document.DefaultLongestDeadline
	if snap != nil {
		longest = snap.Limits.LongestDeadline.D()
	}
	return s.Linger.D() + longest + stopMargin
}

// linger returns how long requests are still taken, at most half of the time of
// grace.
func (s Stop) linger() time.Duration {
	if s.Grace > 0 {
		return min(s.Linger.D(), s.Grace.D()/2-exitMargin)
	}
	return s.Linger.D()
}

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
		Role: p.role, Dead: p.groups.Dead,
		DiedInContact: p.groups.DiedInContact, AllSeen: p.groups.AllSeen, Raise: p.groups.Raise, Leaving: p.groups.Leaving,
		Peer:    func(m *fescuepb.Member) once.Peer { return once.Remote{Dial: p.peers.Dial, Addr: m.GrpcAddr} },
		Refused: once.AddressRefuses, Now: steady.Now, Claim: p.claim, Log: p.log,
	})
}

// role tells the ledger this instance's part in a group.
func (p *process) role(service string) once.Role {
	g := p.groups.Group(service)
	return once.Role{
		Epoch: g.Epoch, Here: g.Here, Home: g.Home, Token: g.Token,
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
	return !p.set.NeedHostRoutes || p.store.Load().HasHosts()
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

// bodyMemory returns the bytes that request bodies may take: half of the
// memory limit if there is one.
func bodyMemory(s *Settings) int64 {
	if s.MemoryLimit > 0 {
		return int64(s.MemoryLimit) << 20 / 2
	}
	return proxy.DefaultBodyMemory
}

// targetTransport sends requests to targets and skips late answers to earlier
// ones.
func (p *process) targetTransport() *target.Transport {
	return &target.Transport{
		Dial: target.Dial,
		RequestID: func(req *http.Request) string {
			asked, _ := p.ext.Dialect.Request(req.Header) // an unreadable deadline leaves the identifier
			return asked.ID
		},
		AnswerID: func(resp *http.Response) string {
			return p.ext.Dialect.Answer(resp.StatusCode, resp.Header).ID
		},
	}
}

// retryShare returns this entry's part of the bound of retries. Entries that
// have just joined may not be known here yet.
func (p *process) retryShare() proxy.RetryShare {
	r := p.set.Retry
	if r == nil {
		return proxy.RetryShare{}
	}
	return proxy.RetryShare{
		Policy: retry.Policy{Percent: 100 * r.Ratio, Slack: r.Slack, Window: r.Window.D()},
		Entries: func() int {
			if s := p.store.Load(); s != nil {
				return s.EntryCount() + joiningEntries
			}
			return 1
		},
	}
}

// joiningEntries are counted beside the known ones.
const joiningEntries = 2

// steering returns the servers of callers and of other entries.
func (p *process) steering() (callers, peers *caller.Server) {
	cfg := proxy.Config{
		Instance: p.set.Instance, DataCentre: p.set.DataCentre, Store: p.store, Dialect: p.ext.Dialect,
		Ready: p.ready, Groups: p.groups, Guarded: p.guarded,
		Caps: &caps{p.shared, p.store}, Places: spill.NewChooser(p.links, rand.Float64), Ledger: p.ledger,
		Shares:   spill.NewShares(p.set.Region, p.set.RegionShift, spill.DefaultShiftWindow),
		Services: &proxy.Services{}, Retries: p.retryShare(), Bodies: proxy.NewBodyMemory(bodyMemory(p.set)), Targets: p.targetTransport(), Peers: &target.Transport{Dial: p.peers.DialHTTP},
		Now: time.Now, Log: p.log, Metrics: p.scope,
	}
	look := lookup.New(lookup.Config{
		Instance: p.set.Instance, DataCentre: p.set.DataCentre, Store: p.store, Blocks: &p.blocks,
		Ready: p.follower.Ready, Stopping: p.stopping, Home: p.groups.Home, Usable: p.groups.Usable,
		KeyToken: func(service string) string { return p.groups.Group(service).Token },
		Metrics:  p.scope,
	})
	mux := http.NewServeMux()
	mux.Handle("GET /lookup", look)
	front, back := proxy.New(cfg, false), proxy.New(cfg, true)
	mux.Handle("/", front)
	return p.callerServer(mux, front), p.callerServer(back, back)
}

func (p *process) serve(ctx context.Context, metricsHandler http.Handler) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, run := errgroup.WithContext(run)
	callers, peers := p.steering()
	g := p.grpcServer()
	servers := []listener{
		{p.set.CallerAddr, callers}, {p.set.PeerAddr, peers},
		{p.set.AdminAddr, httpServer(p.admin(metricsHandler))},
	}
	if p.set.HealthAddr != "" {
		servers = append(servers, listener{p.set.HealthAddr, httpServer(p.health())})
	}
	for _, l := range servers {
		if err := p.listen(group, l); err != nil {
			return err
		}
	}
	lis, err := p.peers.ListenGRPC(p.set.GRPCAddr)
	if err != nil {
		return err
	}
	group.Go(func() error { return g.Serve(lis) })
	group.Go(func() error { return p.follower.Run(run) })
	group.Go(func() error { return p.followVersions(run) })
	if p.set.PlatformURL != "" {
		group.Go(func() error { p.targets.Run(run); return nil })
	}
	group.Go(func() error { p.groups.Run(run); return nil })
	group.Go(func() error { p.ledger.Run(run); return nil })
	client := &budget.Client{Holder: p.shared, Addrs: p.leaseAddrs, Dial: p.peers.Dial, Log: p.log}
	group.Go(func() error { client.Run(run); return nil })
	p.log.WithFields(logrus.Fields{"caller_addr": p.set.CallerAddr, "dc": p.set.DataCentre}).Info("entry started")
	select {
	case <-ctx.Done():
		p.stop(servers)
	case <-run.Done():
	}
	g.Stop()
	cancel()
	err = group.Wait()
	p.log.Info("entry stopped")
	return err
}

// grpcServer serves the other entries.
func (p *process) grpcServer() *grpc.Server {
	g := grpc.NewServer(p.peers.ServerOptions()...)
	p.follower.Register(g)
	fescuepb.RegisterBudgetServer(g, &budget.Relay{Control: func() []string { return *p.control.Load() }, Dial: p.peers.Dial})
	fescuepb.RegisterSlotsServer(g, &slots.Server{Dispatcher: p.guarded.Dispatcher, Now: time.Now})
	fescuepb.RegisterPeersServer(g, &peerServer{Server: once.Server{Service: p.ledger}, groups: p.groups})
	return g
}

// server serves a listener until it is shut down.
type server interface {
	Serve(lis net.Listener) error
	Shutdown(ctx context.Context) error
}

// listener is a server with its address.
type listener struct {
	addr string
	server
}

func httpServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// callerServer serves requests that are steered. refuses answers those whose
// head cannot be read.
func (p *process) callerServer(h http.Handler, refuses *proxy.Handler) *caller.Server {
	return &caller.Server{Handler: h, Limits: p.callerLimits, Refusal: refuses.RefuseHead, Log: p.log}
}

// callerLimits returns the limits of the document in force.
func (p *process) callerLimits() caller.Limits {
	l := (*document.CallerLimits)(nil).WithDefaults()
	if s := p.store.Load(); s != nil {
		l = s.Callers
	}
	return caller.Limits{HeaderBytes: l.MaxHeaderBytes, HeaderTimeout: l.HeaderTimeout.D(), IdleTimeout: l.IdleTimeout.D()}
}

func (p *process) listen(group *errgroup.Group, l listener) error {
	lis, err := p.listener(l.addr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "listen on %s", l.addr)
	}
	group.Go(func() error {
		if err := l.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// listener returns the listener of an HTTP address. Only other instances
// reach the peer listener.
func (p *process) listener(addr string) (net.Listener, error) {
	if addr == p.set.PeerAddr {
		return p.peers.Listen(addr)
	}
	return net.Listen("tcp", addr)
}

// stop takes the entry out of look-ups, hands its services over and waits
// until nothing is in flight.
func (p *process) stop(servers []listener) {
	p.log.Info("stopping: out of look-ups, handing over")
	ctx, cancel := context.WithTimeout(context.Background(), p.set.Stop.timeout(p.store.Load()))
	defer cancel()
	p.fire(lifecycle.Stop)
	p.groups.Stop()
	for _, l := range servers {
		if s, ok := l.server.(*caller.Server); ok {
			s.Drain()
		}
	}
	lingered := time.After(p.set.Stop.linger())
	go func() {
		if err := p.follower.Leave(ctx, false); err != nil {
			p.log.WithError(err).Warn("leaving not recorded by control")
		}
	}()
	<-lingered
	var down sync.WaitGroup
	for _, l := range servers {
		down.Go(func() {
			if err := l.Shutdown(ctx); err != nil {
				p.log.WithError(err).WithField("addr", l.addr).Warn("requests were still in flight at the end of the stop")
			}
		})
	}
	down.Wait()
	p.fire(lifecycle.Finished)
	leaving, done := context.WithTimeout(context.Background(), leaveTimeout)
	defer done()
	if err := p.follower.Leave(leaving, true); err != nil {
		p.log.WithError(err).Warn("exit not recorded by control")
	}
}

// peerServer answers the other entries.
type peerServer struct {
	fescuepb.UnsafePeersServer
	once.Server // Record, Copy, Fetch, Drop
	groups      *group.Manager
}

// Ping exchanges the views of two entries.
func (s *peerServer) Ping(ctx context.Context, r *fescuepb.PingRequest) (*fescuepb.PingReply, error) {
	return s.groups.Ping(ctx, r)
}

// health answers whether the entry takes requests.
func (p *process) health() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.life.Is(lifecycle.Serving) || !p.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (p *process) admin(metricsHandler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metricsHandler)
	mux.Handle("GET /healthz", p.health())
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.status())
	})
	return mux
}
