package retry

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// The back-off between tries.
const (
	firstWait = 2 * time.Millisecond
	maxWait   = 100 * time.Millisecond
)

// Attempt describes a request whose last try failed.
type Attempt struct {
	Kind        errkind.Kind  // of the last try
	Once        bool          // must run at most once
	Safe        bool          // may run more than once
	Tries       int           // made so far, at least 1
	MaxAttempts int           // allowed in total
	Remaining   time.Duration // until the deadline
	Expected    time.Duration // running time of another try, 0 if unknown
	BodyGone    bool          // the body was read and is not kept
}

// Decision says whether to try again. Reason is for the decision log line.
type Decision struct {
	Retry  bool
	Wait   time.Duration
	Reason string
}

// pointless are kinds that prove that the request did not run but that
// another try would meet again.
var pointless = map[errkind.Kind]bool{
	errkind.ShiftCapReached:    true,
	errkind.HopLimit:           true,
	errkind.LinkBudgetSpent:    true,
	errkind.DeadlineUnmeetable: true,
}

// NotRun reports whether kind proves that the request did not run and another
// try may succeed.
func NotRun(kind errkind.Kind) bool {
	a := kind.Answer()
	return a.DidRun == errkind.No && a.Retry && !pointless[kind]
}

// failedAtTarget reports whether kind means that a target may have run the
// request but gave no usable answer.
func failedAtTarget(kind errkind.Kind) bool {
	return kind == errkind.TargetFailed || kind == errkind.AnswerBroken || kind == errkind.AnswerMismatch
}

// sentToTarget reports whether kind means that the target got the request.
func sentToTarget(kind errkind.Kind) bool { return kind == errkind.TargetShed }

// Decide says whether the attempt may be repeated. It takes a token of the
// budget only if everything else allows the retry. random is in [0, 1).
func Decide(a Attempt, b *Budget, now time.Time, random float64) Decision {
	wait := Wait(a.Tries, random)
	switch {
	case !NotRun(a.Kind) && !(a.Safe && failedAtTarget(a.Kind)):
		return Decision{Reason: "not proved as not run"}
	case a.Once && sentToTarget(a.Kind):
		return Decision{Reason: "an at-most-once request is not sent twice"}
	case a.BodyGone:
		return Decision{Reason: "the body cannot be sent again"}
	case a.Tries >= a.MaxAttempts:
		return Decision{Reason: "attempts used up"}
	case wait+a.Expected >= a.Remaining:
		return Decision{Reason: "deadline too close"}
	case !b.Take(now):
		return Decision{Reason: "retry budget used up"}
	}
	if !NotRun(a.Kind) {
		return Decision{Retry: true, Wait: wait, Reason: "may run again, within the budget"}
	}
	return Decision{Retry: true, Wait: wait, Reason: "not run, within the budget"}
}

// Wait returns the back-off after the given number of tries: doubled each
// time, with the upper half random so that retries do not come in step.
func Wait(tries int, random float64) time.Duration {
	w := firstWait
	for i := 1; i < tries && w < maxWait; i++ {
		w *= 2
	}
	w = min(w, maxWait)
	return w/2 + time.Duration(random*float64(w/2))
}
