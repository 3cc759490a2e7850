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

// world is a dispatcher with one target of two slots behind a server, and a
// client of it.
type world struct {
	*testing.T
	d      *dispatch.Dispatcher
	client *Client
	addr   string
	stop   func()
}

func newWorld(t *testing.T) *world {
	t.Helper()
	d := dispatch.NewPoolDispatcher(dispatch.Settings{Service: pool.Service}, time.Now)
	d.SetTargets([]dispatch.TargetInfo{{ID: "t1", Addr: "127.0.0.1:1", Slots: 2}})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	fescuepb.RegisterSlotsServer(g, &Server{Now: time.Now, Dispatcher: func(p Pool) *dispatch.Dispatcher {
		if p != pool {
			return nil
		}
		return d
	}})
	go func() { _ = g.Serve(lis) }()
	c := &Client{Log: logging.Discard(), Dial: func(addr string) (*grpc.ClientConn, error) {
		return grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	}}
	t.Cleanup(func() { c.Close(); g.Stop() })
	return &world{T: t, d: d, client: c, addr: lis.Addr().String(), stop: g.Stop}
}

// acquire asks for a slot of a request that is due within a time.
func (w *world) acquire(ctx context.Context, p Pool, due time.Duration) (*dispatch.Ticket, error) {
	now := time.Now()
	work := dispatch.Work{Route: "r", Safe: true, Objective: now.Add(due), Deadline: now.Add(due)}
	t, _, err := w.client.Acquire(ctx, w.addr, p, work, now)
	return t, err
}

func (w *world) mustAcquire() *dispatch.Ticket {
	w.Helper()
	t, err := w.acquire(w.Context(), pool, time.Second)
	if err != nil {
		w.Fatal(err)
	}
	return t
}

// inFlight waits until the dispatcher has n requests in flight.
func (w *world) inFlight(n int) {
	w.Helper()
	for until := time.Now().Add(3 * time.Second); w.d.Load().InFlight != n; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			w.Fatalf("%d in flight, want %d", w.d.Load().InFlight, n)
		}
	}
}

// Guards against slots that are given out beyond the dispatcher's, and against
// one that is not given back.
func TestAskAndGiveBack(t *testing.T) {
	w := newWorld(t)
	first := w.mustAcquire()
	w.mustAcquire()
	if first.Target.ID != "t1" || first.Target.Addr != "127.0.0.1:1" {
		t.Errorf("target %+v", first.Target)
	}
	if _, err := w.acquire(t.Context(), pool, 30*time.Millisecond); errkind.Of(err).Response().DidRun != errkind.No {
		t.Errorf("third request of two slots: %v", err)
	}
	first.Done(dispatch.Outcome{Result: dispatch.OK, Latency: time.Millisecond})
	w.inFlight(1)
	w.mustAcquire()
}

// Guards against a slot that stays taken by a request whose caller left while it
// waited.
func TestWithdrawnAsk(t *testing.T) {
	w := newWorld(t)
	first, _ := w.mustAcquire(), w.mustAcquire()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := w.acquire(ctx, pool, 5*time.Second); errkind.Of(err) != errkind.Cancelled {
		t.Errorf("withdrawn request: %v", err)
	}
	first.Done(dispatch.Outcome{Result: dispatch.OK, Latency: time.Millisecond})
	w.inFlight(1)
}

// Guards against slots that stay taken by an entry that is gone.
func TestLostStreamGivesSlotsBack(t *testing.T) {
	w := newWorld(t)
	w.mustAcquire()
	w.mustAcquire()
	w.client.Close()
	w.inFlight(0)
}

// Guards against a request that waits for a dispatcher which is gone, or which
// does not dispatch the pool.
func TestSilentDispatcher(t *testing.T) {
	w := newWorld(t)
	if _, err := w.acquire(t.Context(), Pool{Service: "other"}, time.Second); errkind.Of(err) != errkind.NotDispatcher {
		t.Errorf("unknown pool: %v", err)
	}
	w.mustAcquire()
	w.stop()
	began := time.Now()
	if _, err := w.acquire(t.Context(), pool, 100*time.Millisecond); !errors.Is(err, ErrSilent) {
		t.Errorf("stopped dispatcher: %v", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("noticed after %v", took)
	}
}
