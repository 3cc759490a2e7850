// Package steady provides the clock for leases, promises and freshness. It counts
// the time during which the machine is suspended. The monotonic clock of package
// time stops then, so a lease that expired during a suspension would look valid.
// Steps of the time of day do not affect this clock.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock converts the readings of a counter of elapsed time to times.
type clock struct {
	read  func() time.Duration
	base  time.Time
	start time.Duration
}

func newClock(read func() time.Duration) *clock {
	return &clock{read: read, base: time.Now(), start: read()}
}

func (c *clock) now() time.Time { return c.base.Add(c.read() - c.start) }

var processClock = newClock(sinceBoot)

// sinceBoot returns the time since boot according to CLOCK_BOOTTIME, which
// includes suspensions.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error()) // every supported kernel has it
	}
	return time.Duration(ts.Nano())
}

// Now returns the current time. It may be compared only with other times of this
// package, not with times of package time, timers or contexts.
func Now() time.Time { return processClock.now() }

// Since returns the time elapsed since t, which must come from this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }
