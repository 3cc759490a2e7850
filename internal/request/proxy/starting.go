package proxy

import (
	"context"
	"time"
)

// startWaitShare is the part of its caller's timeout for which a request waits for the end
// of the start, or of a suspension. What is left suffices for a run.
const startWaitShare = 0.25

// waitShare returns the wait, limited to startWaitShare of the timeout if there is one.
func waitShare(wait, timeout time.Duration) time.Duration {
	if timeout > 0 {
		return min(wait, time.Duration(startWaitShare*float64(timeout)))
	}
	return wait
}

// Start describes the start of an entry, until it has a confirmed version for the first
// time.
type Start struct {
	Ready <-chan struct{} // closed when the entry is ready for the first time
	Until time.Time       // later requests do not wait, as the start takes longer than usual
}

// awaitStart waits until an entry that starts is ready, and reports whether it is. Callers
// with kept look-up answers send requests as soon as the entry listens; a refusal would
// cost them an attempt, and the entry is ready soon after.
func (h *Handler) awaitStart(ctx context.Context, timeout time.Duration) bool {
	if h.Start.Ready == nil {
		return false
	}
	wait := waitShare(h.Start.Until.Sub(h.Now()), timeout)
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-h.Start.Ready:
		return h.Ready()
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
