// Package retry holds the budgets and rules for retries and hedges. The rules
// are pure: they get the clock and the random number as arguments.
package retry

import (
	"sync"
	"time"
)

// Policy bounds extra requests in every span of time of length Window.
type Policy struct {
	Percent float64       // of the ordinary requests of the span
	Slack   float64       // requests that are allowed on top of that
	Window  time.Duration // DefaultWindow if 0
}

// The bounds that hold where the document or the settings state no others.
const (
	DefaultWindow = 10 * time.Second
	// DefaultSlack lets a service with few requests retry at all.
	DefaultSlack = 10
)

// steps of a window are counted one by one: a span that does not begin with a
// step is bounded by the steps that it touches.
const steps = 20

// Budget bounds extra requests, such as retries, by the ordinary ones. It is
// safe for concurrent use.
//
// Invariant: in every span of Window, the extra requests are at most Slack plus
// Percent of the ordinary requests of that span and the step before it.
type Budget struct {
	mu       sync.Mutex
	policy   Policy
	began    time.Time // of the present step
	at       int       // its position
	ordinary [steps + 1]int
	extra    [steps + 1]int
}

// NewBudget returns an unused budget.
func NewBudget(p Policy, now time.Time) *Budget {
	b := &Budget{began: now}
	b.Set(p)
	return b
}

// Set replaces the policy. What was counted stays counted.
func (b *Budget) Set(p Policy) {
	if p.Window <= 0 {
		p.Window = DefaultWindow
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy = p
}

// Request counts an ordinary request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.ordinary[b.at]++
}

// Take spends one extra request if the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.policy.Percent <= 0 {
		return false
	}
	if float64(sum(b.extra[:])+1) > b.policy.Slack+b.policy.Percent/100*float64(sum(b.ordinary[:])) {
		return false
	}
	b.extra[b.at]++
	return true
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// advance moves to the step of now. A clock that goes back stays in the
// present step.
func (b *Budget) advance(now time.Time) {
	step := b.policy.Window / steps
	passed := int(now.Sub(b.began) / step)
	if passed <= 0 {
		return
	}
	for range min(passed, len(b.extra)) {
		b.at = (b.at + 1) % len(b.extra)
		b.ordinary[b.at], b.extra[b.at] = 0, 0
	}
	b.began = b.began.Add(time.Duration(passed) * step)
}
