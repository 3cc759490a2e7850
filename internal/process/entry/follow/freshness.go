package follow

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/process/shared/feed"
)

const (
	// counterTimeout is how long the counter of a source may stand still before
	// the follower looks for another source.
	counterTimeout = feed.StallTimeout
	// freshnessWindow is how long the version in force counts as confirmed after an
	// advance of the counter.
	freshnessWindow = 1500 * time.Millisecond
	// requiredAdvances is how many times the counter must advance on one watch
	// before a started process acts on a version. A single advance may have been
	// in transit to the source when the source was cut off.
	requiredAdvances = 2
	// contentStallTimeout is how long a watch may go without another page or confirmed
	// content before its source counts as stalled. The counter alone does not keep a
	// source that delivers no content, or a relay whose own content stays behind.
	contentStallTimeout = 3 * time.Second
)

// freshness tracks the counters that a follower receives on all its watches and
// decides which of them are advances.
//
// Only a counter that advances while the follower watches proves that its source
// is connected to a quorum. The first counter of a watch proves nothing: a replica
// that was cut off unnoticed also sends one, and it may be higher than the counter
// of another cut-off replica tried before.
type freshness struct {
	highest     uint64    // highest counter received on any watch
	lastAdvance uint64    // highest counter that was an advance
	advancedAt  time.Time // when lastAdvance was received
	pending     uint64    // highest counter that rose on a watch whose content was behind
	pendingAt   time.Time // when pending was received
}

// watchProgress is the progress of the counter on one watch.
type watchProgress struct {
	lastCounter uint64 // latest counter; 0 before the first
	advances    int
	// caughtUp is set once the counter has risen on this watch to the highest one
	// known. If another watch receives each counter slightly earlier, a healthy
	// source never produces an advance but does catch up.
	caughtUp     bool
	lastProgress time.Time // when the watch was opened, or the counter last rose to the highest one known
	contentAt    time.Time // when the watch was opened, or last delivered a page or confirmed content
	pages        int       // pages added
}

// observe records a counter received on a watch and reports whether it is an
// advance. A counter of 0 is unconfirmed and is ignored.
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

// observePending records a counter received on a watch whose content is behind it. It
// shows that the source is connected to a quorum, so the watch is kept, but confirms
// no content.
func (f *freshness) observePending(progress *watchProgress, counter uint64, now time.Time) {
	if counter == 0 {
		return
	}
	rose := progress.lastCounter > 0 && counter > progress.lastCounter && counter > f.highest
	progress.lastCounter = max(progress.lastCounter, counter)
	if rose && now.Sub(progress.contentAt) < contentStallTimeout {
		progress.lastProgress = now
		f.pending, f.pendingAt = max(f.pending, counter), now
	}
}

// pendingCounter returns the counter that a source has reached while the content is
// behind, or 0 if the content is not behind.
func (f *freshness) pendingCounter(now time.Time) uint64 {
	if f.pending <= f.lastAdvance || now.Sub(f.pendingAt) >= counterTimeout {
		return 0
	}
	return f.pending
}

// isFresh reports whether the counter advanced within freshnessWindow.
func (f *freshness) isFresh(now time.Time) bool {
	return f.lastAdvance > 0 && now.Sub(f.advancedAt) < freshnessWindow
}

// stalled reports whether the counter has not advanced within counterTimeout,
// whether or not the content is behind it.
func (f *freshness) stalled(now time.Time) bool {
	return f.pendingCounter(now) == 0 && (f.lastAdvance == 0 || now.Sub(f.advancedAt) >= counterTimeout)
}

// confirmsVersion reports whether the counter has advanced often enough on this
// watch that a process that has not acted on any version yet may do so.
func (w *watchProgress) confirmsVersion() bool { return w.advances >= requiredAdvances }
