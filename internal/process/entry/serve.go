package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	"github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/entry/group"
	"github.com/fescuejunction/fescuejunction/internal/process/entry/lifecycle"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/budget"
	"github.com/fescuejunction/fescuejunction/internal/request/once"
	"github.com/fescuejunction/fescuejunction/internal/request/proxy"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
)

// Timeouts of the HTTP servers for health and administration.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
)

// serve starts the servers and background tasks, waits until ctx ends or one of
// them fails, and stops them. When ctx ends, it first stops gracefully. Reloaded
// settings are applied during the stop as well.
func (p *process) serve(ctx context.Context, reloaded <-chan *Settings, metricsHandler http.Handler) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, run := errgroup.WithContext(run)
	callers, peers := p.requestServers()
	g := p.grpcServer()
	servers := []endpoint{
		{p.settings.CallerAddr, callers}, {p.settings.PeerAddr, peers},
		{p.settings.AdminAddr, httpServer(p.admin(metricsHandler))},
	}
	if p.settings.HealthAddr != "" {
		servers = append(servers, endpoint{p.settings.HealthAddr, httpServer(p.health())})
	}
	for _, l := range servers {
		if err := p.listen(group, l); err != nil {
			return err
		}
	}
	lis, err := p.peers.ListenGRPC(p.settings.GRPCAddr)
	if err != nil {
		return err
	}
	group.Go(func() error { return g.Serve(lis) })
	group.Go(func() error { return p.follower.Run(run) })
	group.Go(func() error { return p.applySnapshots(run) })
	group.Go(func() error { p.reload(run, reloaded); return nil })
	if p.settings.PlatformURL != "" {
		group.Go(func() error { p.targets.Run(run); return nil })
	}
	group.Go(func() error { p.groups.Run(run); return nil })
	group.Go(func() error { p.ledger.Run(run); return nil })
	group.Go(func() error { p.reporter.run(run); return nil })
	client := &budget.Client{Holder: p.shared, Addrs: p.leaseAddrs, Dial: p.peers.Dial, Log: p.log}
	group.Go(func() error { client.Run(run); return nil })
	p.log.WithFields(logrus.Fields{"caller_addr": p.settings.CallerAddr, "dc": p.settings.DataCentre}).Info("entry started")
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

// grpcServer returns the gRPC server for the other entries.
func (p *process) grpcServer() *grpc.Server {
	g := grpc.NewServer(p.peers.ServerOptions()...)
	p.follower.Register(g)
	fescuepb.RegisterBudgetServer(g, &budget.Relay{Control: func() []string { return *p.control.Load() }, Dial: p.peers.Dial})
	fescuepb.RegisterSlotsServer(g, &slots.Server{Slots: p.guarded.LocalSlots, Now: time.Now})
	fescuepb.RegisterPeersServer(g, &peerServer{Server: once.Server{Service: p.ledger}, groups: p.groups})
	return g
}

// server is an HTTP server. Serve accepts connections until Shutdown is called.
type server interface {
	Serve(lis net.Listener) error
	Shutdown(ctx context.Context) error
}

// endpoint is a server with the address that it listens on.
type endpoint struct {
	addr string
	server
}

func httpServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// requestServer returns a server for requests that are routed to targets. refuser
// answers requests whose header cannot be read.
func (p *process) requestServer(h http.Handler, limits func() caller.Limits, refuser *proxy.Handler) *caller.Server {
	return &caller.Server{
		Handler: h, Limits: limits, Refusal: refuser.RefuseHead,
		FinalResponseTime: p.settings.Stop.final().responses, Log: p.log,
	}
}

// callerLimits returns the limits on callers in the document in force, or the
// defaults if there is none.
func (p *process) callerLimits() caller.Limits {
	l := (*document.CallerLimits)(nil).WithDefaults()
	if s := p.store.Load(); s != nil {
		l = s.CallerLimits
	}
	return caller.Limits{HeaderBytes: l.MaxHeaderBytes, HeaderTimeout: l.HeaderTimeout.AsDuration(), IdleTimeout: l.IdleTimeout.AsDuration()}
}

// peerLimits returns the limits on other entries: those on callers, except that
// idle connections are kept for longer than the other entry uses them. Otherwise a
// request could cross the close of its connection, and it would not be known
// whether it has run.
func (p *process) peerLimits() caller.Limits {
	l := p.callerLimits()
	l.IdleTimeout = 2 * target.DefaultIdleTimeout
	return l
}

// listen opens the listener of an endpoint and serves it in group.
func (p *process) listen(group *errgroup.Group, l endpoint) error {
	lis, err := p.netListener(l.addr)
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

// netListener opens the listener of an HTTP address. The listener of the peer
// address accepts only connections of other instances.
func (p *process) netListener(addr string) (net.Listener, error) {
	if addr == p.settings.PeerAddr {
		return p.peers.Listen(addr)
	}
	return net.Listen("tcp", addr)
}

// peerServer implements the Peers service for the other entries.
type peerServer struct {
	fescuepb.UnsafePeersServer
	once.Server // implements Record, Copy, Fetch and Drop
	groups      *group.Manager
}

// Ping exchanges the states of the dispatch groups between two entries.
func (s *peerServer) Ping(ctx context.Context, r *fescuepb.PingRequest) (*fescuepb.PingReply, error) {
	return s.groups.Ping(ctx, r)
}

// health returns the handler of GET /healthz. It answers 503 while the entry does
// not accept requests.
func (p *process) health() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.lifecycle.Is(lifecycle.Serving) || !p.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// admin returns the handler of the admin address: metrics, health and status.
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
