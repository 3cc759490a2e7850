package dispatch

import (
	"context"
	"testing"
	"time"
)

// Guards against refusals right after a takeover, when the new dispatcher knows
// its healthy targets but has not yet received their slots.
func TestAcquireWaitsForSlots(t *testing.T) {
	d := NewDispatcher(Settings{Service: "rota", Slots: 3}, time.Now)
	defer d.Stop()
	d.SetTargets([]TargetInfo{{ID: "t1", State: Active, ReportedLoad: -1}})
	time.AfterFunc(50*time.Millisecond, func() {
		d.SetTargets([]TargetInfo{{ID: "t1", State: Active, Slots: 3, ReportedLoad: -1}})
	})
	ticket, err := d.Acquire(context.Background(), Work{Route: "/", Deadline: time.Now().Add(5 * time.Second)})
	if err != nil {
		t.Fatalf("request refused before the slots arrived: %v", err)
	}
	ticket.Done(Outcome{})
}
