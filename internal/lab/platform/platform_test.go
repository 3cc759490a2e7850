package platform

import (
	"testing"
	"time"
)

// Guards against a list that shows a change before its lag has passed, or
// that changes an older list in place.
func TestChangesBecomeVisibleAfterLag(t *testing.T) {
	p := New(Settings{Instances: []Instance{{ID: "a", Status: Live}, {ID: "b", Status: Live}}})
	p.lag = time.Second
	t0 := time.Now()
	if !p.apply(control{Leave: "a"}, t0) || !p.apply(control{Remove: "b"}, t0.Add(500*time.Millisecond)) {
		t.Fatal("apply failed")
	}
	if p.apply(control{Leave: "b"}, t0.Add(600*time.Millisecond)) {
		t.Fatal("a removed instance was marked leaving")
	}
	for _, tt := range []struct {
		after  time.Duration
		status string
		count  int
	}{{900 * time.Millisecond, Live, 2}, {1100 * time.Millisecond, Leaving, 2}, {1600 * time.Millisecond, Leaving, 1}} {
		list, _ := p.visible(t0.Add(tt.after))
		if len(list) != tt.count || list[0].Status != tt.status {
			t.Errorf("after %s: %+v, want %d instances and a %s", tt.after, list, tt.count, tt.status)
		}
	}
}
