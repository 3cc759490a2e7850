package retry

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// The bounds of the back-off between two attempts.
const (
	initialBackoff = 2 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
)

// FailedRequest describes a request whose last attempt failed.
type FailedRequest struct {
	Kind            errkind.Kind  // error kind of the last attempt
	AtMostOnce      bool          // the request must run at most once
	Safe            bool          // the request may run more than once
	Attempts        int           // attempts made so far, at least 1
	MaxAttempts     int           // attempts allowed in total
	Remaining       time.Duration // time left until the deadline
	ExpectedLatency time.Duration // expected duration of another attempt, 0 if unknown
	BodyConsumed    bool          // the body has been read and is no longer available
	TargetCrashes   int           // processes of targets that crashed under such requests
}

// Decision states whether to retry a request, and after which back-off. Reason
// is written to the log.
type Decision struct {
	Retry   bool
	Backoff time.Duration
	Reason  string
}

// notRetryable holds the kinds that prove that the request did not run, but
// that another attempt would meet again.
var notRetryable = map[errkind.Kind]bool{
	errkind.ShiftCapReached:    true,
	errkind.HopLimit:           true,
	errkind.LinkBudgetSpent:    true,
	errkind.DeadlineUnmeetable: true,
	errkind.RequestQuarantined: true,
}

// maxCrashesToRetry is the number of crashes under a request up to which it is sent
// again. Of the requests in flight at one crash, most did not cause it. One that was
// there twice may have caused both, and its caller can try again.
const maxCrashesToRetry = 1

// RetryableNotRun reports whether kind proves that the request did not run and
// that another attempt may succeed.
func RetryableNotRun(kind errkind.Kind) bool {
	a := kind.Response()
	return a.DidRun == errkind.No && a.Retry && !notRetryable[kind]
}

// failedAtTarget reports whether kind means that a target may have run the
// request but gave no usable answer.
func failedAtTarget(kind errkind.Kind) bool {
	return kind == errkind.TargetFailed || kind == errkind.AnswerBroken || kind == errkind.AnswerMismatch
}

// sentToTarget reports whether kind means that a target received the request
// and refused it without running it.
func sentToTarget(kind errkind.Kind) bool { return kind == errkind.TargetShed }

// Decide decides whether the request is retried. It takes from the budget only
// if every other rule allows the retry. random is a random number in [0, 1).
func Decide(r FailedRequest, b *Budget, now time.Time, random float64) Decision {
	backoff := Backoff(r.Attempts, random)
	switch {
	case !RetryableNotRun(r.Kind) && !(r.Safe && failedAtTarget(r.Kind)):
		return Decision{Reason: "not proved as not run"}
	case r.TargetCrashes > maxCrashesToRetry:
		return Decision{Reason: "several targets crashed under such requests"}
	case r.AtMostOnce && sentToTarget(r.Kind):
		return Decision{Reason: "an at-most-once request is sent to one target only"}
	case r.BodyConsumed:
		return Decision{Reason: "the body is no longer available"}
	case r.Attempts >= r.MaxAttempts:
		return Decision{Reason: "no attempts left"}
	case backoff+r.ExpectedLatency >= r.Remaining:
		return Decision{Reason: "not enough time left before the deadline"}
	case !b.TryTake(now):
		return Decision{Reason: "retry budget exhausted"}
	}
	if !RetryableNotRun(r.Kind) {
		return Decision{Retry: true, Backoff: backoff, Reason: "the request may run more than once, within the retry budget"}
	}
	return Decision{Retry: true, Backoff: backoff, Reason: "the request did not run, within the retry budget"}
}

// Backoff returns the back-off after the given number of attempts. Its upper
// bound doubles with each attempt, up to maxBackoff. The back-off is random
// between half of the bound and the whole of it, so that retries of requests
// that failed together do not arrive together. random is in [0, 1).
func Backoff(attempts int, random float64) time.Duration {
	w := initialBackoff
	for i := 1; i < attempts && w < maxBackoff; i++ {
		w *= 2
	}
	w = min(w, maxBackoff)
	return w/2 + time.Duration(random*float64(w/2))
}
