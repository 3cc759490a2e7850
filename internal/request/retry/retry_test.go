package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Guards against retries of requests that may have run, beyond the attempts,
// the deadline or the budget, and against at-most-once requests sent twice.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	ok := Attempt{Kind: errkind.TargetShed, Tries: 1, MaxAttempts: 3, Remaining: time.Second}
	cases := []struct {
		name   string
		change func(*Attempt)
		want   bool
	}{
		{"shed", func(*Attempt) {}, true},
		{"unreachable", func(a *Attempt) { a.Kind = errkind.TargetUnreachable }, true},
		{"failed", func(a *Attempt) { a.Kind = errkind.TargetFailed }, false},
		{"broken", func(a *Attempt) { a.Kind = errkind.AnswerBroken }, false},
		{"outcome unknown", func(a *Attempt) { a.Kind = errkind.OutcomeUnknown }, false},
		{"no quorum", func(a *Attempt) { a.Kind = errkind.NoQuorum }, false},
		{"cancelled", func(a *Attempt) { a.Kind = errkind.Cancelled }, false},
		{"shift cap", func(a *Attempt) { a.Kind = errkind.ShiftCapReached }, false},
		{"once, shed", func(a *Attempt) { a.Once = true }, false},
		{"once, nothing sent", func(a *Attempt) { a.Once, a.Kind = true, errkind.TargetUnreachable }, true},
		{"body gone", func(a *Attempt) { a.BodyGone = true }, false},
		{"last attempt", func(a *Attempt) { a.Tries = 3 }, false},
		{"deadline", func(a *Attempt) { a.Expected = time.Second }, false},
	}
	for _, c := range cases {
		a := ok
		c.change(&a)
		if d := Decide(a, NewBudget(Policy{Percent: 10, Slack: DefaultSlack}, now), now, 0.5); d.Retry != c.want {
			t.Errorf("%s: retry %v (%s), want %v", c.name, d.Retry, d.Reason, c.want)
		}
	}
	if d := Decide(ok, NewBudget(Policy{Slack: DefaultSlack}, now), now, 0.5); d.Retry {
		t.Error("retry without a budget")
	}
}

// Guards against retries of safe work that may have run, and of other work that
// may have.
func TestDecideSafe(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, kind := range []errkind.Kind{errkind.TargetFailed, errkind.AnswerBroken, errkind.AnswerMismatch} {
		for _, safe := range []bool{true, false} {
			a := Attempt{Kind: kind, Safe: safe, Tries: 1, MaxAttempts: 2, Remaining: time.Second}
			if d := Decide(a, NewBudget(Policy{Percent: 10, Slack: DefaultSlack}, now), now, 0.5); d.Retry != safe {
				t.Errorf("%s, safe %v: retry %v (%s)", kind, safe, d.Retry, d.Reason)
			}
		}
	}
}

// Guards against retries that exceed, in any span of a window, the percentage of
// the requests of that span plus the slack.
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
				b.Request(now)
				requests = append(requests, now)
			default:
				if b.Take(now) {
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
			most := p.Slack + p.Percent/100*float64(within(requests, from.Add(-p.Window/steps), end))
			if p.Percent == 0 {
				most = 0
			}
			if got := within(taken, from.Add(time.Nanosecond), end); float64(got) > most+1e-6 {
				t.Fatalf("%d retries in the window up to %v, at most %.1f allowed", got, end, most)
			}
		}
	})
}
