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
		if d := Decide(a, NewBudget(10, now), now, 0.5); d.Retry != c.want {
			t.Errorf("%s: retry %v (%s), want %v", c.name, d.Retry, d.Reason, c.want)
		}
	}
	if d := Decide(ok, NewBudget(0, now), now, 0.5); d.Retry {
		t.Error("retry without a budget")
	}
}

// Guards against retries that exceed the percentage plus the minimum rate.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		percent := rapid.IntRange(0, 50).Draw(t, "percent")
		b := NewBudget(percent, now)
		requests, taken, start := 0, 0, now
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 300).Draw(t, "steps") {
			switch step {
			case 0:
				now = now.Add(50 * time.Millisecond)
			case 1:
				b.Request()
				requests++
			default:
				if b.Take(now) {
					taken++
				}
			}
			most := float64(percent*requests)/100 + now.Sub(start).Seconds()*minPerSecond + minPerSecond + 1e-6
			if percent == 0 {
				most = 0
			}
			if float64(taken) > most {
				t.Fatalf("%d retries for %d requests in %v, at most %.1f allowed", taken, requests, now.Sub(start), most)
			}
		}
	})
}
