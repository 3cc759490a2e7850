package replica

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
	"github.com/fescuejunction/fescuejunction/internal/process/control/storage"
)

// An identity consists of the address of the replica, "#", and a suffix that
// differs for each data directory: "0" for the initial voters, random otherwise.
const (
	idSeparator      = "#"
	initialSuffix    = "0"
	randomSuffixSize = 8               // bytes
	probeTimeout     = 5 * time.Second // must be longer than an election takes
	probeInterval    = 100 * time.Millisecond
)

// addrFromID returns the address in an identity, or "" if there is none.
func addrFromID(id string) string {
	i := strings.LastIndex(id, idSeparator)
	return id[:max(i, 0)]
}

// openStore opens the data directory, which it creates on the first start. It
// returns the store, the identity of the replica and its recovered state.
func openStore(cfg Config) (*storage.Store, string, raft.State, error) {
	id, err := storage.Identity(cfg.fs, cfg.DataDir)
	if err == nil && id == "" {
		id, err = createStore(cfg)
	}
	if err != nil {
		return nil, "", raft.State{}, err
	}
	if addrFromID(id) != cfg.Addr {
		return nil, "", raft.State{}, errkind.New(errkind.InvalidSettings,
			"data directory %s belongs to the replica at %s, not at %s", cfg.DataDir, addrFromID(id), cfg.Addr)
	}
	store, st, err := storage.Open(cfg.fs, cfg.DataDir, cfg.Log)
	return store, id, st, err
}

func createStore(cfg Config) (string, error) {
	id, st, err := initialState(cfg)
	if err != nil {
		return "", err
	}
	cfg.Log.WithField("replica", id).WithField("initial_peers", cfg.InitialPeers).Info("creating the data directory")
	return id, storage.Create(cfg.fs, cfg.DataDir, id, st, cfg.Log)
}

// initialState returns the identity and state for an empty data directory. If
// the cluster already has a quorum, the replica joins it under a new identity
// even if Bootstrap is set: it may have lost its disk after the setting was left
// in place, and must not vote again under its old identity.
func initialState(cfg Config) (string, raft.State, error) {
	if !cfg.Bootstrap || clusterExists(cfg) {
		id := make([]byte, randomSuffixSize)
		rand.Read(id)
		return cfg.Addr + idSeparator + hex.EncodeToString(id), raft.State{}, nil
	}
	if !slices.Contains(cfg.InitialPeers, cfg.Addr) {
		return "", raft.State{}, errkind.New(errkind.InvalidSettings,
			"address %s is not among the initial peers %v", cfg.Addr, cfg.InitialPeers)
	}
	return cfg.Addr + idSeparator + initialSuffix, raft.Bootstrap(initialVoters(cfg.InitialPeers)), nil
}

// clusterExists reports whether the initial peers have a leader with a quorum.
// If there is none but the log of a peer goes beyond its first entry, it waits up
// to probeTimeout for an election: this replica may have been the leader before
// it lost its disk.
func clusterExists(cfg Config) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for {
		peerHasLog := false
		for _, addr := range cfg.InitialPeers {
			if addr == cfg.Addr {
				continue
			}
			lastIndex, isLeader := probePeer(ctx, cfg, addr)
			if isLeader {
				cfg.Log.WithField("leader", addr).Warn("the cluster already exists; joining it although bootstrap is set")
				return true
			}
			peerHasLog = peerHasLog || lastIndex > 1
		}
		if !peerHasLog || ctx.Err() != nil {
			return false
		}
		time.Sleep(probeInterval)
	}
}

// probePeer requests a confirmed read from the replica at addr, which only a
// leader with a quorum answers. Any other replica returns the last index of its
// log in a trailer; lastIndex is 0 if it did not answer.
func probePeer(ctx context.Context, cfg Config, addr string) (lastIndex uint64, isLeader bool) {
	conn, err := cfg.Dial(addr)
	if err != nil {
		return 0, false
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var trailer metadata.MD
	if _, err = pb.NewReplicaClient(conn).Forward(ctx, &pb.ForwardRequest{}, grpc.Trailer(&trailer)); err == nil {
		return 0, true
	}
	if v := trailer.Get(lastIndexTrailer); len(v) == 1 {
		lastIndex, _ = strconv.ParseUint(v[0], 10, 64)
	}
	return lastIndex, false
}

// initialVoters returns the voters of the initial configuration. The addresses
// are sorted and duplicates removed, so that every initial member starts from the
// same configuration whatever the order in its settings.
func initialVoters(addrs []string) []*pb.Peer {
	sorted := slices.Compact(slices.Sorted(slices.Values(addrs)))
	peers := make([]*pb.Peer, len(sorted))
	for i, addr := range sorted {
		peers[i] = &pb.Peer{Id: addr + idSeparator + initialSuffix, Addr: addr, Voter: true}
	}
	return peers
}
