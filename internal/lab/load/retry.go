package load

import (
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Retry rules of a polite client.
const (
	retryShare    = 0.1 // retries per call, over a run
	retryBurst    = 10  // retries saved up for short disturbances
	defaultPause  = 50 * time.Millisecond
	longestPause  = 5 * time.Second
	failoverPause = 20 * time.Millisecond // lets a takeover start before the same list is tried again
)

// verdict says what a client does after an attempt.
type verdict struct {
	again    bool
	pause    time.Duration
	failover bool // choose the next entry of the look-up
	free     bool // does not count against the retry budget
}

// movedKinds are refusals that say the entry, not the service, cannot serve.
var movedKinds = map[string]bool{
	string(errkind.Stopping):      true,
	string(errkind.NotReady):      true,
	string(errkind.NotDispatcher): true,
	string(errkind.HopLimit):      true,
}

// judgeRetry decides on another attempt after out. Only what did not run is
// sent again; an at-most-once call whose outcome is unknown is sent again
// with its key, to learn the outcome; a GET that lost its connection may run
// again.
func judgeRetry(r *Route, out outcome) verdict {
	rec := out.rec
	switch {
	case rec.Kind == "" || rec.Kind == kindWrongAnswer:
		return verdict{}
	case rec.Kind == kindConnectFailed || rec.Kind == kindNoEntry:
		return verdict{again: true, failover: true, pause: failoverPause, free: true}
	case movedKinds[rec.Kind]:
		return verdict{again: true, failover: true, pause: failoverPause}
	case rec.Kind == kindConnectionLost:
		return verdict{again: r.Once || r.Method == "GET", failover: true, pause: failoverPause}
	case rec.DidRun == string(errkind.No) && retriable(rec.Kind):
		return verdict{again: true, pause: pauseOf(out.retryAfter)}
	}
	return verdict{}
}

// retriable reports whether a refusal may succeed later.
func retriable(kind string) bool { return errkind.Kind(kind).Response().Retry }

func pauseOf(retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 {
		return defaultPause
	}
	return min(retryAfter, longestPause)
}

// budget bounds retries to a share of the calls.
type budget struct {
	mu   sync.Mutex
	left float64
}

func newBudget() *budget { return &budget{left: retryBurst} }

// call adds what one call contributes.
func (b *budget) call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+retryShare, retryBurst)
}

// take reports whether a retry is allowed.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
