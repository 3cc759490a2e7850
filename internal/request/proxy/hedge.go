package proxy

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// hedged sends the request to the ticket's target. If the request is repeatable and no
// answer has come after the hedge delay, it also sends the request to a second
// target. The first answer without an error is used, and the other attempt is
// cancelled.
func (h *Handler) hedged(ctx context.Context, c *call, t *dispatch.Ticket, unit CapUnit) (*reply, error) {
	delay := time.Duration(0)
	if c.repeatable() && h.targetCrashes(c) == 0 {
		delay = t.HedgeDelay()
	}
	if delay <= 0 {
		s := h.send(ctx, c, t, unit)
		return h.finishAttempt(s)
	}
	results := make(chan attemptResult, 2)
	cancelFirst := h.sendAsync(ctx, c, t, unit, false, results)
	cancelHedge := func(error) {}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 1
	for {
		select {
		case <-timer.C:
			if second, extra, ok := h.takeHedge(c, t); ok {
				cancelHedge = h.sendAsync(ctx, c, second, extra, true, results)
				running++
			}
		case s := <-results:
			running--
			if s.err != nil && running > 0 {
				_, _ = h.finishAttempt(s)
				continue
			}
			if running > 0 {
				cancelLoser := cancelHedge
				if s.hedge {
					cancelLoser = cancelFirst
				}
				cancelLoser(errHedgeLost)
				go releaseHedgeLoser(results)
			}
			return h.finishAttempt(s)
		}
	}
}

// takeHedge takes a slot and a unit of the shift's cap for a hedge, which is an
// additional request in flight. The last result is false if either is not free
// now.
func (h *Handler) takeHedge(c *call, t *dispatch.Ticket) (*dispatch.Ticket, CapUnit, bool) {
	if !h.isConfirmed() && !c.forwarded.confirmed || !h.isStillSafe(c) {
		return nil, nil, false
	}
	unit, ok := h.tryAcquireUnit(c)
	if !ok {
		return nil, nil, false
	}
	second, ok := t.Hedge()
	if ok {
		if n := h.Announced.Of(second.Target.Process()); n.Withdrawn() {
			h.returnSlot(c, second, n)
			ok = false
		}
	}
	if !ok {
		unit.Release()
		return nil, nil, false
	}
	h.metrics.hedged.Inc(1)
	h.logDispatch(c, second, 2)
	return second, unit, true
}

// sendAsync runs one attempt in its own goroutine, which sends the result to
// results. The returned function cancels the attempt.
func (h *Handler) sendAsync(ctx context.Context, c *call, t *dispatch.Ticket, unit CapUnit, hedge bool, results chan<- attemptResult) context.CancelCauseFunc {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		s := h.send(ctx, c, t, unit)
		if hedge {
			s.hedge, s.unit = true, unit
		}
		inner := s.cancel
		s.cancel = func(err error) { inner(err); cancel(err) }
		results <- s
	}()
	return cancel
}

// releaseHedgeLoser waits for the result of the cancelled attempt and releases
// its slot, and its unit if it was the hedge.
func releaseHedgeLoser(results <-chan attemptResult) {
	loser := <-results
	if loser.reply != nil {
		loser.reply.finish(errHedgeLost)
	}
	loser.cancel(errHedgeLost)
	loser.releaseSlot(dispatch.Outcome{Result: dispatch.CancelledByCaller, Latency: time.Since(loser.start)}, true)
}
