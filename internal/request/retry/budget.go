// Package retry decides whether a failed request is retried, and bounds retries
// and hedges by budgets. The functions are deterministic: they receive the
// current time and the random number as arguments.
package retry

import (
	"sync"
	"time"
)

// Policy bounds the extra requests, such as retries, in every period of length
// Window.
type Policy struct {
	Percent float64       // extra requests allowed per 100 ordinary ones
	Slack   float64       // extra requests allowed in addition to Percent
	Window  time.Duration // DefaultWindow if 0
}

// The bounds that apply where the steering document and the settings state none.
const (
	DefaultWindow = 10 * time.Second
	// DefaultSlack allows retries to services with so few requests that the
	// percentage alone would allow none.
	DefaultSlack = 10
)

// windowSteps is the number of equal steps into which a window is divided.
// Requests are counted per step. A period that begins within a step is bounded
// by the counts of all steps that it overlaps.
const windowSteps = 20

// Budget bounds extra requests, such as retries, by the number of ordinary
// requests in a sliding window. It is safe for concurrent use.
//
// Invariant: in every period of length Window, the extra requests are at most
// Slack plus Percent of the ordinary requests of that period and of the step
// before it.
type Budget struct {
	mu        sync.Mutex
	policy    Policy
	stepStart time.Time // start of the current step
	current   int       // index of the current step in ordinary and extra
	ordinary  [windowSteps + 1]int
	extra     [windowSteps + 1]int
}

// NewBudget returns a budget in which nothing has been counted yet.
func NewBudget(p Policy, now time.Time) *Budget {
	b := &Budget{stepStart: now}
	b.SetPolicy(p)
	return b
}

// SetPolicy replaces the policy and keeps the counts.
func (b *Budget) SetPolicy(p Policy) {
	if p.Window <= 0 {
		p.Window = DefaultWindow
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy = p
}

// CountRequest counts an ordinary request, which allows for later retries.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.ordinary[b.current]++
}

// TryTake counts one extra request and returns true if the policy allows it. A
// percentage of 0 allows none, whatever the slack.
func (b *Budget) TryTake(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.policy.Percent <= 0 {
		return false
	}
	if float64(sum(b.extra[:])+1) > b.policy.Slack+b.policy.Percent/100*float64(sum(b.ordinary[:])) {
		return false
	}
	b.extra[b.current]++
	return true
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// advance moves to the step that contains now and clears the counts of the
// steps that have left the window. If now lies before the current step, because
// the clock went backwards, the current step stays.
func (b *Budget) advance(now time.Time) {
	step := b.policy.Window / windowSteps
	passed := int(now.Sub(b.stepStart) / step)
	if passed <= 0 {
		return
	}
	for range min(passed, len(b.extra)) {
		b.current = (b.current + 1) % len(b.extra)
		b.ordinary[b.current], b.extra[b.current] = 0, 0
	}
	b.stepStart = b.stepStart.Add(time.Duration(passed) * step)
}
