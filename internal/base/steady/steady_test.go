package steady

import (
	"testing"
	"time"
)

// Guards against a clock that stands still while the machine is suspended.
func TestClockCountsSuspension(t *testing.T) {
	var boot time.Duration
	c := newClock(func() time.Duration { return boot })
	before := c.now()
	boot += 5 * time.Second // the monotonic clock shows nothing of it
	if got := c.now().Sub(before); got != 5*time.Second {
		t.Errorf("%v passed, want 5s", got)
	}
}

// Guards against a clock that runs apart from the monotonic one while the
// machine is awake.
func TestClockMatchesMonotonicClock(t *testing.T) {
	before, steadyBefore := time.Now(), Now()
	time.Sleep(30 * time.Millisecond)
	passed, steadyPassed := time.Since(before), Since(steadyBefore)
	if d := (passed - steadyPassed).Abs(); d > 10*time.Millisecond {
		t.Errorf("%v and %v passed", passed, steadyPassed)
	}
}
