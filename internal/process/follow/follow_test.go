package follow

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"github.com/fescuejunction/fescuejunction/internal/process/logging"
	"github.com/fescuejunction/fescuejunction/internal/process/memlog"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const platformYAML = `team: platform
regions:
  - name: south
    data_centres: [dc1, dc2]
`

func dialPlain(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// serve starts a gRPC server with the registered services and returns its address.
func serve(t *testing.T, register func(*grpc.Server)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	register(g)
	go func() { _ = g.Serve(lis) }()
	t.Cleanup(g.Stop)
	return lis.Addr().String()
}

func startControl(t *testing.T) (*control.Server, string) {
	t.Helper()
	machine := state.New()
	log := memlog.New(machine, "")
	srv := control.New(control.Config{
		Instance: "control-1", Log: log, Machine: machine, Auth: control.LoopbackTeam{Plaintext: true},
		Replicas: func() []string { return nil }, Dial: dialPlain, Logger: logging.Discard(), Metrics: tally.NoopScope,
	})
	go func() { _ = log.Run(t.Context()) }()
	go func() { _ = srv.Run(t.Context()) }()
	return srv, serve(t, srv.Register)
}

func newFollower(instance string, sources, peers []string) *Follower {
	return New(Config{
		Self:    &fescuepb.Member{Instance: instance, Region: "south", DataCentre: "dc1", Role: fescuepb.Role_ROLE_ENTRY, Incarnation: 1},
		Sources: sources, Peers: peers, Dial: dialPlain, Store: new(snapshot.Store), Log: logging.Discard(), Metrics: tally.NoopScope,
	})
}

func start(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// eventually waits until cond holds.
func eventually(t *testing.T, within time.Duration, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

// Guards against a follower that doesn't join or misses accepted changes.
func TestFollowsControl(t *testing.T) {
	srv, addr := startControl(t)
	sections := []control.InitialSection{{Team: "platform", YAML: []byte(platformYAML)}}
	if err := srv.LoadInitial(t.Context(), sections); err != nil {
		t.Fatal(err)
	}
	f := newFollower("entry-1", []string{addr}, nil)
	start(t, f)
	eventually(t, 3*time.Second, "ready with itself as member", func() bool {
		s := f.cfg.Store.Load()
		return f.Ready() && f.Confirmed() && s.Member("entry-1") != nil && s.Region("dc2") == "south"
	})
	if err := f.Leave(t.Context(), true); err != nil {
		t.Fatal(err)
	}
	eventually(t, time.Second, "no member after it left", func() bool { return f.cfg.Store.Load().Member("entry-1") == nil })
}
