package control

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

const (
	// callTimeout bounds a call. After the loss of a leader, a write may be
	// rejected or delayed for at most 3 s.
	callTimeout = 3 * time.Second
	// attemptTimeout bounds one attempt at a log operation. A leader that hangs
	// or is partitioned does not answer; within this time another one is
	// elected, which the next attempt reaches.
	attemptTimeout = time.Second
	retryInterval  = 20 * time.Millisecond
)

// retry calls f until it succeeds, fails with an error that is not retryable, or
// callTimeout has passed. f must be idempotent, because the outcome of a failed
// attempt may be unknown. Commands are idempotent: the state machine recognises
// repeated ones. If the outcome of an attempt is unknown, so is that of the call:
// retry then returns the error of that attempt, not a later one that reports that
// its own attempt did not run.
func retry(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var unknown error
	for {
		err := tryOnce(ctx, f)
		if err == nil {
			return nil
		}
		retryable := isRetryable(err)
		if errkind.Of(err).Response().DidRun == errkind.Unknown {
			unknown = err
		} else if unknown != nil {
			err = unknown
		}
		if !retryable {
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

// isRetryable reports whether another attempt may succeed. StorageFailed is among
// these: it ends the replica that reports it, and the others elect a leader.
func isRetryable(err error) bool {
	switch errkind.Of(err) {
	case errkind.NotLeader, errkind.NoQuorum, errkind.Timeout, errkind.QueueFull, errkind.StorageFailed:
		return true
	}
	return false
}
