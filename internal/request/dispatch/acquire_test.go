package dispatch

import (
	"context"
	"testing"
	"time"
)

// Guards against refusals right after a takeover, when the new dispatcher
// has healthy targets but gets their slots a moment later.
func TestAcquireWaitsForSlots(t *testing.T) {
	d := NewDispatcher(Settings{Service: "rota", Slots: 3}, time.Now)
	defer d.Stop()
	d.SetTargets([]TargetInfo{{ID: "t1", State: Active, ReportedLoad: -1}})
	time.AfterFunc(50*time.Millisecond, func() {
		d.SetTargets([]TargetInfo{{ID: "t1", State: Active, Slots: 3, ReportedLoad: -1}})
	})
	ticket, err := d.Acquire(context.Background(), Work{Route: "/", Deadline: time.Now().Add(5 * time.Second)})
	if err != nil {
		t.Fatalf("refused while the slots were on their way: %v", err)
	}
	ticket.Done(Outcome{})
}
