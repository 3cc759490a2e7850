package slots

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

var pool = Pool{Service: "rota", Region: "north"}

// testSetup is a server whose dispatcher has one target with two slots, and a
// client of the server.
type testSetup struct {
	*testing.T
	dispatcher *dispatch.Dispatcher
	client     *Client
	addr       string
	stop       func()
}

func newTestSetup(t *testing.T) *testSetup {
	t.Helper()
	dispatcher := dispatch.NewPoolDispatcher(dispatch.Settings{Service: pool.Service}, time.Now, nil)
	dispatcher.SetTargets([]dispatch.TargetInfo{{ID: "t1", Addr: "127.0.0.1:1", Slots: 2}})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	fescuepb.RegisterSlotsServer(g, &Server{Now: time.Now, Slots: func(p Pool) dispatch.Slots {
		if p != pool {
			return nil
		}
		return dispatcher
	}})
	go func() { _ = g.Serve(lis) }()
	c := &Client{Log: logging.Discard(), Dial: func(addr string) (*grpc.ClientConn, error) {
		return grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	}}
	t.Cleanup(func() { c.Close(); g.Stop() })
	return &testSetup{T: t, dispatcher: dispatcher, client: c, addr: lis.Addr().String(), stop: g.Stop}
}

// acquire requests a slot for a request whose objective and deadline are due from
// now.
func (s *testSetup) acquire(ctx context.Context, p Pool, due time.Duration) (*dispatch.Ticket, error) {
	now := time.Now()
	work := dispatch.Work{Route: "r", Safe: true, Objective: now.Add(due), Deadline: now.Add(due)}
	t, _, err := s.client.Acquire(ctx, s.addr, p, work, now)
	return t, err
}

func (s *testSetup) mustAcquire() *dispatch.Ticket {
	s.Helper()
	t, err := s.acquire(s.Context(), pool, time.Second)
	if err != nil {
		s.Fatal(err)
	}
	return t
}

// awaitInFlight waits until the dispatcher has n requests in flight.
func (s *testSetup) awaitInFlight(n int) {
	s.Helper()
	for until := time.Now().Add(3 * time.Second); s.dispatcher.Load().InFlight != n; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			s.Fatalf("%d in flight, want %d", s.dispatcher.Load().InFlight, n)
		}
	}
}

// Guards against granting more slots than the targets of the dispatcher have, and
// against a slot that is not released after its request.
func TestAcquireAndRelease(t *testing.T) {
	s := newTestSetup(t)
	first := s.mustAcquire()
	s.mustAcquire()
	if first.Target.ID != "t1" || first.Target.Addr != "127.0.0.1:1" {
		t.Errorf("target %+v", first.Target)
	}
	if _, err := s.acquire(t.Context(), pool, 30*time.Millisecond); errkind.Of(err).Response().DidRun != errkind.No {
		t.Errorf("third request for two slots: %v", err)
	}
	first.Done(dispatch.Outcome{Result: dispatch.OK, Latency: time.Millisecond})
	s.awaitInFlight(1)
	s.mustAcquire()
}

// Guards against a slot that stays occupied because it was granted to a request
// that was cancelled while it waited in the queue.
func TestCancelledAsk(t *testing.T) {
	s := newTestSetup(t)
	first, _ := s.mustAcquire(), s.mustAcquire()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := s.acquire(ctx, pool, 5*time.Second); errkind.Of(err) != errkind.Cancelled {
		t.Errorf("cancelled request: %v", err)
	}
	first.Done(dispatch.Outcome{Result: dispatch.OK, Latency: time.Millisecond})
	s.awaitInFlight(1)
}

// Guards against slots that stay occupied by an entry whose stream has ended.
func TestLostStreamReleasesSlots(t *testing.T) {
	s := newTestSetup(t)
	s.mustAcquire()
	s.mustAcquire()
	s.client.Close()
	s.awaitInFlight(0)
}

