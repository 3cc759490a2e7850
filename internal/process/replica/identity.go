package replica

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strings"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/raft"
	"github.com/fescuejunction/fescuejunction/internal/process/storage"
)

// An identity is the address of the replica, "#", and a part that differs
// for each data directory: "0" for the initial voters, random otherwise.
const (
	idSeparator  = "#"
	initialPart  = "0"
	randomIDSize = 8 // bytes
)

// addrOf returns the address in an identity.
func addrOf(id string) string {
	i := strings.LastIndex(id, idSeparator)
	return id[:max(i, 0)]
}

// openStore opens the data directory and creates it on the first start.
func openStore(cfg Config) (*storage.Store, string, raft.State, error) {
	id, err := storage.Identity(cfg.fs, cfg.DataDir)
	if err == nil && id == "" {
		id, err = createStore(cfg)
	}
	if err != nil {
		return nil, "", raft.State{}, err
	}
	if addrOf(id) != cfg.Addr {
		return nil, "", raft.State{}, errkind.New(errkind.InvalidSettings,
			"data directory %s belongs to the replica at %s, not at %s", cfg.DataDir, addrOf(id), cfg.Addr)
	}
	store, st, err := storage.Open(cfg.fs, cfg.DataDir, cfg.Log)
	return store, id, st, err
}

func createStore(cfg Config) (string, error) {
	id, st, err := firstState(cfg)
	if err != nil {
		return "", err
	}
	cfg.Log.WithField("replica", id).WithField("bootstrap", cfg.Bootstrap).Info("creating the data directory")
	return id, storage.Create(cfg.fs, cfg.DataDir, id, st, cfg.Log)
}

func firstState(cfg Config) (string, raft.State, error) {
	if !cfg.Bootstrap {
		id := make([]byte, randomIDSize)
		rand.Read(id)
		return cfg.Addr + idSeparator + hex.EncodeToString(id), raft.State{}, nil
	}
	if !slices.Contains(cfg.InitialPeers, cfg.Addr) {
		return "", raft.State{}, errkind.New(errkind.InvalidSettings,
			"address %s is not among the initial peers %v", cfg.Addr, cfg.InitialPeers)
	}
	return cfg.Addr + idSeparator + initialPart, raft.Bootstrap(initialVoters(cfg.InitialPeers)), nil
}

// initialVoters is the same on every initial member, whatever the order of
// its settings.
func initialVoters(addrs []string) []*pb.Peer {
	sorted := slices.Compact(slices.Sorted(slices.Values(addrs)))
	peers := make([]*pb.Peer, len(sorted))
	for i, addr := range sorted {
		peers[i] = &pb.Peer{Id: addr + idSeparator + initialPart, Addr: addr, Voter: true}
	}
	return peers
}
