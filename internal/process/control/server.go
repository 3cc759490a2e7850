// Package control implements the server of the control plane: the operator API,
// membership and watches, on top of the replicated state.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/chunkstore"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/feed"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// healthTimeout is how long a replica counts as healthy after an advance of the
// counter, which proves contact with a quorum.
const healthTimeout = 2 * time.Second

// Config configures a server.
type Config struct {
	Instance string
	Addr     string // gRPC address at which other replicas reach this one
	Log      Log
	Machine  *state.Machine
	Auth     Authenticator
	// Replicas returns the gRPC addresses of the other control replicas, from
	// which acknowledgements and missing chunks are fetched.
	Replicas func() []string
	// OtherVoters returns the gRPC addresses of the other voting replicas.
	OtherVoters func() []string
	// Chunks stores the client-block table; nil if this replica keeps none.
	Chunks *chunkstore.Store
	// LeaderStatus returns the term, the replicas and, if this replica leads, the
	// pending caps, as far as this replica knows them. It may be nil.
	LeaderStatus func() (st *fescuepb.LeaderStatus, isLeader bool)
	// RequirePlatformSection makes Steering refuse changes until the section of
	// the platform team exists, because other sections refer to it.
	RequirePlatformSection bool
	Dial                   func(addr string) (*grpc.ClientConn, error)
	Logger                 *logrus.Entry
	Metrics                tally.Scope
}

// Server implements the services Operator, Members, Follow and ControlPeers.
type Server struct {
	cfg      Config
	hub      *feed.Hub
	sessions *feed.Sessions
	peers    *peerConns

	mu                sync.Mutex
	counter           uint64    // latest value seen by Run
	counterAdvancedAt time.Time // when that value was first seen
}

// New returns a server. Updates are pushed to watches only while Run runs.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.peers = newPeerConns(cfg.Dial)
	s.sessions = &feed.Sessions{
		Via: cfg.Instance, Members: cfg.Machine.Members, Report: s.RecordSession, Now: time.Now, Counter: cfg.Log.Counter, Log: cfg.Logger,
	}
	s.hub = feed.NewHub(feed.Config{
		Instance: cfg.Instance,
		Source:   source{cfg.Machine, cfg.Log},
		Stalled:  func() bool { return !s.ConfirmedWithin(feed.StallTimeout) },
		Sessions: s.sessions,
	})
	return s
}

// source provides the content and the counter that the hub serves to watches.
type source struct {
	*state.Machine
	log Log
}

func (s source) Counter() uint64 { return s.log.Counter() }

// Register adds the services to a gRPC server.
func (s *Server) Register(g *grpc.Server) {
	fescuepb.RegisterOperatorServer(g, &operator{s: s})
	fescuepb.RegisterMembersServer(g, &members{s: s})
	fescuepb.RegisterFollowServer(g, &follow{s: s})
	fescuepb.RegisterControlPeersServer(g, &controlPeers{s: s})
}

// Run pushes each new version at once and the counter every feed.PushInterval,
// until ctx ends. It then ends the watches and closes the connections to the other
// replicas.
func (s *Server) Run(ctx context.Context) error {
	defer s.peers.close()
	defer s.hub.Stop()
	if s.cfg.Chunks != nil {
		go s.maintainChunks(ctx)
	}
	go s.sessions.Run(ctx)
	tick := time.NewTicker(feed.PushInterval)
	defer tick.Stop()
	pushed := uint64(0)
	for {
		changed := s.cfg.Log.Changed()
		s.recordCounter(s.cfg.Log.Counter(), steady.Now())
		if v := s.cfg.Machine.Version(); v != pushed {
			pushed = v
			s.hub.Wake()
		}
		select {
		case <-changed:
		case <-tick.C:
			s.hub.Wake()
		case <-ctx.Done():
			return nil
		}
	}
}

// recordCounter notes that the counter has the given value at now.
func (s *Server) recordCounter(counter uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if counter > s.counter {
		s.counter, s.counterAdvancedAt = counter, now
	}
}

// Healthy reports whether the confirmed counter advanced within healthTimeout.
func (s *Server) Healthy() bool { return s.ConfirmedWithin(healthTimeout) }

// ConfirmedWithin reports whether the confirmed counter advanced within d.
func (s *Server) ConfirmedWithin(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return steady.Since(s.counterAdvancedAt) < d
}

// follow serves the Follow service.
type follow struct {
	fescuepb.UnimplementedFollowServer
	s *Server
}

// Watch streams updates to a follower until it ends the stream or the server stops.
func (f *follow) Watch(stream grpc.BidiStreamingServer[fescuepb.WatchRequest, fescuepb.Update]) error {
	return rpcError(f.s.hub.Watch(stream))
}

// propose replicates an encoded command and decodes its result. Retryable errors
// are retried until callTimeout.
func (s *Server) propose(ctx context.Context, data []byte) (*fescuepb.CommandResult, error) {
	var out []byte
	err := retry(ctx, func(ctx context.Context) (err error) {
		out, _, err = s.cfg.Log.Propose(ctx, data)
		return err
	})
	if err != nil {
		return nil, err
	}
	var res fescuepb.CommandResult
	if err := proto.Unmarshal(out, &res); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "decode the result of a command")
	}
	return &res, state.ResultError(&res)
}

// rpcError converts err to a gRPC status with the code of its kind. Errors without
// a kind keep the code of a gRPC status or of an ended context.
func rpcError(err error) error {
	if err == nil {
		return nil
	}
	kind := errkind.Of(err)
	if kind != errkind.Internal {
		return status.Errorf(kind.Response().Code, "%s: %s", kind, err)
	}
	if st := status.FromContextError(err); st.Code() != codes.Unknown {
		return st.Err()
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	return status.Errorf(codes.Internal, "%s: %s", kind, err)
}
