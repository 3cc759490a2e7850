package budget

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

type fakeRole struct {
	leads atomic.Bool
	snap  *snapshot.Snapshot
}

func (r *fakeRole) IsLeader() bool               { return r.leads.Load() }
func (r *fakeRole) Term() uint64                 { return 1 }
func (r *fakeRole) Snapshot() *snapshot.Snapshot { return r.snap }

// serve starts a control replica or relay and returns its address.
func serve(t *testing.T, srv fescuepb.BudgetServer) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	fescuepb.RegisterBudgetServer(g, srv)
	go g.Serve(lis)
	t.Cleanup(g.Stop)
	return lis.Addr().String()
}

func dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// Guards against a client that stays with a follower, against leases that do
// not reach the holder over gRPC, and against an entry that has no units
// because it reaches the leader only through another entry.
func TestClientFindsLeaderAndGetsUnits(t *testing.T) {
	snap := build(1, map[string]int{"a": 8}, map[string]uint64{"e1": 7})
	for _, relayed := range []bool{false, true} {
		var addrs []string
		var heard [2]atomic.Uint64 // version that the follower and the leader heard
		for i, leads := range []bool{false, true} {
			srv := NewServer(&fakeRole{snap: snap})
			srv.Heard = func(_ string, version uint64) { heard[i].Store(version) }
			srv.role.(*fakeRole).leads.Store(leads)
			// The wait of a new leader is skipped by moving its clock on.
			srv.follow()
			srv.now = func() time.Time { return time.Now().Add(10 * time.Second) }
			addrs = append(addrs, serve(t, srv))
		}
		if relayed {
			addrs = []string{"127.0.0.1:1", serve(t, &Relay{Control: sameAddrs(addrs), Dial: dial})}
		}
		shared := NewShared(NewHolder("e1", 7))
		shared.Use(snap)
		c := &Client{Holder: shared, Addrs: func() []string { return addrs }, Log: logging.Discard(), Dial: dial}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		takeAll(t, shared, 8)
		cancel()
		<-done
		if heard[0].Load() != 1 || heard[1].Load() != 1 {
			t.Errorf("relayed %t: follower heard version %d, leader %d", relayed, heard[0].Load(), heard[1].Load())
		}
	}
}

// takeAll takes units of shift a and fails unless there are exactly want.
func takeAll(t *testing.T, shared *Shared, want int) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for got := 0; got < want; {
		if _, ok := shared.Acquire("a"); ok {
			got++
		} else if time.Now().After(deadline) {
			t.Fatalf("got %d of %d units in 5 s", got, want)
		} else {
			time.Sleep(5 * time.Millisecond)
		}
	}
	if _, ok := shared.Acquire("a"); ok {
		t.Fatalf("got more than %d units", want)
	}
}

// Guards against a raised link share that is used before the other entries
// have lowered theirs, and against a rate that is not split.
func TestLinkShares(t *testing.T) {
	now := time.Unix(1000, 0)
	one := build(1, nil, map[string]uint64{"e1": 1})
	two := build(2, nil, map[string]uint64{"e1": 1, "e2": 1})
	if a, b := LinkRate(one, "e1", "q"), LinkRate(two, "e1", "q"); a != 1000 || b != 500 {
		t.Fatalf("rates %v and %v, want 1000 and 500", a, b)
	}
	l := NewLinkShares("e1")
	l.Use(one, now)
	l.Allow("q", 1, now)
	if l.Allow("q", 1, now.Add(raiseDelay-time.Second)) {
		t.Error("the first share is used before the raise delay")
	}
	now = now.Add(raiseDelay)
	l.Allow("q", 1, now) // installs the raised rate; its bucket starts empty
	now = now.Add(time.Second)
	if !l.Allow("q", 1, now) {
		t.Error("the share is refused after the raise delay")
	}
	l.Use(two, now)
	if l.Allow("q", minLinkBurst, now) || l.Allow("elsewhere", 1, now) {
		t.Error("more bytes are allowed than the share has")
	}
	if d, ok := l.Delay("q", 1000, now.Add(time.Hour)); !ok || d != 0 {
		t.Errorf("delay %v %v for bytes within the burst", d, ok)
	}
	if d, ok := l.Delay("q", minLinkBurst, now.Add(time.Hour)); !ok || d < time.Second {
		t.Errorf("delay %v %v, want the time for 1000 bytes at 500 bytes/s", d, ok)
	}
}

func sameAddrs(addrs []string) func() []string { return func() []string { return addrs } }

// Guards against leased units that are used after the machine was suspended for
// longer than the lease: by the monotonic clock it still runs.
func TestLeaseEndsDuringASuspension(t *testing.T) {
	snap := build(1, map[string]int{"a": 8}, map[string]uint64{"e1": 7, "e2": 8})
	srv := NewServer(&fakeRole{snap: snap})
	srv.role.(*fakeRole).leads.Store(true)
	srv.follow()
	srv.now = func() time.Time { return time.Now().Add(10 * time.Second) }
	shared := NewShared(NewHolder("e1", 7))
	now := time.Now()
	shared.now = func() time.Time { return now }
	shared.Use(snap)
	const pinned = 2 // half of the cap, split between two entries
	for range 3 {    // demand, acknowledged version, grant
		shared.Acquire("a")
		reply, err := srv.Lease(context.Background(), shared.asks())
		if err != nil {
			t.Fatal(err)
		}
		shared.apply(reply)
	}
	_, leased := shared.InUse("a")
	if leased <= pinned {
		t.Fatalf("limit %d with a lease, %d without", leased, pinned)
	}
	ticket, ok := shared.Acquire("a")
	for more := ok; more; {
		var next Ticket
		if next, more = shared.Acquire("a"); more {
			ticket = next
		}
	}
	now = now.Add(time.Minute) // suspended
	if _, limit := shared.InUse("a"); limit != pinned || shared.Recheck(ticket) {
		t.Errorf("limit %d, want %d; the last unit is still valid: %v", limit, pinned, shared.Recheck(ticket))
	}
}

// Guards against an entry that asks the leader twice a second although the
// document has no caps, and against one that does not begin once it has one.
func TestNoRequestsWithoutCaps(t *testing.T) {
	var heard atomic.Uint64
	srv := NewServer(&fakeRole{snap: build(1, nil, map[string]uint64{"e1": 7})})
	srv.Heard = func(_ string, version uint64) { heard.Store(version) }
	addr := serve(t, srv)
	shared := NewShared(NewHolder("e1", 7))
	c := &Client{Holder: shared, Addrs: func() []string { return []string{addr} }, Log: logging.Discard(), Dial: dial}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	shared.Use(build(1, nil, map[string]uint64{"e1": 7}))
	time.Sleep(2 * minInterval)
	if heard.Load() != 0 {
		t.Error("asked without a cap")
	}
	shared.Use(build(2, map[string]int{"a": 8}, map[string]uint64{"e1": 7}))
	for until := time.Now().Add(5 * time.Second); heard.Load() != 2 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if heard.Load() != 2 {
		t.Error("did not ask once there was a cap")
	}
	cancel()
	<-done
}
