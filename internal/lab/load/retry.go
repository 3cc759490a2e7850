package load

import (
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Limits of retries.
const (
	retryRatio        = 0.1 // retries that each call adds to the budget
	retryBurst        = 10  // capacity of the budget, for short disturbances
	defaultRetryPause = 50 * time.Millisecond
	maxRetryPause     = 5 * time.Second
	failoverPause     = 20 * time.Millisecond // lets a takeover begin before the same entries are tried again
)

// retryDecision states what the client does after an attempt.
type retryDecision struct {
	retry      bool
	pause      time.Duration
	failover   bool // use the next entry of the look-up
	unbudgeted bool // the retry takes nothing from the retry budget
}

// entryRefusalKinds are the error kinds by which an entry states that it
// cannot serve the request although another entry may.
var entryRefusalKinds = map[string]bool{
	string(errkind.Stopping):      true,
	string(errkind.NotReady):      true,
	string(errkind.NotDispatcher): true,
	string(errkind.HopLimit):      true,
}

// decideRetry decides whether another attempt follows out. A request that did
// not run is retried if its error may pass. After a lost connection the request
// may have run: an at-most-once call is sent again with its key to learn the
// outcome, a GET is sent again because it may run twice, and any other request
// is not retried.
func decideRetry(r *Route, out outcome) retryDecision {
	rec := out.rec
	switch {
	case rec.Kind == "" || rec.Kind == kindWrongAnswer:
		return retryDecision{}
	case rec.Kind == kindConnectFailed || rec.Kind == kindNoEntry:
		return retryDecision{retry: true, failover: true, pause: failoverPause, unbudgeted: true}
	case entryRefusalKinds[rec.Kind]:
		return retryDecision{retry: true, failover: true, pause: failoverPause}
	case rec.Kind == kindConnectionLost:
		return retryDecision{retry: r.AtMostOnce || r.Method == "GET", failover: true, pause: failoverPause}
	case rec.DidRun == string(errkind.No) && retriable(rec.Kind):
		return retryDecision{retry: true, pause: retryPause(out.retryAfter)}
	}
	return retryDecision{}
}

// retriable reports whether a request that was refused with this kind may
// succeed later.
func retriable(kind string) bool { return errkind.Kind(kind).Response().Retry }

func retryPause(retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 {
		return defaultRetryPause
	}
	return min(retryAfter, maxRetryPause)
}

// retryBudget is a token bucket that bounds retries to a fraction of the calls.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// deposit adds the contribution of one call.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// tryWithdraw takes one retry from the budget and reports whether there was one.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
