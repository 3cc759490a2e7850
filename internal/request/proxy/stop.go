package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Stop is the progress of a planned stop of the entry. The zero value means that no
// stop is in progress.
type Stop struct {
	// Deadline is the time by which all requests must be answered.
	Deadline time.Time
	// Refusing is set when no further requests are accepted.
	Refusing bool
}

// admitDuringStop refuses a request that has arrived too late in a planned stop.
// An earlier one gets a deadline that lets it be answered before the process ends:
// a target must not work on a request whose answer can no longer be delivered.
func (h *Handler) admitDuringStop(c *call) error {
	if h.Stopping == nil {
		return nil
	}
	stop := h.Stopping()
	switch {
	case stop.Refusing:
		return errkind.New(errkind.Stopping, "instance %q is stopping and accepts no further requests", h.Instance)
	case !stop.Deadline.IsZero() && stop.Deadline.Before(c.deadline):
		c.deadline = stop.Deadline
	}
	return nil
}

// stoppedWaiting returns err, the result of a wait before a send, or an error of
// kind Stopping if the wait was ended because the process stops. The process can
// then state that the request did not run.
func (h *Handler) stoppedWaiting(ctx context.Context, err error) error {
	if !stopped(ctx) {
		return err
	}
	return errkind.New(errkind.Stopping, "instance %q stopped before the request was sent", h.Instance)
}

// untilStopped returns a context that ends at deadline or when the process stops,
// but not when the caller disconnects.
func untilStopped(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	unhook := context.AfterFunc(ctx, func() {
		if stopped(ctx) {
			cancel(caller.ErrShutdown)
		}
	})
	detached, cancelDeadline := context.WithDeadline(detached, deadline)
	return detached, func() {
		unhook()
		cancelDeadline()
		cancel(nil)
	}
}

// stopped reports whether ctx ended because the process stops.
func stopped(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), caller.ErrShutdown)
}
