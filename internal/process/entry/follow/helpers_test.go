package follow

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"github.com/fescuejunction/fescuejunction/internal/process/control/replica"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/feed"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
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

// serve starts a gRPC server with the services that register adds, and returns its
// address.
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

// startControl starts a single control replica with a replicated log on disk and
// returns its address.
func startControl(t testing.TB) (*control.Server, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr, machine := lis.Addr().String(), state.New()
	log, err := replica.Start(replica.Config{
		DataDir: t.TempDir(), Addr: addr, InitialPeers: []string{addr}, Bootstrap: true,
		Machine: machine, Dial: dialPlain, Log: logging.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	srv := control.New(control.Config{
		Instance: "control-1", Log: log, Machine: machine, Auth: control.LoopbackTeam{Plaintext: true},
		Replicas: func() []string { return nil }, Dial: dialPlain, Logger: logging.Discard(), Metrics: tally.NoopScope,
	})
	g := grpc.NewServer()
	srv.Register(g)
	log.Register(g)
	go func() { _ = g.Serve(lis) }()
	go func() { _ = srv.Run(t.Context()) }()
	t.Cleanup(func() { g.Stop(); log.Stop() })
	return srv, addr
}

func newFollower(instance string, sources, peers []string) *Follower {
	return New(Config{
		Self:    &fescuepb.Member{Instance: instance, Region: "south", DataCentre: "dc1", Role: fescuepb.Role_ROLE_ENTRY, Incarnation: 1},
		Sources: sources, Peers: peers, Dial: dialPlain, Store: new(snapshot.Store), Log: logging.Discard(), Metrics: tally.NoopScope,
	})
}

// start runs a follower until the end of the test.
func start(t testing.TB, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// eventually waits until cond returns true, and fails the test if it does not do so
// in time.
func eventually(t testing.TB, within time.Duration, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

// fakeSource is a source whose version the test sets and whose counter advances
// every 100 ms. While it is cut off, it still serves its version, but the counter
// does not advance.
type fakeSource struct {
	fescuepb.UnimplementedFollowServer
	fescuepb.UnimplementedMembersServer
	hub  *feed.Hub
	addr string
	stop func()

	mu          sync.Mutex
	view        *view.View
	counter     uint64
	isCutOff    bool
	counterNow  func() uint64 // the counter of the quorum; nil lets this source count by itself
	saysStalled bool          // pushes that its counter stands still while it is cut off
	opened      int           // watches that were opened
	open        int           // watches that are open
}

func newFakeSource(t *testing.T, version, counter uint64) *fakeSource {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newFakeSourceOn(t, lis, version, counter)
}

// newFakeSourceOn returns a fake source that serves on a listener.
func newFakeSourceOn(t *testing.T, lis net.Listener, version, counter uint64) *fakeSource {
	s := &fakeSource{view: view.New(), counter: counter}
	s.hub = feed.NewHub(feed.Config{Instance: "fake", Source: s, Stalled: s.stalled})
	s.set(version)
	g := grpc.NewServer()
	fescuepb.RegisterFollowServer(g, s)
	fescuepb.RegisterMembersServer(g, s)
	held := holdAddress(t, lis)
	go func() { _ = g.Serve(held) }()
	s.addr, s.stop = lis.Addr().String(), g.Stop
	t.Cleanup(g.Stop)
	go s.run(t.Context())
	return s
}

// heldListener is a listener that keeps its address until the end of the test. After
// Close it resets the connections that it gets. The system gives a free port to the next
// listener, and a follower would then follow a source of another test.
type heldListener struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func holdAddress(t *testing.T, lis net.Listener) *heldListener {
	h := &heldListener{Listener: lis, conns: make(chan net.Conn), closed: make(chan struct{})}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			select {
			case h.conns <- conn:
			case <-h.closed:
				_ = conn.Close()
			}
		}
	}()
	return h
}

func (h *heldListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

func (h *heldListener) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

func (s *fakeSource) Watch(stream grpc.BidiStreamingServer[fescuepb.WatchRequest, fescuepb.Update]) error {
	s.countWatch(1, 1)
	defer s.countWatch(0, -1)
	return s.hub.Watch(stream)
}

func (s *fakeSource) countWatch(opened, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened += opened
	s.open += open
}

func (s *fakeSource) Join(context.Context, *fescuepb.JoinRequest) (*fescuepb.JoinReply, error) {
	return &fescuepb.JoinReply{}, nil
}

// run advances the counter until ctx ends, unless the source is cut off.
func (s *fakeSource) run(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		switch {
		case s.isCutOff:
		case s.counterNow != nil:
			s.counter = s.counterNow()
		default:
			s.counter++
		}
		s.mu.Unlock()
		s.hub.Wake()
	}
}

// set changes the version of the source.
func (s *fakeSource) set(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetSection(&fescuepb.Section{Team: "platform", Yaml: []byte(platformYAML), Revision: version, Version: version})
}

// setCutOff cuts the source off from its quorum or reconnects it.
func (s *fakeSource) setCutOff(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCutOff = cut
}

func (s *fakeSource) stalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saysStalled && s.isCutOff
}

// watchedBy reports whether the instance has acknowledged on an open watch.
func (s *fakeSource) watchedBy(instance string) bool {
	_, ok := s.hub.Acks.LiveVersions()[instance]
	return ok
}

func (s *fakeSource) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Version
}

func (s *fakeSource) Counter() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counter
}

func (s *fakeSource) Since(base uint64) *fescuepb.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Since(base)
}

func (s *fakeSource) Page(p view.Position, maxBytes int) *fescuepb.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Page(p, maxBytes)
}

func (s *fakeSource) Beat(p view.Position) *fescuepb.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Beat(p)
}

// versionInForce returns the version in force at a follower, or 0 if there is none.
func versionInForce(f *Follower) uint64 {
	if s := f.cfg.Store.Load(); s != nil {
		return s.Version
	}
	return 0
}
