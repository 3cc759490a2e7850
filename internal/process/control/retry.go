package control

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

const (
	// callTimeout bounds a call; a write is rejected or delayed for at most
	// 3 s after the loss of a leader.
	callTimeout = 3 * time.Second
	// attemptTimeout bounds one attempt at the log. A leader that froze or was
	// cut off silently does not answer, and another one is elected within it.
	attemptTimeout = time.Second
	retryInterval  = 20 * time.Millisecond
)

// attempt calls f until it succeeds, fails for good, or callTimeout ends. f
// must be idempotent: the outcome of a failed attempt may be unknown.
// Commands are, because the state machine recognises repeated ones.
func retry(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		err := tryOnce(ctx, f)
		if err == nil || !isRetryable(err) {
			return err
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

func tryOnce(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return f(ctx)
}

func isRetryable(err error) bool {
	switch errkind.Of(err) {
	case errkind.NotLeader, errkind.NoQuorum, errkind.Timeout, errkind.QueueFull:
		return true
	}
	return false
}
