package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

func infos(n, slots int) []TargetInfo {
	out := make([]TargetInfo, n)
	for i := range out {
		out[i] = TargetInfo{ID: fmt.Sprintf("t%02d", i), Slots: slots, ReportedLoad: -1}
	}
	return out
}

// Guards against slots that are leaked or granted twice when callers cancel
// while their request is being started.
func TestDispatcherCancelRace(t *testing.T) {
	d := NewDispatcher(Settings{QueueLimit: 64}, time.Now)
	d.SetTargets(infos(3, 2))
	var inFlight [3]atomic.Int32
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			for i := range 200 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration((w*i)%300)*time.Microsecond)
				ticket, err := d.Acquire(ctx, Work{Class: document.Short, Route: "r"})
				if err == nil {
					n := &inFlight[ticket.Target.ID[2]-'0']
					if n.Add(1) > 2 {
						t.Error("slots exceeded")
					}
					time.Sleep(50 * time.Microsecond)
					n.Add(-1)
					ticket.Done(Outcome{})
					ticket.Done(Outcome{})
				}
				cancel()
			}
		})
	}
	wg.Wait()
	if l := d.Load(); l.InFlight != 0 || l.Queued != 0 {
		t.Errorf("load after the end: %+v", l)
	}
	for _, tg := range d.scheduler.(*Group).targets {
		if tg.inFlight() != 0 || tg.slots(&d.scheduler.(*Group).settings) != 2 {
			t.Errorf("target %s has %d in flight after the end", tg.info.ID, tg.inFlight())
		}
		if tg.health.demoted {
			t.Logf("target %s is demoted", tg.info.ID)
		}
	}
}

// Guards against refusals of the wrong kind or without RetryAfter.
func TestRefusalKinds(t *testing.T) {
	d := NewDispatcher(Settings{QueueLimit: 1}, time.Now)
	_, err := d.Acquire(context.Background(), Work{})
	wantKind(t, err, errkind.NoTarget)
	d.SetTargets(infos(1, 1))
	_, err = d.Acquire(context.Background(), Work{Deadline: time.Now().Add(-time.Second)})
	wantKind(t, err, errkind.DeadlineUnmeetable)
	held, err := d.Acquire(context.Background(), Work{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := d.Acquire(ctx, Work{})
		done <- err
	}()
	for d.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = d.Acquire(context.Background(), Work{})
	wantKind(t, err, errkind.QueueFull)
	cancel()
	wantKind(t, <-done, errkind.Cancelled)
	d.Stop()
	_, err = d.Acquire(context.Background(), Work{})
	wantKind(t, err, errkind.Stopping)
	held.Done(Outcome{})
	if l := d.Load(); !l.Draining || l.InFlight != 0 {
		t.Fatalf("load after Stop: %+v", l)
	}
}

func wantKind(t *testing.T, err error, k errkind.Kind) {
	t.Helper()
	after, ok := RetryAfter(err)
	if errkind.Of(err) != k || !ok || after <= 0 {
		t.Fatalf("error %v has kind %s and RetryAfter %v, want %s", err, errkind.Of(err), after, k)
	}
}

func BenchmarkAcquireDone(b *testing.B) {
	d := NewDispatcher(Settings{QueueLimit: 256}, time.Now)
	d.SetTargets(infos(12, 7))
	w := Work{Class: document.Short, Route: "r"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ticket, err := d.Acquire(context.Background(), w)
			if err != nil {
				b.Error(err)
				return
			}
			ticket.Done(Outcome{Latency: time.Millisecond})
		}
	})
}
