// Package ring provides a bounded queue between goroutines. A full queue rejects
// new items, so that the sender decides what to shed.
package ring

import "context"

// Ring is a bounded first-in first-out queue. It is safe for concurrent use.
type Ring[T any] struct{ ch chan T }

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] { return &Ring[T]{ch: make(chan T, capacity)} }

// Offer adds v if there is space, without waiting, and reports whether it did.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		return false
	}
}

// Put adds v. It waits for space until ctx ends and then returns the cause of ctx.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Take removes and returns the oldest item. It waits for one until ctx ends and
// then returns the cause of ctx.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.ch:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, context.Cause(ctx)
	}
}

// C returns the channel of the items, for use in a select statement.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.ch) }
