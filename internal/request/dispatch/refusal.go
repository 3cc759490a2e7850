package dispatch

import (
	"errors"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Refusal is the error of a request that was not dispatched and therefore did
// not run. errkind.Of returns its kind.
type Refusal struct {
	RetryAfter time.Duration // when a retry is likely to be admitted
	err        error
}

// NewRefusal returns a refusal that was received from another process.
func NewRefusal(kind errkind.Kind, message string, after time.Duration) *Refusal {
	return &Refusal{RetryAfter: max(after, minRetryAfter), err: errkind.New(kind, "%s", message)}
}

// RefusePausing returns the refusal of a request for which every target pauses.
// Its RetryAfter is the end of the first pause, however late.
func RefusePausing(pause time.Duration) *Refusal {
	return &Refusal{RetryAfter: max(pause, minRetryAfter), err: errPausing}
}

// RefuseOverloaded returns the refusal of a request whose dispatcher in another entry works
// but did not reply in time.
func RefuseOverloaded(after time.Duration) *Refusal {
	return &Refusal{RetryAfter: max(after, minRetryAfter), err: errOverloaded}
}

// Error returns the message of the refusal.
func (r *Refusal) Error() string { return r.err.Error() }

// Unwrap returns the error that carries the kind.
func (r *Refusal) Unwrap() error { return r.err }

// IsPausing reports whether err is the refusal of a request for which every target
// pauses.
func IsPausing(err error) bool { return errors.Is(err, errPausing) }

// IsOverloaded reports whether err is the refusal of a request whose dispatcher in another
// entry did not reply in time.
func IsOverloaded(err error) bool { return errors.Is(err, errOverloaded) }

// RetryAfter returns the retry delay of err, or false if err is no Refusal.
func RetryAfter(err error) (time.Duration, bool) {
	var r *Refusal
	if !errors.As(err, &r) {
		return 0, false
	}
	return r.RetryAfter, true
}

// The errors are created once, because errkind.New records a stack trace, which
// is too slow to do for each refusal of an overloaded group.
var (
	errQueueFull  = errkind.New(errkind.QueueFull, "the queue of the dispatch group is full")
	errUnmeetable = errkind.New(errkind.DeadlineUnmeetable, "the deadline cannot be met")
	errTooLate    = errkind.New(errkind.DeadlineUnmeetable, "the latency objective cannot be met")
	errNoTarget   = errkind.New(errkind.NoTarget, "no target of the dispatch group takes requests")
	errCancelled  = errkind.New(errkind.Cancelled, "the caller went away while the request was queued")
	errPausing    = errkind.New(errkind.NoTarget, "every target of the dispatch group wants no requests for a while")
	errOverloaded = errkind.New(errkind.QueueFull, "the dispatcher is overloaded")
	errStopping   = errkind.New(errkind.Stopping, "the dispatcher is stopping")
)

// Bounds of Refusal.RetryAfter.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

func refuse(err error, after time.Duration) *Refusal {
	return &Refusal{RetryAfter: min(max(after, minRetryAfter), maxRetryAfter), err: err}
}
