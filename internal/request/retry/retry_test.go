package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Guards against retries of requests that may have run, against retries beyond
// the number of attempts, the deadline or the budget, against at-most-once
// requests that are sent to a second target, and against requests that crash one
// target after another.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	ok := FailedRequest{Kind: errkind.TargetShed, Attempts: 1, MaxAttempts: 3, Remaining: time.Second}
	cases := []struct {
		name   string
		change func(*FailedRequest)
		want   bool
	}{
		{"shed", func(*FailedRequest) {}, true},
		{"unreachable", func(a *FailedRequest) { a.Kind = errkind.TargetUnreachable }, true},
		{"failed", func(a *FailedRequest) { a.Kind = errkind.TargetFailed }, false},
		{"broken answer", func(a *FailedRequest) { a.Kind = errkind.AnswerBroken }, false},
		{"outcome unknown", func(a *FailedRequest) { a.Kind = errkind.OutcomeUnknown }, false},
		{"no quorum", func(a *FailedRequest) { a.Kind = errkind.NoQuorum }, false},
		{"cancelled", func(a *FailedRequest) { a.Kind = errkind.Cancelled }, false},
		{"shift cap", func(a *FailedRequest) { a.Kind = errkind.ShiftCapReached }, false},
		{"at most once, shed", func(a *FailedRequest) { a.AtMostOnce = true }, false},
		{"at most once, nothing sent", func(a *FailedRequest) { a.AtMostOnce, a.Kind = true, errkind.TargetUnreachable }, true},
		{"one target crashed", func(a *FailedRequest) { a.Kind, a.Safe, a.TargetCrashes = errkind.TargetFailed, true, 1 }, true},
		{"two targets crashed", func(a *FailedRequest) { a.Kind, a.Safe, a.TargetCrashes = errkind.TargetFailed, true, 2 }, false},
		{"quarantined", func(a *FailedRequest) { a.Kind = errkind.RequestQuarantined }, false},
		{"body consumed", func(a *FailedRequest) { a.BodyConsumed = true }, false},
		{"last attempt", func(a *FailedRequest) { a.Attempts = 3 }, false},
		{"deadline", func(a *FailedRequest) { a.ExpectedLatency = time.Second }, false},
	}
	for _, c := range cases {
		a := ok
		c.change(&a)
		if d := Decide(a, NewBudget(Policy{Percent: 10, Slack: DefaultSlack}, now), now, 0.5); d.Retry != c.want {
			t.Errorf("%s: retry %v (%s), want %v", c.name, d.Retry, d.Reason, c.want)
		}
	}
	if d := Decide(ok, NewBudget(Policy{Slack: DefaultSlack}, now), now, 0.5); d.Retry {
		t.Error("retry although the policy allows no percentage of retries")
	}
}

// Guards against a wrong decision about requests that may have run: those of
// safe routes must be retried, and all others must not.
func TestDecideSafe(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, kind := range []errkind.Kind{errkind.TargetFailed, errkind.AnswerBroken, errkind.AnswerMismatch} {
		for _, safe := range []bool{true, false} {
			a := FailedRequest{Kind: kind, Safe: safe, Attempts: 1, MaxAttempts: 2, Remaining: time.Second}
			if d := Decide(a, NewBudget(Policy{Percent: 10, Slack: DefaultSlack}, now), now, 0.5); d.Retry != safe {
				t.Errorf("%s, safe %v: retry %v (%s)", kind, safe, d.Retry, d.Reason)
			}
		}
	}
}

// Guards against retries that exceed, in any period of the window's length, the
// percentage of the requests of that period plus the slack.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{
			Percent: float64(rapid.IntRange(0, 50).Draw(t, "percent")),
			Slack:   float64(rapid.IntRange(0, 10).Draw(t, "slack")), Window: time.Second,
		}
		now := time.Unix(1000, 0)
		b := NewBudget(p, now)
		var requests, taken []time.Time
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 400).Draw(t, "steps") {
			switch step {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "ms")) * time.Millisecond)
			case 1:
				b.CountRequest(now)
				requests = append(requests, now)
			default:
				if b.TryTake(now) {
					taken = append(taken, now)
				}
			}
		}
		within := func(list []time.Time, from, to time.Time) (n int) {
			for _, at := range list {
				if !at.Before(from) && !at.After(to) {
					n++
				}
			}
			return n
		}
		for _, end := range taken {
			from := end.Add(-p.Window)
			most := p.Slack + p.Percent/100*float64(within(requests, from.Add(-p.Window/windowSteps), end))
			if p.Percent == 0 {
				most = 0
			}
			if got := within(taken, from.Add(time.Nanosecond), end); float64(got) > most+1e-6 {
				t.Fatalf("%d retries in the window up to %v, at most %.1f allowed", got, end, most)
			}
		}
	})
}
