// Package steady is the clock for leases, promises and freshness. It counts the
// time during which the machine was suspended, which the monotonic clock of
// package time leaves out: a lease that ended meanwhile would look valid. Steps
// of the time of day do not move it.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock turns readings of a clock into times.
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

// sinceBoot reads CLOCK_BOOTTIME.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error()) // every supported kernel has it
	}
	return time.Duration(ts.Nano())
}

// Now returns the present time. It compares with other times of this package
// only, and not with those of package time, of timers or of contexts.
func Now() time.Time { return processClock.now() }

// Since returns how much time has passed since t, a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }
