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

// dispatch admits the call on this instance and runs it at a local target.
func (h *Handler) dispatch(ctx context.Context, c *call, d dispatch.Slots) (*reply, error) {
	if c.remote && !h.enterRamp(c, d) {
		return nil, errkind.New(errkind.QueueFull, "requests from other data centres are still ramping up")
	}
	unit, err := h.acquireUnit(ctx, c)
	if err != nil {
		h.leaveRamp(c, err)
		return nil, err
	}
	rep, err := h.attempts(ctx, c, d, unit)
	if err != nil {
		releaseUnit(unit, err)
		h.leaveRamp(c, err)
		return nil, err
	}
	end := rep.end
	rep.end = func(err error) {
		end(err)
		releaseUnit(unit, err)
		h.leaveRamp(c, err)
	}
	return rep, nil
}

// acquireUnit takes a unit of the shift's cap. A route that knows no shifts
// needs none.
func (h *Handler) acquireUnit(ctx context.Context, c *call) (Unit, error) {
	if !c.route.NeedsShift {
		return noUnit{}, nil
	}
	return h.Caps.Acquire(ctx, c.shift)
}

// tryAcquireUnit is acquireUnit without waiting.
func (h *Handler) tryAcquireUnit(c *call) (Unit, bool) {
	if !c.route.NeedsShift {
		return noUnit{}, true
	}
	return h.Caps.TryAcquire(c.shift)
}

// noUnit stands for a unit where no cap applies.
type noUnit struct{}

func (noUnit) Valid() bool { return true }
func (noUnit) Release()    {}

func (h *Handler) enterRamp(c *call, d dispatch.Slots) bool {
	if c.service.GuardedSlots {
		return true // the sender shifts its requests slowly
	}
	load := d.Load()
	return h.service(c.service).ramp.Admit(h.Now(), load.InFlight+load.FreeSlots)
}

func (h *Handler) leaveRamp(c *call, err error) {
	if c.remote && !c.service.GuardedSlots {
		h.service(c.service).ramp.Done(h.Now(), rampResult(err))
	}
}

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

// attempts sends the call to one target after another while each provably
// did not run it, within the retry budget and the deadline.
func (h *Handler) attempts(ctx context.Context, c *call, d dispatch.Slots, unit Unit) (*reply, error) {
	for {
		t, err := d.Acquire(ctx, c.work())
		if err != nil {
			return nil, err
		}
		if c.service.GuardedSlots {
			h.noteShare(c)
		}
		c.sends++
		c.exclude = append(c.exclude, t.Target.ID)
		h.logDecision(c, t, c.sends)
		rep, err := h.hedged(ctx, c, t, unit)
		if err == nil {
			return rep, nil
		}
		if errkind.Of(err).Answer().DidRun != errkind.No {
			c.mayRan = err
		}
		if !h.mayRetry(ctx, c, c.sends, err) {
			c.lastSend = true
			return nil, err
		}
	}
}

// work describes the call to a dispatcher.
func (c *call) work() dispatch.Work {
	w := dispatch.Work{
		Class: c.route.Class, Route: c.route.Name, Deadline: c.deadline,
		Safe: c.route.Safe, Once: c.once(), Remote: c.remote, Priority: c.route.Priority, Exclude: c.exclude,
	}
	if c.service.GuardedSlots {
		w.Objective, w.AnySlot = c.objective, c.step.Mode == spill.AnySlot
		w.Object, w.From = c.affinity, c.dataCentre
	}
	return w
}

// mayRetry decides about another attempt and waits before it.
func (h *Handler) mayRetry(ctx context.Context, c *call, attempt int, err error) bool {
	now := h.Now()
	decision := retry.Decide(retry.Attempt{
		Kind: errkind.Of(err), Once: c.once(), Tries: attempt,
		Safe: c.route.Safe, MaxAttempts: c.route.MaxAttempts, Remaining: c.left(now),
	}, h.service(c.service).retries, now, rand.Float64())
	h.Log.WithFields(logrus.Fields{
		"request_id": c.id, "service": c.service.Name, "attempt": attempt, "retry": decision.Retry,
		"reason": decision.Reason, "error": err.Error(),
	}).Info("attempt failed")
	if !decision.Retry {
		return false
	}
	h.m.retried.Inc(1)
	return pause(ctx, decision.Wait)
}

// pause waits and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (h *Handler) logDecision(c *call, t *dispatch.Ticket, attempt int) {
	logging.Routine(h.Log, logrus.Fields{
		"request_id": c.id, "service": c.service.Name, "route": c.route.Name, "shift": c.shift,
		"dc": h.DataCentre, "target": t.Target.ID, "reason": t.Reason, "attempt": attempt,
		"queued_ms": milliseconds(t.QueuedFor), "mode": c.step.Mode.String(), "region": c.step.Region,
		"objective_ms": milliseconds(c.objective.Sub(h.Now())), "object": c.affinity, "wait_ms": milliseconds(c.wait), "here_ms": milliseconds(h.Now().Sub(c.received)), "version": c.snap.Version,
	}, "request dispatched")
}
