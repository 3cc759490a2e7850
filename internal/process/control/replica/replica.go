// Package replica runs one member of the replicated log. It drives the pure
// state machine of package raft with storage and gRPC.
//
// Goroutines: the loop owns raft and the store; the applier owns the user's
// state machine; each peer has senders that own its streams; the joiner asks
// for membership.
package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
	"github.com/fescuejunction/fescuejunction/internal/process/control/storage"
)

// StateMachine is the replicated state. Its methods are called from one
// goroutine.
type StateMachine interface {
	// Apply must be deterministic. The result goes to the proposer.
	Apply(index uint64, data []byte) []byte
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by that of a snapshot.
	Restore(data []byte) error
}

// Config describes one replica.
type Config struct {
	DataDir      string
	Addr         string   // gRPC address that other replicas dial
	InitialPeers []string // addresses of the initial cluster; empty when joining
	JoinAddrs    []string // addresses to ask for membership when the disk is new but the cluster exists
	// Bootstrap says that this is the very first start of the cluster. With an
	// empty data directory the replica becomes an initial voter, unless a
	// quorum of the initial peers answers already. It must be unset afterwards:
	// if the disk is lost while there is no quorum, the replica would vote again
	// under its old identity.
	Bootstrap bool
	Machine   StateMachine
	Dial      func(addr string) (*grpc.ClientConn, error)
	Log       *logrus.Entry

	TickInterval    time.Duration // default 50 ms
	ElectionTimeout time.Duration // shortest one, default 500 ms; the longest is twice that
	SnapshotEvery   uint64        // entries between snapshots, default 1000
	Seed            uint64        // of the randomized election timeouts

	fs    storage.FS       // tests inject failures
	ticks <-chan time.Time // tests stop the clock of a replica
}

const (
	defaultTick           = 50 * time.Millisecond
	defaultElection       = 800 * time.Millisecond
	defaultSnapshotEvery  = 1000
	heartbeatTicks        = 5
	newTermHeartbeatTicks = 2 // 100 ms; the delay between regions is at most 55 ms in both deployments
	inboxCapacity         = 4096
	requestCapacity       = 1024
)

// Replica is a running member. Its methods are safe for concurrent use.
type Replica struct {
	pb.UnimplementedReplicaServer

	cfg   Config
	id    string
	log   *logrus.Entry
	raft  *raft.Raft     // owned by the loop
	store *storage.Store // owned by the loop

	inbox        *ring.Ring[*pb.RaftMessage]
	requests     *ring.Ring[request]
	batches      chan *raft.Batch
	applyResults chan applyResult
	applying     bool // a batch is with the applier; owned by the loop

	joinAddrs    atomic.Pointer[[]string]
	waiters      waiterTable
	transport    *transport
	status       atomic.Pointer[Status]
	appliedIndex atomic.Uint64 // last index applied
	counter      atomic.Uint64
	changed      broadcast

	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup
}

// Start opens or creates the data directory and runs the replica. The error
// has kind CorruptLog, StorageFailed or InvalidSettings.
func Start(cfg Config) (*Replica, error) {
	setDefaults(&cfg)
	store, id, st, err := openStore(cfg)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg:          cfg,
		id:           id,
		log:          cfg.Log.WithField("replica", id),
		store:        store,
		inbox:        ring.New[*pb.RaftMessage](inboxCapacity),
		requests:     ring.New[request](requestCapacity),
		batches:      make(chan *raft.Batch, 1),
		applyResults: make(chan applyResult, 1),
	}
	r.SetJoinAddrs(slices.Concat(cfg.JoinAddrs, cfg.InitialPeers))
	r.raft = raft.New(raftConfig(cfg, id), st)
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	r.transport = newTransport(r.ctx, &r.wg, cfg.Dial, r.log)
	r.changed.init()
	r.publishStatus()
	r.log.WithField("term", st.HardState.Term).WithField("last_index", r.raft.LastIndex()).Info("replica started")
	r.wg.Add(3)
	go r.run()
	go r.applyLoop()
	go r.joinLoop()
	return r, nil
}

func setDefaults(cfg *Config) {
	if cfg.TickInterval <= 0 {
		cfg.TickInterval = defaultTick
	}
	if cfg.ElectionTimeout <= 0 {
		cfg.ElectionTimeout = defaultElection
	}
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = defaultSnapshotEvery
	}
	if cfg.fs == nil {
		cfg.fs = storage.OS{}
	}
}

func raftConfig(cfg Config, id string) raft.Config {
	return raft.Config{
		ID:              id,
		Rand:            rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(id))),
		ElectionTicks:   max(2*heartbeatTicks, int(cfg.ElectionTimeout/cfg.TickInterval)),
		HeartbeatTicks:  heartbeatTicks,
		SettlingTicks:   newTermHeartbeatTicks,
		TrailingEntries: cfg.SnapshotEvery / 2,
	}
}

// Register adds the replication service to s.
func (r *Replica) Register(s *grpc.Server) { pb.RegisterReplicaServer(s, r) }

// Stop ends the replica. Open proposals fail with kind Stopping.
func (r *Replica) Stop() {
	r.cancel(errStopping)
	r.wg.Wait()
	r.transport.close()
}

// Done is closed when the replica has stopped, on request or after a failure.
func (r *Replica) Done() <-chan struct{} { return r.ctx.Done() }

// Err returns why the replica stopped, or nil while it runs. After a failure
// of the storage it has kind StorageFailed.
func (r *Replica) Err() error { return context.Cause(r.ctx) }
