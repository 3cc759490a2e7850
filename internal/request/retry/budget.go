// Package retry holds the budgets and rules for retries and hedges. The rules
// are pure: they get the clock and the random number as arguments.
package retry

import (
	"sync"
	"time"
)

// The bounds of a budget.
const (
	// minPerSecond lets a service with few requests retry at all.
	minPerSecond = 1.0
	// burst is how many extra requests may follow each other at once.
	burst = 10.0
)

// Budget bounds extra requests to a percentage of ordinary ones. It is a
// token bucket, safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	percent float64
	tokens  float64
	last    time.Time
}

// NewBudget returns a budget of percent of the requests, with a small minimum
// rate. A budget of 0 percent allows nothing.
func NewBudget(percent int, now time.Time) *Budget {
	return &Budget{percent: float64(percent), tokens: minPerSecond, last: now}
}

// SetPercent changes the percentage.
func (b *Budget) SetPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent = float64(percent)
}

// Request counts an ordinary request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burst, b.tokens+b.percent/100)
}

// Take spends one extra request if the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.percent <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the minimum rate, which only restores the first token.
func (b *Budget) refill(now time.Time) {
	passed := now.Sub(b.last).Seconds()
	if passed <= 0 {
		return
	}
	b.last = now
	if b.tokens < 1 {
		b.tokens = min(1, b.tokens+passed*minPerSecond)
	}
}
