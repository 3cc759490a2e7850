// Package replica runs one member of the replicated log. It connects package
// raft, which performs no I/O, to storage and gRPC.
//
// A replica has these goroutines: the run loop owns raft and the store; the apply
// loop owns the user's state machine; the senders own the streams to the peers,
// two for each peer at most; the join loop requests membership.
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

// StateMachine is the replicated state. Its methods are called from a single
// goroutine.
type StateMachine interface {
	// Apply executes a committed command and must be deterministic. The result
	// is returned to the proposer.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the whole state in the encoding that Restore reads.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state with that of a snapshot.
	Restore(data []byte) error
}

// Config describes one replica.
type Config struct {
	DataDir      string
	Addr         string   // gRPC address that other replicas dial
	InitialPeers []string // addresses of the initial cluster; empty if the replica joins one
	JoinAddrs    []string // addresses to request membership from if the data directory is new but the cluster exists
	// Bootstrap is set for the first start of the cluster. With an empty data
	// directory the replica then becomes an initial voter, unless the initial
	// peers already have a leader with a quorum. It must be unset afterwards: if
	// the disk is lost while there is no quorum, the replica would otherwise
	// vote again under its old identity.
	Bootstrap bool
	Machine   StateMachine
	Dial      func(addr string) (*grpc.ClientConn, error)
	Log       *logrus.Entry

	TickInterval    time.Duration // default 50 ms
	ElectionTimeout time.Duration // shortest timeout, default 800 ms; the longest is twice that
	SnapshotEvery   uint64        // entries between snapshots, default 1000
	Seed            uint64        // of the random numbers that election timeouts are drawn with

	fs    storage.FS       // replaced by tests to inject failures
	ticks <-chan time.Time // replaced by tests to stop the clock of a replica
}

const (
	defaultTick           = 50 * time.Millisecond
	defaultElection       = 800 * time.Millisecond
	defaultSnapshotEvery  = 1000
	heartbeatTicks        = 5
	newTermHeartbeatTicks = 2 // 100 ms, longer than the delay between regions, which is at most 55 ms in both deployments
	inboxCapacity         = 4096
	requestCapacity       = 1024
)

// Replica is a running member of the replicated log. Its methods are safe for
// concurrent use.
type Replica struct {
	pb.UnimplementedReplicaServer

	cfg   Config
	id    string
	log   *logrus.Entry
	raft  *raft.Raft     // owned by the run loop
	store *storage.Store // owned by the run loop

	inbox        *ring.Ring[*pb.RaftMessage]
	requests     *ring.Ring[request]
	batches      chan *raft.Batch
	applyResults chan applyResult
	applying     bool // the apply loop has a batch; owned by the run loop

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

// Start opens or creates the data directory and starts the replica. The error
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
		ID:                    id,
		Rand:                  rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(id))),
		ElectionTicks:         max(2*heartbeatTicks, int(cfg.ElectionTimeout/cfg.TickInterval)),
		HeartbeatTicks:        heartbeatTicks,
		InitialHeartbeatTicks: newTermHeartbeatTicks,
		Session:               rand.Uint64() | 1,
		TrailingEntries:       cfg.SnapshotEvery / 2,
	}
}

// Register adds the replication service to s.
func (r *Replica) Register(s *grpc.Server) { pb.RegisterReplicaServer(s, r) }

// Stop stops the replica and waits for its goroutines. New requests, pending reads
// and proposals that were not yet passed to a leader fail with kind Stopping. Other
// proposals fail with kind NoQuorum, because their outcome is unknown.
func (r *Replica) Stop() {
	r.cancel(errStopping)
	r.wg.Wait()
	r.transport.close()
}

// Done returns a channel that is closed when the replica stops, on request or
// after a failure.
func (r *Replica) Done() <-chan struct{} { return r.ctx.Done() }

// Err returns why the replica stopped, or nil while it runs. After a storage
// failure the error has kind StorageFailed.
func (r *Replica) Err() error { return context.Cause(r.ctx) }
