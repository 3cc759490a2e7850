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
		l = s.CallerLimits
	}
	return caller.Limits{HeaderBytes: l.MaxHeaderBytes, HeaderTimeout: l.HeaderTimeout.AsDuration(), IdleTimeout: l.IdleTimeout.AsDuration()}
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
