package steady

import (
	"testing"
	"time"
)

// Guards against a clock that stops while the machine is suspended.
func TestClockCountsSuspension(t *testing.T) {
	var boot time.Duration
	c := newClock(func() time.Duration { return boot })
	before := c.now()
	boot += 5 * time.Second // a suspension, which the monotonic clock does not count
	if got := c.now().Sub(before); got != 5*time.Second {
		t.Errorf("%v passed, want 5s", got)
	}
}

// Guards against a clock that differs from the monotonic clock while the machine
// is not suspended.
func TestClockMatchesMonotonicClock(t *testing.T) {
	before, steadyBefore := time.Now(), Now()
	time.Sleep(30 * time.Millisecond)
	passed, steadyPassed := time.Since(before), Since(steadyBefore)
	if d := (passed - steadyPassed).Abs(); d > 10*time.Millisecond {
		t.Errorf("%v and %v passed", passed, steadyPassed)
	}
}
