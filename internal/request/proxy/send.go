package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/sirupsen/logrus"
)

// attemptResult is the result of one attempt at one target.
type attemptResult struct {
	reply  *reply
	err    error
	ticket *dispatch.Ticket
	id     string // request identifier
	call   *call
	hedge  bool
	unit   CapUnit // unit of a hedge; nil for the first attempt, whose unit belongs to the request
	cancel context.CancelCauseFunc
	start  time.Time
	load   *dialect.Load // load that the target reported in its answer, or nil
	// pausing reports that the target announced in its answer that it wants no
	// requests from this entry for a while.
	pausing bool
}

// loadReport returns the load that the target reported, or the zero Report.
func (s attemptResult) loadReport() dispatch.Report {
	if s.load == nil {
		return dispatch.Report{}
	}
	return dispatch.Report{Slots: s.load.Slots, Running: s.load.Running, Waiting: s.load.Waiting, Slowness: s.load.Slowness}
}

// errHedgeLost cancels the slower of two hedged attempts.
var errHedgeLost = errkind.New(errkind.Cancelled, "the other attempt answered first")

// cancelDetectionTime is how long the slot and the unit of a cancelled request
// stay taken. The target detects the closed connection with a delay, and a new
// request before that would exceed the target's slots.
const cancelDetectionTime = 25 * time.Millisecond

// releaseNow releases the slot, and the unit of a hedge.
func (s attemptResult) releaseNow(o dispatch.Outcome) {
	s.ticket.Done(o)
	if s.unit != nil {
		s.unit.Release()
	}
}

// releaseSlot calls releaseNow, after cancelDetectionTime if the request was
// cancelled.
func (s attemptResult) releaseSlot(o dispatch.Outcome, cancelled bool) {
	if cancelled {
		time.AfterFunc(cancelDetectionTime, func() { s.releaseNow(o) })
		return
	}
	s.releaseNow(o)
}

// releaseUnit releases the unit of a request that ended with err, after
// cancelDetectionTime if the target may still be running the request.
func releaseUnit(u CapUnit, err error) {
	if err != nil && (cancelledAfterSend(err) || errkind.Of(err) == errkind.Internal) {
		time.AfterFunc(cancelDetectionTime, u.Release)
		return
	}
	u.Release()
}

// cancelledAfterSend reports whether err ended a request that the target may still
// be running.
func cancelledAfterSend(err error) bool {
	switch errkind.Of(err) {
	case errkind.Cancelled, errkind.DeadlineExceeded, errkind.OutcomeUnknown, errkind.AnswerBroken, errkind.AnswerMismatch, errkind.TargetFailed:
		return true
	}
	return false
}

// send makes one attempt at the target of the ticket. It cancels the request if
// the lease of the unit or the deadline turns out to have expired after a write,
// so that the target does not run a request that is no longer admitted.
func (h *Handler) send(ctx context.Context, c *call, t *dispatch.Ticket, unit CapUnit) attemptResult {
	s := attemptResult{id: c.id, call: c, ticket: t, start: h.Now()}
	ctx, s.cancel = context.WithCancelCause(ctx)
	trial, err := h.beforeSend(c)
	if err != nil {
		s.err = err
		return s
	}
	x := exchange{
		transport: h.Targets, addr: t.Target.Addr, host: c.targetHost(),
		header: h.targetHeader(c, t.Target.ID, s.start), allowTransportRetry: c.repeatable(), naming: func(resp *http.Response) naming { return nameOf(h.answerID(resp), c.id) },
		onWritten: func() {
			if !unit.Valid() || h.Now().After(c.deadline) {
				s.cancel(errLeaseExpired)
			}
		},
		onConnected: func() {
			if h.withdrawn(&s) {
				s.cancel(errTargetWithdrawn)
			}
		},
		onHead: func(resp *http.Response) { h.observeAnnouncement(c, &s, resp.StatusCode, resp.Header) },
	}
	s.reply, s.err = x.do(ctx, c)
	h.afterSend(c, t, trial, s.err)
	if s.err == nil {
		h.checkAnswer(&s)
	}
	if s.err == nil {
		for _, name := range entryOnlyHeaders {
			s.reply.header.Del(name)
		}
		for _, name := range h.Dialect.ReservedHeaders() {
			s.reply.header.Del(name)
		}
	}
	return s
}

// targetHost returns the Host header for the target: the caller's if the route is
// selected by host, and otherwise "", which means the target's address.
func (c *call) targetHost() string {
	if c.route.Host == "" {
		return ""
	}
	return c.host
}

// answerID returns the request identifier in a target's answer.
func (h *Handler) answerID(resp *http.Response) string {
	return h.Dialect.Answer(resp.StatusCode, resp.Header).ID
}

