package controlmain

import (
	"context"
	"path/filepath"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/metrics"
	"github.com/fescuejunction/fescuejunction/internal/connection/peer"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"github.com/fescuejunction/fescuejunction/internal/process/control/chunkstore"
	"github.com/fescuejunction/fescuejunction/internal/process/control/operatorauth"
	"github.com/fescuejunction/fescuejunction/internal/process/control/replica"
	"github.com/fescuejunction/fescuejunction/internal/process/control/storage"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/budget"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
)

const (
	maxRequestBytes = 4 << 20         // size limit of one gRPC request
	stopTimeout     = 5 * time.Second // for calls in flight at the end of the process
)

// process is a running control replica.
type process struct {
	settings     *Settings
	log          *logrus.Entry
	machine      *state.Machine
	replica      *replica.Replica
	server       *control.Server
	grpcServer   *grpc.Server
	calls        *callDrain
	leadership   *leadership
	budgetServer *budget.Server
}

// Run runs a control replica until ctx ends, and then lets the calls in flight
// finish. It applies the settings received from reloaded, which may be nil. While
// the disk is full, the replica is stopped, and it starts again when there is free
// space.
func Run(ctx context.Context, s *Settings, reloaded <-chan *Settings, ext Extension, log *logrus.Entry) error {
	return rerunAfterDiskFull(ctx, log,
		func() error { return runReplica(ctx, s, reloaded, ext, log) },
		func() error { return checkDiskSpace(s.DataDir) })
}

// runReplica runs the replica and all its servers and background tasks until ctx
// ends or one of them fails.
func runReplica(ctx context.Context, s *Settings, reloaded <-chan *Settings, ext Extension, log *logrus.Entry) error {
	links, err := peer.NewLinks(s.TLS, log)
	if err != nil {
		return err
	}
	defer links.Close()
	scope, metricsHandler, closer := metrics.New("control")
	defer func() { _ = closer.Close() }()
	lis, err := links.ListenGRPC(s.GRPCAddr)
	if err != nil {
		return err
	}
	p, err := assemble(s, links, log, scope)
	if err != nil {
		_ = lis.Close()
		return err
	}
	defer p.replica.Stop()
	defer p.leadership.stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.grpcServer.Serve(lis) })
	group.Go(func() error { return p.server.Run(ctx) })
	group.Go(func() error { return serveAdmin(ctx, s, p.server, metricsHandler) })
	go metrics.Serve(ctx, s.MetricsAddr, metricsHandler, log)
	group.Go(func() error { return loadInitial(ctx, s, p.server, log) })
	group.Go(func() error { p.leadership.run(ctx, p.budgetServer); return nil })
	group.Go(func() error { p.registerSelf(ctx); return nil })
	group.Go(func() error { newEntryRemover(p).run(ctx); return nil })
	group.Go(func() error { (&lostSessionReporter{p: p}).run(ctx); return nil })
	group.Go(func() error { (&replacedReplicaRemover{p: p}).run(ctx); return nil })
	group.Go(func() error { (&suspectKeeper{p: p}).run(ctx); return nil })
	group.Go(func() error { return p.loadRegions(ctx) })
	group.Go(func() error { p.reload(ctx, reloaded); return nil })
	p.startExtensions(ctx, group, ext, scope)
	group.Go(func() error { return p.stopWhenDone(ctx) })
	log.WithField("grpc_addr", lis.Addr().String()).Info("control replica started")
	err = group.Wait()
	log.Info("control replica stopped")
	return err
}

// reload applies reloaded settings until ctx ends: the replicas to join through and
// the log level. Changes of all other settings take effect at the next start.
func (p *process) reload(ctx context.Context, reloaded <-chan *Settings) {
	for {
		select {
		case s := <-reloaded:
			p.replica.SetJoinAddrs(slices.Concat(s.Join, s.Replicas))
			s.Log.SetLevel(p.log)
			p.log.WithField("join", s.Join).Info("reloaded settings in force")
		case <-ctx.Done():
			return
		}
	}
}

