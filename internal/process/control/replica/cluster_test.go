package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/lab/ports"
)

// recordingMachine is a state machine that records the applied commands in order.
type recordingMachine struct {
	mu     sync.Mutex
	values []string
}

func (j *recordingMachine) Apply(_ uint64, data []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.values = append(j.values, string(data))
	return append([]byte("applied "), data...)
}

func (j *recordingMachine) Snapshot() ([]byte, error) { return json.Marshal(j.list()) }

func (j *recordingMachine) Restore(data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.values = nil
	return json.Unmarshal(data, &j.values)
}

func (j *recordingMachine) list() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.values)
}

// node is one replica with its gRPC server, data directory and clock.
type node struct {
	*Replica
	t       *testing.T
	cfg     Config
	server  *grpc.Server
	machine *recordingMachine
	paused  atomic.Bool // no ticks are delivered
}

// cluster is a set of nodes in one process, connected by a simulated network.
type cluster struct {
	t     *testing.T
	net   *network
	nodes []*node
}

// newCluster starts a cluster of size initial voters whose messages are delayed
// by delay in each direction. The test's clean-up stops it.
func newCluster(t *testing.T, size int, delay time.Duration) *cluster {
	c := &cluster{t: t, net: newNetwork(delay)}
	var addrs []string
	for range size {
		addrs = append(addrs, ports.For(t))
	}
	for i, addr := range addrs {
		n := &node{t: t, cfg: Config{
			DataDir: filepath.Join(t.TempDir(), "data"), Addr: addr, InitialPeers: addrs, Bootstrap: true,
			Dial: c.net.dialer(addr), Log: logging.Discard(), SnapshotEvery: 100, Seed: uint64(i),
		}}
		if os.Getenv("REPLICA_TEST_LOG") != "" {
			n.cfg.Log = logging.New(os.Stderr, "info", "test", addr)
		}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			c.net.setBlocked(n.cfg.Addr, false)
			n.stop()
		}
	})
	c.awaitVoters()
	return c
}

// startLimit bounds the time in which the nodes of a new cluster become voters.
const startLimit = 20 * time.Second

// awaitVoters waits until every node votes and no other replica does. A node that
// starts after the others have elected a leader joins as a new replica. Until it
// votes in place of the initial one, the loss of another node loses the quorum.
func (c *cluster) awaitVoters() {
	c.t.Helper()
	eventually(c.t, startLimit, "every node votes", func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *node) bool { return !votesAmong(n.Status(), len(c.nodes)) })
	})
}

// votesAmong reports whether a replica with a leader is one of exactly n voters.
func votesAmong(s Status, n int) bool {
	voters := 0
	for _, p := range s.Peers {
		if p.Voter {
			voters++
		}
	}
	return s.LeaderID != "" && s.isVoter() && voters == n
}

// start starts the replica with an empty state machine and the present content of
// its data directory.
func (n *node) start() {
	n.t.Helper()
	n.machine = &recordingMachine{}
	n.cfg.Machine = n.machine
	n.cfg.ticks = n.ticks()
	r, err := Start(n.cfg)
	if err != nil {
		n.t.Fatal(err)
	}
	l, err := net.Listen("tcp", n.cfg.Addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.Replica, n.server = r, grpc.NewServer()
	r.Register(n.server)
	go n.server.Serve(l)
}

// ticks returns a clock that delivers no ticks while the node is paused.
func (n *node) ticks() <-chan time.Time {
	out := make(chan time.Time)
	ticker := time.NewTicker(defaultTick)
	n.t.Cleanup(ticker.Stop)
	go func() {
		for now := range ticker.C {
			if !n.paused.Load() {
				select {
				case out <- now:
				case <-time.After(defaultTick):
				}
			}
		}
	}()
	return out
}

// stop stops the server and the replica. It does nothing if they do not run.
func (n *node) stop() {
	if n.server != nil {
		n.server.Stop()
		n.Stop()
		n.server = nil
	}
}

// loseDisk stops the node, removes its data directory and starts it again.
func (n *node) loseDisk() {
	n.stop()
	if err := os.RemoveAll(n.cfg.DataDir); err != nil {
		n.t.Fatal(err)
	}
	n.start()
}

// leader returns the node that leads and confirms a read with a quorum.
func (c *cluster) leader() *node {
	c.t.Helper()
	var found *node
	eventually(c.t, 5*time.Second, "a leader that has a quorum", func() bool {
		for _, n := range c.nodes {
			if n.server != nil && n.IsLeader() {
				ctx, cancel := context.WithTimeout(c.t.Context(), 300*time.Millisecond)
				_, err := n.Read(ctx)
				cancel()
				if err == nil {
					found = n
					return true
				}
			}
		}
		return false
	})
	return found
}

// others returns the running nodes except n.
func (c *cluster) others(n *node) []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(o *node) bool { return o == n || o.server == nil })
}

// mustPropose proposes value at the node and checks the result.
func (n *node) mustPropose(value string) {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(n.t.Context(), 10*time.Second)
	defer cancel()
	result, _, err := n.Propose(ctx, []byte(value))
	if err != nil {
		n.t.Fatalf("propose %s at %s: %v", value, n.cfg.Addr, err)
	}
	if want := "applied " + value; string(result) != want {
		n.t.Fatalf("result %q, want %q", result, want)
	}
}

// proposeMany proposes count values at the node and returns them.
func proposeMany(n *node, prefix string, count int) []string {
	var values []string
	for i := range count {
		values = append(values, fmt.Sprintf("%s%d", prefix, i))
		n.mustPropose(values[i])
	}
	return values
}
