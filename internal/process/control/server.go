// Package control is the server of the control plane: operator API, members
// and watches, on top of the replicated state.
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

// healthyFor is how long an advance of the counter proves contact with a
// quorum.
const healthTimeout = 2 * time.Second

// Config configures a server.
type Config struct {
	Instance string
	Addr     string // gRPC address at which other replicas reach this one
	Log      Log
	Machine  *state.Machine
	Auth     Authenticator
	// Replicas returns the gRPC addresses of the other control replicas,
	// which Status asks for their acknowledgements.
	Replicas func() []string
	// OtherVoters returns the addresses of the other voting replicas.
	OtherVoters func() []string
	// Chunks keeps the client-block table; nil if there is none.
	Chunks *chunkstore.Store
	// Describe returns what the replica knows of the term, its replicas and, if
	// it leads, the pending caps; it may be nil.
	LeaderStatus func() (st *fescuepb.LeaderStatus, isLeader bool)
	// NeedPlatform makes Steering refuse changes until the section of the platform
	// team exists, which others refer to.
	RequirePlatformSection bool
	Dial                   func(addr string) (*grpc.ClientConn, error)
	Logger                 *logrus.Entry
	Metrics                tally.Scope
}

// Server serves Operator, Members, Follow and ControlPeers.
type Server struct {
	cfg      Config
	hub      *feed.Hub
	sessions *feed.Sessions
	peers    *peerConns

	mu                sync.Mutex
	counter           uint64    // last one seen by Run
	counterAdvancedAt time.Time // when it was seen first
}

// New returns a server; Run must be called for watches to be pushed.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.peers = newPeerConns(cfg.Dial)
	s.sessions = &feed.Sessions{
		Via: cfg.Instance, Members: cfg.Machine.Members, Report: s.RecordSession, Now: time.Now, Counter: cfg.Log.Counter, Log: cfg.Logger,
	}
	s.hub = feed.NewHub(feed.Config{
		Instance: cfg.Instance,
		Source:   source{cfg.Machine, cfg.Log},
		Sessions: s.sessions,
	})
	return s
}

// source is the content and counter that the hub serves.
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

// Run pushes changes at once and the counter every feed.PushInterval, until
// ctx ends. It then ends the watches.
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

func (s *Server) recordCounter(counter uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if counter > s.counter {
		s.counter, s.counterAdvancedAt = counter, now
	}
}

// Healthy reports whether the confirmed counter advanced recently.
func (s *Server) Healthy() bool { return s.ConfirmedWithin(healthTimeout) }

// ConfirmedWithin reports whether the confirmed counter advanced within d.
func (s *Server) ConfirmedWithin(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return steady.Since(s.counterAdvancedAt) < d
}

type follow struct {
	fescuepb.UnimplementedFollowServer
	s *Server
}

// Watch serves a follower.
func (f *follow) Watch(stream grpc.BidiStreamingServer[fescuepb.WatchRequest, fescuepb.Update]) error {
	return rpcError(f.s.hub.Watch(stream))
}

// propose runs a command and decodes its result.
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

// rpcError gives err the gRPC code of its kind.
func rpcError(err error) error {
	if err == nil {
		return nil
	}
	kind := errkind.Of(err)
	if kind != errkind.Internal {
		return status.Errorf(kind.Answer().Code, "%s: %s", kind, err)
	}
	if st := status.FromContextError(err); st.Code() != codes.Unknown {
		return st.Err()
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	return status.Errorf(codes.Internal, "%s: %s", kind, err)
}
