package controlmain

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/lab/ports"
	"github.com/fescuejunction/fescuejunction/internal/process/entry/follow"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

const platformYAML = "team: platform\nregions:\n  - name: south\n    data_centres: [dc1]\n"

// cluster has three control replicas. Each function in stop ends the replica of the
// same index and waits for its end.
type cluster struct {
	addrs []string
	stop  []func() error
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{}
	for range 3 {
		c.addrs = append(c.addrs, ports.For(t))
	}
	doc := filepath.Join(t.TempDir(), "platform.yaml")
	if err := os.WriteFile(doc, []byte(platformYAML), 0o600); err != nil {
		t.Fatal(err)
	}
	for i, addr := range c.addrs {
		s := &Settings{
			Instance: fmt.Sprintf("control-%d", i), Region: "south", DataCentre: "dc1",
			GRPCAddr: addr, AdminAddr: "127.0.0.1:0", DataDir: t.TempDir(), Replicas: c.addrs,
			Bootstrap: true, InitialDocument: []string{doc}, TLS: settings.TLS{PlaintextLoopback: true},
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- Run(ctx, s, nil, Extension{}, logging.Discard()) }()
		c.stop = append(c.stop, func() error {
			cancel()
			err := <-done
			done <- err // for the clean-up
			return err
		})
		t.Cleanup(func() { cancel(); <-done })
	}
	return c
}

