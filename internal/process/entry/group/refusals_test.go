package group

import (
	"context"
	"testing"
	"time"

	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// Guards against a dispatcher whose pool is full and that is asked again for each
// request, so that it has no processor time left for others, and against requests that
// are refused without asking although they could be admitted.
func TestFullDispatcherIsNotAskedAgain(t *testing.T) {
	full := dispatch.Load{Queued: 5, ExpectedWait: 400 * time.Millisecond}
	tooLate := dispatch.NewRefusal(errkind.DeadlineUnmeetable, "the latency objective cannot be met", 400*time.Millisecond)
	soon := dispatch.NewRefusal(errkind.DeadlineUnmeetable, "the latency objective cannot be met", 20*time.Millisecond)
	const left = 300 * time.Millisecond // time that the refused request had to meet its objective
	for _, tc := range []struct {
		name    string
		load    dispatch.Load
		err     error
		anySlot bool // of the refused request
		after   time.Duration
		left    time.Duration // of the next request; 0: it has no objective
		ask     bool
	}{
		{"same request", full, tooLate, false, 0, left, false},
		{"less time left", full, tooLate, false, 50 * time.Millisecond, 100 * time.Millisecond, false},
		{"more time left", full, tooLate, false, 0, 2 * left, true},
		{"no objective", full, tooLate, false, 0, 0, true},
		{"later", full, tooLate, false, refusalTTL + time.Millisecond, 100 * time.Millisecond, true},
		{"a slot was about to become free", full, soon, false, 30 * time.Millisecond, 100 * time.Millisecond, true},
		{"slots were free", dispatch.Load{FreeSlots: 1}, tooLate, false, 0, left, true},
		{"admitted", full, nil, false, 0, left, true},
		{"another kind of request", full, tooLate, true, 0, left, true},
	} {
		now := time.Unix(1000, 0)
		g := guardedEntries(t)[0]
		g.Now = func() time.Time { return now }
		refused := dispatch.Work{Objective: now.Add(left), AnySlot: tc.anySlot}
		g.recordRefusal(slotlink.Pool{Service: "rota", Region: "north"}, refused, tc.load, tc.err)
		now = now.Add(tc.after)
		next := dispatch.Work{}
		if tc.left > 0 {
			next.Objective = now.Add(tc.left)
		}
		if err := g.refusedLately(slotlink.Pool{Service: "rota", Region: "north"}, next); (err == nil) != tc.ask {
			t.Errorf("%s: %v, want the dispatcher asked: %v", tc.name, err, tc.ask)
		}
	}
}

// Guards against a pool that looks free of load and of failed slots because a question
// to its dispatcher was given up before the reply.
func TestUnansweredQuestionTellsNothingOfTheLoad(t *testing.T) {
	pool := slotlink.Pool{Service: "rota", Region: "north"}
	for _, g := range guardedEntries(t) {
		if g.remoteDispatcher(pool) == nil {
			continue // this entry dispatches the pool itself
		}
		g.Client.Dial = func(string) (*grpc.ClientConn, error) {
			return grpc.NewClient("127.0.0.1:1", grpc.WithTransportCredentials(insecure.NewCredentials()))
		}
		t.Cleanup(g.Client.Close)
		reported := dispatch.Load{ExpectedWait: 300 * time.Millisecond, FailedPercent: 60}
		g.recordLoad(pool, reported)
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := poolSlots{g, pool}.Acquire(gone, workFor("", time.Second))
		if errkind.Of(err) != errkind.Cancelled {
			t.Fatalf("%s: %v, want the question to be given up", g.Instance, err)
		}
		if got, known := (poolSlots{g, pool}).knownLoad(loadTTL); !known || got.ExpectedWait != reported.ExpectedWait || got.FailedPercent != reported.FailedPercent {
			t.Errorf("%s: load %+v (known: %v) after a question without reply, want %+v", g.Instance, got, known, reported)
		}
	}
}
