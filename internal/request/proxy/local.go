package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/logging"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
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
		return spill.Good
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
	logging.Routine(h.Log).WithFields(logrus.Fields{
		"request_id": c.id, "service": c.service.Name, "route": c.route.Name, "shift": c.shift,
		"dc": h.DataCentre, "target": t.Target.ID, "reason": t.Reason, "attempt": attempt,
		"queued_ms": milliseconds(t.QueuedFor), "mode": c.step.Mode.String(), "region": c.step.Region,
		"objective_ms": milliseconds(c.objective.Sub(h.Now())), "object": c.affinity, "wait_ms": milliseconds(c.wait), "here_ms": milliseconds(h.Now().Sub(c.received)), "version": c.snap.Version,
	}).Info("request dispatched")
}

// sent is the result of one attempt at one target.
type sent struct {
	rep    *reply
	err    error
	ticket *dispatch.Ticket
	id     string // of the request
	hedge  bool
	unit   Unit // of the shift's cap, for a hedge; the first attempt's belongs to the call
	cancel context.CancelCauseFunc
	start  time.Time
	load   *dialect.Load // that the target reported in its answer
}

// report returns the load that the target reported.
func (s sent) report() dispatch.Report {
	if s.load == nil {
		return dispatch.Report{}
	}
	return dispatch.Report{Slots: s.load.Slots, Running: s.load.Running, Waiting: s.load.Waiting, Slowness: s.load.Slowness}
}

// errHedgeLost cancels the attempt that lost against its hedge.
var errHedgeLost = errkind.New(errkind.Cancelled, "the other attempt answered first")

// hedged sends the call to the ticket's target and, if the route is safe and
// the answer is late, to a second one. The first good answer wins.
func (h *Handler) hedged(ctx context.Context, c *call, t *dispatch.Ticket, unit Unit) (*reply, error) {
	delay := time.Duration(0)
	if c.route.Safe {
		delay = t.HedgeDelay()
	}
	if delay <= 0 {
		s := h.send(ctx, c, t, unit)
		return h.settle(s)
	}
	results := make(chan sent, 2)
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
				_, _ = h.settle(s)
				continue
			}
			if running > 0 {
				cancelLoser := cancelHedge
				if s.hedge {
					cancelLoser = cancelFirst
				}
				cancelLoser(errHedgeLost)
				go drop(results)
			}
			return h.settle(s)
		}
	}
}

// takeHedge takes a slot and a unit of the shift's cap for a hedge: it is one
// more request in flight.
func (h *Handler) takeHedge(c *call, t *dispatch.Ticket) (*dispatch.Ticket, Unit, bool) {
	unit, ok := h.tryAcquireUnit(c)
	if !ok {
		return nil, nil, false
	}
	second, ok := t.Hedge()
	if !ok {
		unit.Release()
		return nil, nil, false
	}
	h.m.hedged.Inc(1)
	h.logDecision(c, second, 2)
	return second, unit, true
}