func dialPlain(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// operator returns an operator client that is connected to replica i.
func (c *cluster) operator(t *testing.T, i int) fescuepb.OperatorClient {
	t.Helper()
	conn, err := dialPlain(c.addrs[i])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return fescuepb.NewOperatorClient(conn)
}

// entry starts an entry that follows only replica i, and returns its client-block
// table.
func (c *cluster) entry(t *testing.T, i int) *atomic.Pointer[blocks.Table] {
	table := new(atomic.Pointer[blocks.Table])
	f := follow.New(follow.Config{
		Self: &fescuepb.Member{
			Instance: fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("dc%d", i),
			Role: fescuepb.Role_ROLE_ENTRY, Incarnation: 1,
		},
		Sources: c.addrs[i : i+1], Dial: dialPlain, Store: new(snapshot.Store), Blocks: table, Log: logging.Discard(), Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return table
}

// putBlocks replaces the client-block table through one replica, and waits until
// every entry has received it from its own replica.
func (c *cluster) putBlocks(t *testing.T, entries []*atomic.Pointer[blocks.Table]) {
	put := func(team string) (*fescuepb.PutBlocksReply, error) {
		stream, err := c.operator(t, 1).PutBlocks(metadata.AppendToOutgoingContext(t.Context(), "fescue-team", team))
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range []string{"10.0.0.0/8,dc1\n10.1", ".0.0/16,dc0\n", "2001:db8::/32,dc1\n"} {
			_ = stream.Send(&fescuepb.PutBlocksRequest{Data: []byte(part)})
		}
		return stream.CloseAndRecv()
	}
	if _, err := put("a"); status.Code(err) != codes.PermissionDenied {
		t.Fatalf("blocks put by another team: %v", err)
	}
	reply, err := put("platform")
	if err != nil || reply.Blocks != 3 {
		t.Fatalf("put blocks: %v, %v", reply, err)
	}
	for _, table := range entries {
		waitFor(t, 5*time.Second, "client blocks at the entry", func() bool {
			if table.Load() == nil {
				return false
			}
			dc, _ := table.Load().Lookup(netip.MustParseAddr("10.1.2.3"))
			return dc == "dc0" && table.Load().Len() == 3
		})
	}
}

// waitFor fails the test unless cond becomes true within the time.
func waitFor(t *testing.T, within time.Duration, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !cond(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached within %v: %s", within, what)
		}
	}
}

// Guards against replicas that do not forward writes, that do not load the initial
// document or the client blocks, or that do not see acknowledgements which arrived
// at other replicas, and against writes that remain blocked or are lost when the
// leader stops.
func TestCluster(t *testing.T) {
	c := startCluster(t)
	var entries []*atomic.Pointer[blocks.Table]
	for i := range 3 {
		entries = append(entries, c.entry(t, i))
	}
	ctx := metadata.AppendToOutgoingContext(t.Context(), "fescue-team", "a")
	var last *fescuepb.StatusReply
	allInForce := func(i int) bool {
		st, err := c.operator(t, i).Status(ctx, &fescuepb.StatusRequest{})
		if err != nil {
			return false
		}
		last = st
		alive := 0
		for _, inst := range st.Instances {
			if inst.Alive && inst.VersionInForce == st.Version {
				alive++
			}
		}
		return alive == 6 && len(st.Replicas) == 3 && st.Leader != ""
	}
	for i := range 3 {
		waitFor(t, 8*time.Second, "all versions in force as reported by one replica", func() bool { return allInForce(i) })
	}
	c.putBlocks(t, entries)
	yaml := "team: a\nshifts: [{name: s, cap: 1}]\n"
	for i := range 3 {
		reply, err := c.operator(t, i).Apply(ctx, &fescuepb.ApplyRequest{
			Team: "a", ExpectedRevision: uint64(i), ChangeId: fmt.Sprint(i), Yaml: []byte(strings.Replace(yaml, "1", fmt.Sprint(i+1), 1)),
		})
		if err != nil || reply.Revision != uint64(i+1) {
			t.Fatalf("apply at replica %d: %v, %v", i, reply, err)
		}
	}
	waitFor(t, 2*time.Second, "changes in force", func() bool { return allInForce(0) })
	leader := 0
	for i, addr := range c.addrs {
		if addr == last.Leader {
			leader = i
		}
	}
	if err := c.stop[leader](); err != nil {
		t.Fatalf("stop of the leader: %v", err)
	}
	other := c.operator(t, (leader+1)%3)
	startedAt := time.Now()
	reply, err := other.Apply(ctx, &fescuepb.ApplyRequest{Team: "a", ExpectedRevision: 3, ChangeId: "3", Yaml: []byte(yaml)})
	if took := time.Since(startedAt); err != nil || reply.Revision != 4 || took > 3*time.Second {
		t.Fatalf("apply after the stop of the leader: %v, %v after %v", reply, err, took)
	}
	repeat, err := other.Apply(ctx, &fescuepb.ApplyRequest{Team: "a", ExpectedRevision: 0, ChangeId: "0", Yaml: []byte(yaml)})
	if err != nil || !repeat.RepeatedChange || repeat.Revision != 1 {
		t.Fatalf("resent change: %v, %v", repeat, err)
	}
}

// Guards against first entries that must wait for leases, because the budget server
// does not learn that the replica is the leader, or because the first leader assumes
// that entries of earlier terms may hold leases.
func TestFirstLeaderGrants(t *testing.T) {
	s := &Settings{
		Instance: "control-1", Region: "south", DataCentre: "dc1", GRPCAddr: ports.For(t), AdminAddr: "127.0.0.1:0",
		DataDir: t.TempDir(), Bootstrap: true, TLS: settings.TLS{PlaintextLoopback: true},
	}
	conn, err := dialPlain(s.GRPCAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	done := make(chan error, 1)
	runCtx, cancel := context.WithCancel(t.Context())
	go func() { done <- Run(runCtx, s, nil, Extension{}, logging.Discard()) }()
	ctx := metadata.AppendToOutgoingContext(t.Context(), "fescue-team", "a")
	operator := fescuepb.NewOperatorClient(conn)
	waitFor(t, 5*time.Second, "a member", func() bool { // succeeds as soon as there is a leader
		_, err := fescuepb.NewMembersClient(conn).Join(ctx, &fescuepb.JoinRequest{Member: &fescuepb.Member{
			Instance: "entry-1", Incarnation: 1, DataCentre: "dc1", Role: fescuepb.Role_ROLE_ENTRY,
		}})
		return err == nil
	})
	_, applyErr := operator.Apply(ctx, &fescuepb.ApplyRequest{Team: "a", ChangeId: "1", Yaml: []byte("team: a\nshifts: [{name: s, cap: 10}]\n")})
	if applyErr != nil {
		t.Fatal(applyErr)
	}
	req := &fescuepb.LeaseRequest{Instance: "entry-1", Incarnation: 1, Asks: []*fescuepb.LeaseAsk{{Shift: "s", Want: 2}}}
	waitFor(t, time.Second, "a lease", func() bool {
		req.Sequence++
		reply, err := fescuepb.NewBudgetClient(conn).Lease(ctx, req)
		if err != nil {
			return false
		}
		req.Term = reply.Term
		return len(reply.Grants) > 0 && reply.Grants[0].Granted == 2
	})
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against invalid settings that are accepted.
func TestSettings(t *testing.T) {
	const good = "instance: c\nregion: r\ndata_centre: d\ngrpc_addr: 127.0.0.1:1\nadmin_addr: 127.0.0.1:2\ndata_dir: x\ntls: {plaintext_loopback: true}\n"
	for name, c := range map[string]struct{ yaml, problem string }{
		"first start":             {good + "bootstrap: true\n", ""},
		"restart":                 {good + "replicas: ['127.0.0.1:1']\n", ""},
		"no cluster":              {good, "bootstrap: set bootstrap"},
		"bootstrap and join":      {good + "bootstrap: true\njoin: ['127.0.0.1:3']\n", "join: a replica either"},
		"not one of the replicas": {good + "bootstrap: true\nreplicas: ['127.0.0.1:3']\n", "replicas: grpc_addr"},
		"plaintext off loopback":  {strings.Replace(good, "grpc_addr: 127.0.0.1", "grpc_addr: 10.0.0.1", 1) + "bootstrap: true\n", "settings.yaml:4: grpc_addr:"},
		"host name":               {good + "bootstrap: true\njoin: [control:1]\n", "join[0]"},
		"unknown key":             {good + "bootstrapp: true\n", "unknown key"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.yaml")
			if err := os.WriteFile(file, []byte(c.yaml), 0o600); err != nil {
				t.Fatal(err)
			}
			err := settings.Load(file, new(Settings))
			if (err == nil) != (c.problem == "") || err != nil && !strings.Contains(err.Error(), c.problem) {
				t.Fatalf("got %v", err)
			}
		})
	}
}