// Guards against a request that waits longer than its reply timeout for a
// dispatcher that has stopped, or for an entry that does not dispatch the pool.
func TestUnreachableDispatcher(t *testing.T) {
	s := newTestSetup(t)
	if _, err := s.acquire(t.Context(), Pool{Service: "other"}, time.Second); errkind.Of(err) != errkind.NotDispatcher {
		t.Errorf("unknown pool: %v", err)
	}
	s.mustAcquire()
	s.stop()
	began := time.Now()
	if _, err := s.acquire(t.Context(), pool, 100*time.Millisecond); !errors.Is(err, ErrNoReply) {
		t.Errorf("stopped dispatcher: %v", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("error after %v", took)
	}
}

// Guards against announcements of targets that are lost between two entries: that a
// target leaves, from the entry that got the answer to the dispatcher and from there
// to the others, and that it pauses for the entry that asks.
func TestAnnouncementsReachTheDispatcher(t *testing.T) {
	s := newTestSetup(t)
	s.dispatcher.SetTargets([]dispatch.TargetInfo{
		{ID: "t1", Addr: "127.0.0.1:1", Slots: 2, Incarnation: 7}, {ID: "t2", Addr: "127.0.0.1:2", Slots: 2, Incarnation: 8},
	})
	process := map[string]dispatch.Process{"t1": {ID: "t1", Addr: "127.0.0.1:1", Incarnation: 7}, "t2": {ID: "t2", Addr: "127.0.0.1:2", Incarnation: 8}}
	ask := func(pauses ...dispatch.Pause) (*dispatch.Ticket, *dispatch.Load, error) {
		now := time.Now()
		w := dispatch.Work{Route: "r", NoQueue: true, Deadline: now.Add(time.Second), Pauses: pauses}
		return s.client.Acquire(t.Context(), s.addr, pool, w, now)
	}
	for range 4 {
		ticket, _, err := ask(dispatch.Pause{Target: process["t1"], Left: time.Minute})
		if err != nil || ticket.Target.Process() != process["t2"] {
			t.Fatalf("ticket %+v, %v; want one for t2, as t1 pauses", ticket, err)
		}
		ticket.Done(dispatch.Outcome{Result: dispatch.OK})
	}
	_, _, err := ask(dispatch.Pause{Target: process["t1"], Left: time.Minute}, dispatch.Pause{Target: process["t2"], Left: time.Hour})
	if after, _ := dispatch.RetryAfter(err); errkind.Of(err) != errkind.NoTarget || after < 59*time.Second || after > time.Minute {
		t.Errorf("%v, retry after %v; want no target for nearly a minute", err, after)
	}
	first, _, err := ask()
	if err != nil {
		t.Fatal(err)
	}
	first.Done(dispatch.Outcome{Result: dispatch.NotUsed, Leaving: true})
	s.awaitInFlight(0)
	for range 2 {
		ticket, load, err := ask()
		if err != nil || ticket.Target.ID == first.Target.ID {
			t.Fatalf("ticket %+v, %v; want one for another target than %s, which leaves", ticket, err, first.Target.ID)
		}
		if len(load.Leaving) != 1 || load.Leaving[0] != process[first.Target.ID] {
			t.Errorf("leaving targets %v, want %s", load.Leaving, first.Target.ID)
		}
	}
}

// Guards against a request that waits for a slot at a dispatcher whose process stops,
// and that is not passed on to the next dispatcher before its deadline. A slot that
// was granted before stays with the request that holds it.
func TestDispatcherStopsWhileARequestWaits(t *testing.T) {
	s := newTestSetup(t)
	held := s.mustAcquire()
	s.mustAcquire()
	result := make(chan error, 1)
	go func() {
		_, err := s.acquire(t.Context(), pool, 20*time.Second)
		result <- err
	}()
	for s.dispatcher.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	s.stop()
	select {
	case err := <-result:
		if !errors.Is(err, ErrNoReply) {
			t.Errorf("the waiting request got %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the waiting request is not passed on")
	}
	held.Done(dispatch.Outcome{Result: dispatch.OK, Latency: time.Millisecond})
}