// checkAnswer replaces the answer by an error if the target did not run the
// request, or if nothing proves that the target produced the answer. A statement
// that the request did not run counts only if the answer provably belongs to the
// request. checkAnswer also takes over the load that the target reports.
func (h *Handler) checkAnswer(s *attemptResult) {
	head := h.Dialect.Answer(s.reply.status, s.reply.header)
	target := s.ticket.Target.ID
	s.load = head.Load
	switch {
	case (head.OtherTarget || head.NotRun) && !s.reply.proved:
		s.err = errkind.New(errkind.AnswerMismatch, "target %q wrote a refusal that does not name the request, on a connection with earlier requests", target)
	case head.OtherTarget:
		s.err = errkind.New(errkind.TargetGone, "another target answered instead of target %q", target)
	case head.NotRun:
		s.err = errkind.New(errkind.TargetShed, "target %q shed the request", target)
	case head.MissingMark:
		s.err = errkind.New(errkind.AnswerBroken, "the answer lacks the mark that proves that target %q produced it", target)
	}
	if s.err != nil {
		s.reply.finish(nil)
		s.reply = nil
	}
}

// entryOnlyHeaders lists the answer headers that only entries may set. If a
// target's answer kept them, an entry would mistake it for the refusal of another
// entry and send the request again.
var entryOnlyHeaders = []string{headerKind, headerNotRun, headerRetryAfter, headerQueued, headerFree, headerWait, headerRunsOnce}

// finishAttempt releases the slot of a failed attempt and returns its error. The
// slot of a successful attempt is released at the end of the answer's body.
func (h *Handler) finishAttempt(s attemptResult) (*reply, error) {
	if s.err != nil {
		s.cancel(nil)
		o := dispatch.Outcome{Result: dispatchResult(s.err), Latency: h.Now().Sub(s.start), Report: s.loadReport()}
		s.releaseSlot(h.withAnnouncement(s, o), cancelledAfterSend(s.err))
		return nil, s.err
	}
	firstByte := h.Now().Sub(s.start)
	h.Dialect.SetOrigin(s.reply.header, h.Instance, s.ticket.Target.ID, s.id)
	s.reply.end = func(err error) {
		s.cancel(nil)
		o := dispatch.Outcome{Result: dispatch.OK, Latency: h.Now().Sub(s.start), FirstByte: firstByte, Report: s.loadReport()}
		switch {
		case s.reply.status == http.StatusGatewayTimeout && overran(s.call, s.start, firstByte):
			o.Result = dispatch.Overran
		case s.reply.status >= http.StatusInternalServerError:
			o.Result = dispatch.ServerError
		}
		if err != nil {
			o.Result = dispatch.CancelledByCaller
		}
		if o.Result == dispatch.OK {
			h.clearSuspect(s.call)
		}
		h.logAnswer(s, o)
		s.releaseSlot(h.withAnnouncement(s, o), err != nil)
	}
	return s.reply, nil
}

// overran reports whether an answer that came after the given time since start came at
// the deadline that the target was told, give or take the way there and back.
func overran(c *call, start time.Time, after time.Duration) bool {
	told := c.timeLeft(start)
	return after >= told-told/10
}

// logAnswer logs the result of a request at its target. Only a complete answer
// without a server error counts as routine.
func (h *Handler) logAnswer(s attemptResult, o dispatch.Outcome) {
	fields := logrus.Fields{
		"request_id": s.id, "target": s.ticket.Target.ID, "status": s.reply.status, "whole": o.Result != dispatch.CancelledByCaller,
		"run_ms": milliseconds(o.Latency), "running": o.Report.Running, "waiting": o.Report.Waiting, "slowness": o.Report.Slowness,
	}
	if o.Result == dispatch.OK {
		logging.Routine(h.Log, fields, "target answered")
		return
	}
	h.Log.WithFields(fields).Info("target answered")
}

// milliseconds returns d in milliseconds, the unit of durations in the log.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// dispatchResult returns the result that a dispatcher records for a failed
// attempt.
func dispatchResult(err error) dispatch.Result {
	if errors.Is(err, errTargetWithdrawn) {
		return dispatch.NotUsed
	}
	switch errkind.Of(err) {
	case errkind.TargetShed:
		return dispatch.Shed
	case errkind.TargetUnreachable, errkind.TargetGone:
		return dispatch.Unreachable
	case errkind.Cancelled, errkind.DeadlineUnmeetable, errkind.RequestQuarantined:
		return dispatch.CancelledByCaller
	case errkind.DeadlineExceeded:
		return dispatch.TimedOut
	}
	return dispatch.Failed
}