// startExtensions starts the interfaces that ext adds.
func (p *process) startExtensions(ctx context.Context, group *errgroup.Group, ext Extension, scope tally.Scope) {
	if ext.Operator != nil {
		h := ext.Operator(p.server.Steering(), p.log)
		group.Go(func() error { return serveHTTP(ctx, p.settings.OperatorAddr, h, p.log) })
	}
	if ext.Directory != nil {
		h := ext.Directory(newDirectoryView(p).state, p.log, scope)
		group.Go(func() error { return serveHTTP(ctx, p.settings.DirectoryAddr, h, p.log) })
	}
	if ext.Targets != nil {
		r := newTargetReader(p, ext.Targets(p.settings, p.log), scope)
		group.Go(func() error { r.run(ctx); return nil })
	}
}

// assemble starts the replica and creates the server that uses it.
func assemble(s *Settings, links *peer.Links, log *logrus.Entry, scope tally.Scope) (*process, error) {
	p := &process{settings: s, log: log, machine: state.New(), calls: newCallDrain()}
	p.leadership = newLeadership(p, log)
	p.budgetServer = budget.NewServer(p.leadership)
	p.machine.Observe(p.leadership.enqueue)
	auth, err := authenticator(s, log)
	if err != nil {
		return nil, err
	}
	if err := (storage.OS{}).MkdirAll(s.DataDir); err != nil {
		return nil, errkind.Wrap(errkind.StorageFailed, err, "create data_dir")
	}
	chunks, err := chunkstore.Open(filepath.Join(s.DataDir, "blocks"))
	if err != nil {
		return nil, err
	}
	if p.replica, err = p.startReplica(links); err != nil {
		return nil, err
	}
	p.server = control.New(control.Config{
		Instance:     s.Instance,
		Addr:         s.GRPCAddr,
		Log:          p.replica,
		Machine:      p.machine,
		Auth:         auth,
		Replicas:     p.otherReplicas,
		OtherVoters:  p.otherVoters,
		Chunks:       chunks,
		LeaderStatus: p.leaderStatus,

		RequirePlatformSection: len(s.DataCentres) > 0,
		Dial:                   links.Open,
		Logger:                 log,
		Metrics:                scope,
	})
	p.budgetServer.OnRequest = p.server.RecordHeard
	p.register(links)
	return p, nil
}

func (p *process) startReplica(links *peer.Links) (*replica.Replica, error) {
	s := p.settings
	return replica.Start(replica.Config{
		DataDir:      filepath.Join(s.DataDir, "log"),
		Addr:         s.GRPCAddr,
		InitialPeers: s.initialReplicas(),
		JoinAddrs:    s.Join,
		Bootstrap:    s.Bootstrap,
		Machine:      p.machine,
		Dial:         links.Open,
		Log:          p.log,
		Seed:         uint64(time.Now().UnixNano()),
	})
}

// register creates the gRPC server and registers all services with it.
func (p *process) register(links *peer.Links) {
	p.grpcServer = grpc.NewServer(append(links.ServerOptions(), grpc.ChainUnaryInterceptor(p.calls.intercept))...)
	p.server.Register(p.grpcServer)
	p.replica.Register(p.grpcServer)
	fescuepb.RegisterBudgetServer(p.grpcServer, p.budgetServer)
}

// authenticator returns an authenticator that identifies operators by the keys
// file. Without a keys file, operators state their team themselves, which is
// possible on plaintext loopback links only.
func authenticator(s *Settings, log *logrus.Entry) (control.Authenticator, error) {
	if s.OperatorKeys == "" {
		return control.LoopbackTeam{Plaintext: s.TLS.Plaintext()}, nil
	}
	return operatorauth.New(s.OperatorKeys, log)
}

// stopWhenDone waits until ctx or the replica ends, lets the calls in flight finish
// and then stops the gRPC server. A graceful stop of the gRPC server would wait
// forever for the streams of the other replicas to end.
func (p *process) stopWhenDone(ctx context.Context) error {
	var err error
	select {
	case <-ctx.Done():
	case <-p.replica.Done():
		err = p.replica.Err()
	}
	p.calls.stop(stopTimeout)
	p.grpcServer.Stop()
	return err
}
