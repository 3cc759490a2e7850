package controlmain

import (
	"context"
	"net"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/budget"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"github.com/fescuejunction/fescuejunction/internal/process/memlog"
	"github.com/fescuejunction/fescuejunction/internal/process/metrics"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	maxRequestBytes = 4 << 20         // of one gRPC request
	stopTimeout     = 5 * time.Second // for requests in flight at the end
)

// Run runs a control replica until ctx ends.
func Run(ctx context.Context, s *Settings, log *logrus.Entry) error {
	if !s.TLS.PlaintextLoopback {
		return errkind.New(errkind.InvalidSettings, "tls: mutual TLS is not available in this build; set plaintext_loopback")
	}
	scope, metricsHandler, closer := metrics.New("control")
	defer func() { _ = closer.Close() }()
	machine := state.New()
	rlog := memlog.New(machine, s.GRPCAddr)
	srv := control.New(control.Config{
		Instance: s.Instance,
		Log:      rlog,
		Machine:  machine,
		Auth:     control.LoopbackTeam{Plaintext: s.TLS.PlaintextLoopback},
		Replicas: func() []string { return otherReplicas(s, machine) },
		Dial:     dial,
		Logger:   log,
		Metrics:  scope,
	})
	g := grpc.NewServer(grpc.MaxRecvMsgSize(maxRequestBytes))
	srv.Register(g)
	lead := &leadership{log: rlog, term: func() uint64 { return 1 }}
	budgets := budget.NewServer(lead)
	fescuepb.RegisterBudgetServer(g, budgets)
	lis, err := net.Listen("tcp", s.GRPCAddr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "listen on grpc_addr")
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreCancel(ctx, rlog.Run(ctx)) })
	group.Go(func() error { return srv.Run(ctx) })
	group.Go(func() error { return observeVersions(ctx, lead, machine, budgets, log) })
	group.Go(func() error { return g.Serve(lis) })
	group.Go(func() error { return serveAdmin(ctx, s, srv, metricsHandler) })
	group.Go(func() error { return loadInitial(ctx, s, srv, log) })
	group.Go(func() error { stopServer(ctx, g); return nil })
	log.WithField("grpc_addr", lis.Addr().String()).Info("control replica started")
	err = group.Wait()
	log.Info("control replica stopped")
	return err
}

func ignoreCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// stopServer waits for the end of ctx and lets requests in flight finish.
func stopServer(ctx context.Context, g *grpc.Server) {
	<-ctx.Done()
	timer := time.AfterFunc(stopTimeout, g.Stop)
	defer timer.Stop()
	g.GracefulStop()
}

func dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// otherReplicas returns the addresses of the other control replicas, from
// the settings and the members.
func otherReplicas(s *Settings, machine *state.Machine) []string {
	seen := map[string]bool{s.GRPCAddr: true}
	var out []string
	add := func(addr string) {
		if addr != "" && !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	for _, r := range s.Replicas {
		add(r.Addr)
	}
	for _, m := range machine.Members() {
		if m.Role == fescuepb.Role_ROLE_CONTROL {
			add(m.GrpcAddr)
		}
	}
	return out
}
