package follow

import "time"

const (
	// abandonAfter is how long a source may go without advancing the
	// counter. Sources push every 500 ms, so two pushes in a row were lost.
	counterTimeout = 1200 * time.Millisecond
	// confirmedFor is how long an advance of the counter counts as fresh.
	freshnessWindow = 1500 * time.Millisecond
	// confirmingAdvances is how often the counter must advance on one watch
	// before a started process acts on a version. One advance may have been
	// under way to the source when it was cut off.
	requiredAdvances = 2
)

// freshness judges the counters that a follower receives.
//
// A counter proves that its source is connected to a quorum only by
// advancing while the follower watches. The first counter of a watch proves
// nothing: a silently cut-off replica also has one, and it may be higher than
// that of the cut-off replica tried before.
type freshness struct {
	highest     uint64    // highest counter received on any watch
	lastAdvance uint64    // highest counter that was an advance
	advancedAt  time.Time // when it was received
}

// watchCounters is the progress of one watch.
type watchProgress struct {
	lastCounter uint64 // latest counter; 0 before the first
	advances    int
	// level is set once the counter rose on this watch to the highest one
	// known. Beside a watch that hears each counter a little earlier, a good
	// source never advances but is level.
	caughtUp     bool
	lastProgress time.Time // opening of the watch, or when the counter last rose so
}

// observe takes a counter received on watch w and reports whether it is an
// advance. A counter of 0 is not confirmed and says nothing.
func (f *freshness) observe(progress *watchProgress, counter uint64, now time.Time) bool {
	if counter == 0 {
		return false
	}
	rose := progress.lastCounter > 0 && counter > progress.lastCounter && counter >= f.highest
	advance := rose && counter > f.highest
	progress.lastCounter = max(progress.lastCounter, counter)
	f.highest = max(f.highest, counter)
	if rose {
		progress.caughtUp, progress.lastProgress = true, now
	}
	if advance {
		progress.advances++
		f.lastAdvance, f.advancedAt = counter, now
	}
	return advance
}

// fresh reports whether the counter advanced recently.
func (f *freshness) isFresh(now time.Time) bool {
	return f.lastAdvance > 0 && now.Sub(f.advancedAt) < freshnessWindow
}

// confirming reports whether the watch confirms its version for a process
// that has not acted on any version yet.
func (progress *watchProgress) confirmsVersion() bool { return progress.advances >= requiredAdvances }
