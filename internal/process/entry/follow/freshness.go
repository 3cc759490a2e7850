package follow

import "time"

const (
	// abandonAfter is how long a source may go without advancing the
	// counter. Sources push every 500 ms, so two pushes in a row were lost.
	abandonAfter = 1200 * time.Millisecond
	// confirmedFor is how long an advance of the counter counts as fresh.
	confirmedFor = 1500 * time.Millisecond
	// confirmingAdvances is how often the counter must advance on one watch
	// before a started process acts on a version. One advance may have been
	// under way to the source when it was cut off.
	confirmingAdvances = 2
)

// freshness judges the counters that a follower receives.
//
// A counter proves that its source is connected to a quorum only by
// advancing while the follower watches. The first counter of a watch proves
// nothing: a silently cut-off replica also has one, and it may be higher than
// that of the cut-off replica tried before.
type freshness struct {
	highest  uint64    // highest counter received on any watch
	advanced uint64    // highest counter that was an advance
	at       time.Time // when it was received
}

// watchCounters is the progress of one watch.
type watchCounters struct {
	last     uint64 // latest counter; 0 before the first
	advances int
	// level is set once the counter rose on this watch to the highest one
	// known. Beside a watch that hears each counter a little earlier, a good
	// source never advances but is level.
	level    bool
	progress time.Time // opening of the watch, or when the counter last rose so
}

// observe takes a counter received on watch w and reports whether it is an
// advance. A counter of 0 is not confirmed and says nothing.
func (f *freshness) observe(w *watchCounters, counter uint64, now time.Time) bool {
	if counter == 0 {
		return false
	}
	rose := w.last > 0 && counter > w.last && counter >= f.highest
	advance := rose && counter > f.highest
	w.last = max(w.last, counter)
	f.highest = max(f.highest, counter)
	if rose {
		w.level, w.progress = true, now
	}
	if advance {
		w.advances++
		f.advanced, f.at = counter, now
	}
	return advance
}

// fresh reports whether the counter advanced recently.
func (f *freshness) fresh(now time.Time) bool {
	return f.advanced > 0 && now.Sub(f.at) < confirmedFor
}

// confirming reports whether the watch confirms its version for a process
// that has not acted on any version yet.
func (w *watchCounters) confirming() bool { return w.advances >= confirmingAdvances }
