package group

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// Guards against requests that are held for a dispatcher whose replies come too late for
// them, and whose questions fill the links further. A dispatcher that was late must be
// asked again soon, and other pools and requests with more time are not concerned.
func TestRequestsForALateDispatcherAreRefusedAtOnce(t *testing.T) {
	now := time.Now()
	g := &Guarded{Now: func() time.Time { return now }, replyTimes: map[string]replyTime{}}
	const late, other = "e1", "e2"
	work := func(objective time.Duration) dispatch.Work { return dispatch.Work{Objective: now.Add(objective)} }
	if err := g.refuseLate(late, work(time.Millisecond)); err != nil {
		t.Errorf("without a reply: %v", err)
	}
	for range 10 {
		g.recordReplyTime(late, 400*time.Millisecond)
	}
	err := g.refuseLate(late, work(600*time.Millisecond))
	if errkind.Of(err) != errkind.QueueFull || !dispatch.IsOverloaded(err) {
		t.Errorf("replies after 400 ms, objective in 600 ms: %v", err)
	}
	if after, ok := dispatch.RetryAfter(err); !ok || after <= 0 || after > time.Second {
		t.Errorf("the refusal says to come again after %v", after)
	}
	for name, err := range map[string]error{
		"more time":    g.refuseLate(late, work(time.Second)),
		"other entry":  g.refuseLate(other, work(600*time.Millisecond)),
		"any slot":     g.refuseLate(late, dispatch.Work{Objective: now.Add(600 * time.Millisecond), AnySlot: true}),
		"no objective": g.refuseLate(late, dispatch.Work{}),
		"late already": g.refuseLate(late, work(-time.Millisecond)),
	} {
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	g.recordReplyTime(late, time.Hour)
	now = now.Add(2 * replyTimeHalfLife)
	if err := g.refuseLate(late, work(600*time.Millisecond)); err != nil {
		t.Errorf("the dispatcher is not asked again: %v", err)
	}
	for range 10 {
		g.recordReplyTime(late, 5*time.Millisecond)
	}
	if err := g.refuseLate(late, work(50*time.Millisecond)); err != nil {
		t.Errorf("replies after 5 ms, objective in 50 ms: %v", err)
	}
}
