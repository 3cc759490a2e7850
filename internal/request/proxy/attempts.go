package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/request/retry"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
	"github.com/sirupsen/logrus"
)

// dispatch admits the request on this instance and runs it at a target of d. The
// unit of the shift's cap is released at the end of the answer.
func (h *Handler) dispatch(ctx context.Context, c *call, d dispatch.Slots) (*reply, error) {
	if c.remote && !h.admitToRamp(c, d) {
		return nil, errkind.New(errkind.QueueFull, "the ramp for requests from other data centres admits no more at present")
	}
	unit, err := h.acquireUnit(ctx, c)
	if err != nil {
		h.reportToRamp(c, err)
		return nil, err
	}
	rep, err := h.runAttempts(ctx, c, d, unit)
	if err != nil {
		releaseUnit(unit, err)
		h.reportToRamp(c, err)
		return nil, err
	}
	end := rep.end
	rep.end = func(err error) {
		end(err)
		releaseUnit(unit, err)
		h.reportToRamp(c, err)
	}
	return rep, nil
}

// acquireUnit takes a unit of the shift's cap. A route that needs no shift has
// no cap.
func (h *Handler) acquireUnit(ctx context.Context, c *call) (CapUnit, error) {
	if !c.route.RequiresShift {
		return uncappedUnit{}, nil
	}
	return h.Caps.Acquire(ctx, c.shift)
}

// tryAcquireUnit takes a unit of the shift's cap without waiting.
func (h *Handler) tryAcquireUnit(c *call) (CapUnit, bool) {
	if !c.route.RequiresShift {
		return uncappedUnit{}, true
	}
	return h.Caps.TryAcquire(c.shift)
}

// uncappedUnit is the unit of a request to which no cap applies.
type uncappedUnit struct{}

func (uncappedUnit) Valid() bool { return true }
func (uncappedUnit) Release()    {}

// admitToRamp reports whether the ramp admits a request from another data centre.
// The ramp limits how many such requests are in flight and raises the limit
// gradually.
func (h *Handler) admitToRamp(c *call, d dispatch.Slots) bool {
	if c.service.GuardedSlots {
		return true // the forwarding entry limits how fast it moves requests between regions
	}
	load := d.Load()
	return h.stateOf(c.service).ramp.Admit(h.Now(), load.InFlight+load.FreeSlots)
}

// reportToRamp reports the end of a request that admitToRamp admitted.
func (h *Handler) reportToRamp(c *call, err error) {
	if c.remote && !c.service.GuardedSlots {
		h.stateOf(c.service).ramp.Done(h.Now(), rampResult(err))
	}
}

// rampResult states whether a request with err should let the ramp grow, shrink
// or stay.
func rampResult(err error) spill.RampResult {
	if err == nil {
		return spill.OnTime
	}
	switch errkind.Of(err) {
	case errkind.QueueFull, errkind.DeadlineUnmeetable, errkind.DeadlineExceeded, errkind.TargetShed:
		return spill.Overloaded
	}
	return spill.Neutral
}

// runAttempts sends the request to one target after another until one answers.
// It stops when d grants no slot, or when the rules of package retry allow no
// further attempt.
func (h *Handler) runAttempts(ctx context.Context, c *call, d dispatch.Slots, unit CapUnit) (*reply, error) {
	for {
		t, err := h.acquireSlot(ctx, c, d)
		if err != nil {
			return nil, h.stoppedWaiting(ctx, err)
		}
		if c.service.GuardedSlots {
			h.countShare(c)
		}
		c.sends++
		c.triedTargets = append(c.triedTargets, t.Target.ID)
		h.logDispatch(c, t, c.sends)
		sent := h.Now()
		rep, err := h.hedged(ctx, c, t, unit)
		if err == nil {
			h.observeRun(c, c.snap.Region(h.DataCentre), h.Now().Sub(sent))
			return rep, nil
		}
		if errkind.Of(err).Response().DidRun != errkind.No {
			c.mayHaveRun = err
		}
		if !h.mayRetry(ctx, c, c.sends, err) {
			c.noMoreSends = true
			return nil, err
		}
	}
}

// dispatchWork describes the request to a dispatcher.
func (c *call) dispatchWork() dispatch.Work {
	w := dispatch.Work{
		Class: c.route.Class, Route: c.route.Name, Deadline: c.deadline,
		Safe: c.repeatable(), AtMostOnce: c.atMostOnce(), Remote: c.remote, Priority: c.route.Priority, Exclude: c.triedTargets,
	}
	if c.service.GuardedSlots {
		w.Objective, w.AnySlot = c.objective, c.step.Mode == spill.AnySlot
		w.Object, w.FromDataCentre = c.affinity, c.dataCentre
	}
	return w
}

// mayRetry decides whether another attempt may follow, and waits for its back-off.
// attempt is the number of attempts so far.
func (h *Handler) mayRetry(ctx context.Context, c *call, attempt int, err error) bool {
	mayHaveRun := errkind.Of(err).Response().DidRun != errkind.No
	repeatable := mayHaveRun && h.mayRepeat(ctx, c)
	now := h.Now()
	decision := retry.Decide(retry.FailedRequest{
		Kind: errkind.Of(err), AtMostOnce: c.atMostOnce(), Attempts: attempt,
		Safe: repeatable, MaxAttempts: c.route.MaxAttempts, Remaining: c.timeLeft(now), TargetCrashes: h.targetCrashes(c),
	}, h.stateOf(c.service).retries, now, rand.Float64())
	h.Log.WithFields(logrus.Fields{
		"request_id": c.id, "service": c.service.Name, "attempt": attempt, "retry": decision.Retry,
		"reason": decision.Reason, "error": err.Error(), "version": c.snap.Version, "confirmed": c.confirmed,
	}).Info("attempt failed")
	if !decision.Retry {
		return false
	}
	h.metrics.retried.Inc(1)
	return sleep(ctx, decision.Backoff)
}

// sleep waits for d. It returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// logDispatch logs to which target the request is sent, and why.
func (h *Handler) logDispatch(c *call, t *dispatch.Ticket, attempt int) {
	logging.Routine(h.Log, logrus.Fields{
		"request_id": c.id, "service": c.service.Name, "route": c.route.Name, "shift": c.shift,
		"dc": h.DataCentre, "target": t.Target.ID, "reason": t.Reason, "attempt": attempt,
		"queued_ms": milliseconds(t.QueuedFor), "dispatcher": t.Dispatcher, "reply_ms": milliseconds(t.ReplyTime), "mode": c.step.Mode.String(), "region": c.step.Region,
		"objective_ms": milliseconds(c.objective.Sub(h.Now())), "object": c.affinity, "wait_ms": milliseconds(c.callerTimeout), "here_ms": milliseconds(h.Now().Sub(c.received)), "version": c.snap.Version, "confirmed": c.confirmed,
	}, "request dispatched")
}