// sendAsync runs one attempt in its own goroutine.
func (h *Handler) sendAsync(ctx context.Context, c *call, t *dispatch.Ticket, unit Unit, hedge bool, results chan<- sent) context.CancelCauseFunc {
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

// drop waits for the attempt that lost and gives its slot back.
func drop(results <-chan sent) {
	loser := <-results
	if loser.rep != nil {
		loser.rep.finish(errHedgeLost)
	}
	loser.cancel(errHedgeLost)
	loser.end(dispatch.Outcome{Result: dispatch.CancelledByCaller, Latency: time.Since(loser.start)}, true)
}

// cancelNotice is how long a slot stays taken after its request was
// cancelled: the target notices the closed connection only a moment later, and
// a new request before that would exceed its slots.
const cancelNotice = 25 * time.Millisecond

// done gives the slot back, and the unit of a hedge.
func (s sent) done(o dispatch.Outcome) {
	s.ticket.Done(o)
	if s.unit != nil {
		s.unit.Release()
	}
}

// end is done, a moment later for a request that was cancelled.
func (s sent) end(o dispatch.Outcome, cancelled bool) {
	if cancelled {
		time.AfterFunc(cancelNotice, func() { s.done(o) })
		return
	}
	s.done(o)
}

// releaseUnit gives the unit of a request back that ended with err.
func releaseUnit(u Unit, err error) {
	if err != nil && (cancelledAfterSend(err) || errkind.Of(err) == errkind.Internal) {
		time.AfterFunc(cancelNotice, u.Release)
		return
	}
	u.Release()
}

// cancelledAfterSend reports whether err ended a request that the target may
// still be working on.
func cancelledAfterSend(err error) bool {
	switch errkind.Of(err) {
	case errkind.Cancelled, errkind.DeadlineExceeded, errkind.OutcomeUnknown, errkind.AnswerBroken, errkind.AnswerMismatch, errkind.TargetFailed:
		return true
	}
	return false
}

// send makes one attempt at the ticket's target.
func (h *Handler) send(ctx context.Context, c *call, t *dispatch.Ticket, unit Unit) sent {
	s := sent{id: c.id, ticket: t, start: h.Now()}
	ctx, s.cancel = context.WithCancelCause(ctx)
	x := exchange{
		transport: h.Targets, addr: t.Target.Addr, host: c.targetHost(),
		header: h.targetHeader(c, t.Target.ID, s.start), replay: c.route.Safe, idOf: h.answerID,
		onWritten: func() {
			if !unit.Valid() || h.Now().After(c.deadline) {
				s.cancel(errLeaseLapsed)
			}
		},
	}
	s.rep, s.err = x.do(ctx, c)
	if s.err == nil {
		h.judgeAnswer(&s)
	}
	if s.err == nil {
		for _, name := range systemHeaders {
			s.rep.header.Del(name)
		}
		for _, name := range h.Dialect.Reserved() {
			s.rep.header.Del(name)
		}
	}
	return s
}

// targetHost returns the Host header that the target gets: the caller's where
// it selects the route, and otherwise that of the target's address.
func (c *call) targetHost() string {
	if c.route.Host == "" {
		return ""
	}
	return c.host
}

// answerID returns the identifier of the request that a target's answer names.
func (h *Handler) answerID(resp *http.Response) string {
	return h.Dialect.Answer(resp.StatusCode, resp.Header).ID
}

// judgeAnswer turns the answer of a target into an error if the target did not
// run the request, or if it cannot be proved to be the target's.
func (h *Handler) judgeAnswer(s *sent) {
	head := h.Dialect.Answer(s.rep.status, s.rep.header)
	target := s.ticket.Target.ID
	s.load = head.Load
	switch {
	case head.OtherTarget:
		s.err = errkind.New(errkind.TargetGone, "another target answered for %q", target)
	case head.NotRun:
		s.err = errkind.New(errkind.TargetShed, "target %q shed the request", target)
	case head.Unproved:
		s.err = errkind.New(errkind.AnswerBroken, "the answer of target %q lacks its mark", target)
	}
	if s.err != nil {
		s.rep.finish(nil)
		s.rep = nil
	}
}

// systemHeaders of an answer are set by entries only. An entry would take the
// answer of a target that sets them for the refusal of another entry and send
// the request again.
var systemHeaders = []string{headerKind, headerNotRun, headerRetryAfter, headerQueued, headerFree, headerWait}

// settle ends the ticket of an attempt that failed, or ties it to the end of
// the answer's body.
func (h *Handler) settle(s sent) (*reply, error) {
	if s.err != nil {
		s.cancel(nil)
		o := dispatch.Outcome{Result: result(s.err), Latency: h.Now().Sub(s.start), Report: s.report()}
		s.end(o, cancelledAfterSend(s.err))
		return nil, s.err
	}
	firstByte := h.Now().Sub(s.start)
	h.Dialect.Name(s.rep.header, h.Instance, s.ticket.Target.ID, s.id)
	s.rep.end = func(err error) {
		s.cancel(nil)
		o := dispatch.Outcome{Result: dispatch.OK, Latency: h.Now().Sub(s.start), FirstByte: firstByte, Report: s.report()}
		if s.rep.status >= http.StatusInternalServerError {
			o.Result = dispatch.ServerError
		}
		if err != nil {
			o.Result = dispatch.CancelledByCaller
		}
		h.logAnswer(s, o)
		s.end(o, err != nil)
	}
	return s.rep, nil
}

// logAnswer tells how the request ran at its target.
func (h *Handler) logAnswer(s sent, o dispatch.Outcome) {
	log := h.Log
	if o.Result == dispatch.OK {
		log = logging.Routine(log)
	}
	log.WithFields(logrus.Fields{
		"request_id": s.id, "target": s.ticket.Target.ID, "status": s.rep.status, "whole": o.Result != dispatch.CancelledByCaller,
		"run_ms": milliseconds(o.Latency), "running": o.Report.Running, "waiting": o.Report.Waiting, "slowness": o.Report.Slowness,
	}).Info("target answered")
}

// milliseconds is how durations are logged.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func result(err error) dispatch.Result {
	switch errkind.Of(err) {
	case errkind.TargetShed:
		return dispatch.Shed
	case errkind.TargetUnreachable, errkind.TargetGone:
		return dispatch.Unreachable
	case errkind.Cancelled, errkind.DeadlineUnmeetable:
		return dispatch.CancelledByCaller
	}
	return dispatch.Failed
}
