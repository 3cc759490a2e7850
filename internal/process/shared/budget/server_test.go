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

type fakeLeadership struct {
	leads atomic.Bool
	snap  *snapshot.Snapshot
}

func (r *fakeLeadership) IsLeader() bool               { return r.leads.Load() }
func (r *fakeLeadership) Term() uint64                 { return 1 }
func (r *fakeLeadership) Snapshot() *snapshot.Snapshot { return r.snap }

// serve starts a gRPC server for a control replica or a relay and returns its
// address.
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

// Guards against a client that does not move on from a follower to the leader,
// against leases that do not reach the holder over gRPC, and against an entry
// that gets no units because it reaches the leader only through a relay.
func TestClientFindsLeaderAndGetsUnits(t *testing.T) {
	snap := buildSnapshot(1, map[string]int{"a": 8}, map[string]uint64{"e1": 7})
	for _, relayed := range []bool{false, true} {
		var addrs []string
		var requested [2]atomic.Uint64 // latest version in a request to the follower and to the leader
		for i, leads := range []bool{false, true} {
			srv := NewServer(&fakeLeadership{snap: snap})
			srv.OnRequest = func(_ string, version uint64) { requested[i].Store(version) }
			srv.leadership.(*fakeLeadership).leads.Store(leads)
			// Moving the clock forward skips the time in which a new leader grants nothing.
			srv.syncRole()
			srv.now = func() time.Time { return time.Now().Add(10 * time.Second) }
			addrs = append(addrs, serve(t, srv))
		}
		if relayed {
			addrs = []string{"127.0.0.1:1", serve(t, &Relay{Control: staticAddrs(addrs), Dial: dial})}
		}
		shared := NewConcurrentHolder(NewHolder("e1", 7))
		shared.ApplySnapshot(snap)
		c := &Client{Holder: shared, Addrs: func() []string { return addrs }, Log: logging.Discard(), Dial: dial}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		acquireExactly(t, shared, 8)
		cancel()
		<-done
		if requested[0].Load() != 1 || requested[1].Load() != 1 {
			t.Errorf("relayed %t: request with version %d reached the follower, %d the leader", relayed, requested[0].Load(), requested[1].Load())
		}
	}
}

// acquireExactly acquires units of shift a for up to 5 s and fails the test unless
// exactly want are available.
func acquireExactly(t *testing.T, shared *ConcurrentHolder, want int) {
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

// Guards against a raised link share that is used before the other entries have
// lowered theirs, and against a link rate that is not divided among the entries.
func TestLinkShares(t *testing.T) {
	now := time.Unix(1000, 0)
	one := buildSnapshot(1, nil, map[string]uint64{"e1": 1})
	two := buildSnapshot(2, nil, map[string]uint64{"e1": 1, "e2": 1})
	if a, b := LinkRate(one, "e1", "q"), LinkRate(two, "e1", "q"); a != 1000 || b != 500 {
		t.Fatalf("rates %v and %v, want 1000 and 500", a, b)
	}
	l := NewLinkShares("e1")
	l.ApplySnapshot(one, now)
	l.Allow("q", 1, now)
	if l.Allow("q", 1, now.Add(raiseDelay-time.Second)) {
		t.Error("the first share is used before the raise delay")
	}
	now = now.Add(raiseDelay)
	l.Allow("q", 1, now) // adopts the raised rate; its bucket starts empty
	now = now.Add(time.Second)
	if !l.Allow("q", 1, now) {
		t.Error("the share is refused after the raise delay")
	}
	l.ApplySnapshot(two, now)
	if l.Allow("q", minLinkBurst, now) || l.Allow("elsewhere", 1, now) {
		t.Error("more bytes are allowed than the share has")
	}
	if d, ok := l.Reserve("q", 1000, now.Add(time.Hour)); !ok || d != 0 {
		t.Errorf("delay %v %v for bytes within the burst", d, ok)
	}
	if d, ok := l.Reserve("q", minLinkBurst, now.Add(time.Hour)); !ok || d < time.Second {
		t.Errorf("delay %v %v, want the time for 1000 bytes at 500 bytes/s", d, ok)
	}
}

func staticAddrs(addrs []string) func() []string { return func() []string { return addrs } }

// Guards against leased units that are used after the machine was suspended for
// longer than the lease. The monotonic clock stands still during a suspension, so
// by that clock the lease has not expired.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	snap := buildSnapshot(1, map[string]int{"a": 8}, map[string]uint64{"e1": 7, "e2": 8})
	srv := NewServer(&fakeLeadership{snap: snap})
	srv.leadership.(*fakeLeadership).leads.Store(true)
	srv.syncRole()
	srv.now = func() time.Time { return time.Now().Add(10 * time.Second) }
	shared := NewConcurrentHolder(NewHolder("e1", 7))
	now := time.Now()
	shared.now = func() time.Time { return now }
	shared.ApplySnapshot(snap)
	const pinned = 2 // half of the cap, split between two entries
	for range 3 {    // one request each for the demand, the acknowledged version and the grant
		shared.Acquire("a")
		reply, err := srv.Lease(context.Background(), shared.nextRequest())
		if err != nil {
			t.Fatal(err)
		}
		shared.applyReply(reply)
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
	now = now.Add(time.Minute) // as after a suspension
	if _, limit := shared.InUse("a"); limit != pinned || shared.TicketValid(ticket) {
		t.Errorf("limit %d, want %d; the last unit is still valid: %v", limit, pinned, shared.TicketValid(ticket))
	}
}

// Guards against an entry that sends two requests per second although the document
// has no caps, and against one that sends none after the document gets a cap.
func TestNoRequestsWithoutCaps(t *testing.T) {
	var requested atomic.Uint64
	srv := NewServer(&fakeLeadership{snap: buildSnapshot(1, nil, map[string]uint64{"e1": 7})})
	srv.OnRequest = func(_ string, version uint64) { requested.Store(version) }
	addr := serve(t, srv)
	shared := NewConcurrentHolder(NewHolder("e1", 7))
	c := &Client{Holder: shared, Addrs: func() []string { return []string{addr} }, Log: logging.Discard(), Dial: dial}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	shared.ApplySnapshot(buildSnapshot(1, nil, map[string]uint64{"e1": 7}))
	time.Sleep(2 * minInterval)
	if requested.Load() != 0 {
		t.Error("request sent without a cap")
	}
	shared.ApplySnapshot(buildSnapshot(2, map[string]int{"a": 8}, map[string]uint64{"e1": 7}))
	for until := time.Now().Add(5 * time.Second); requested.Load() != 2 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if requested.Load() != 2 {
		t.Error("no request sent after a cap was added")
	}
	cancel()
	<-done
}
