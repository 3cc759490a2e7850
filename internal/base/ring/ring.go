// Package ring provides the bounded ring that joins two goroutines. A full
// ring refuses new items, so that the sender decides what to shed.
package ring

import "context"

// Ring is a bounded first-in first-out buffer, safe for concurrent use.
type Ring[T any] struct{ ch chan T }

// New returns a ring for at most capacity items.
func New[T any](capacity int) *Ring[T] { return &Ring[T]{ch: make(chan T, capacity)} }

// Offer adds v and reports whether there was space for it.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		return false
	}
}

// Put adds v, waiting for space until ctx ends.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Take removes the oldest item, waiting for one until ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.ch:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, context.Cause(ctx)
	}
}

// C returns the receiving side for use in a select.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.ch) }
