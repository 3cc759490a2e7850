package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/sirupsen/logrus"
)

// sent is the result of one attempt at one target.
type attemptResult struct {
	reply  *reply
	err    error
	ticket *dispatch.Ticket
	id     string // of the request
	hedge  bool
	unit   CapUnit // of the shift's cap, for a hedge; the first attempt's belongs to the call
	cancel context.CancelCauseFunc
	start  time.Time
	load   *dialect.Load // that the target reported in its answer
}

// report returns the load that the target reported.
func (s attemptResult) loadReport() dispatch.Report {
	if s.load == nil {
		return dispatch.Report{}
	}
	return dispatch.Report{Slots: s.load.Slots, Running: s.load.Running, Waiting: s.load.Waiting, Slowness: s.load.Slowness}
}

// errHedgeLost cancels the attempt that lost against its hedge.
var errHedgeLost = errkind.New(errkind.Cancelled, "the other attempt answered first")

// cancelNotice is how long a slot stays taken after its request was
// cancelled: the target notices the closed connection only a moment later, and
// a new request before that would exceed its slots.
const cancelDetectionTime = 25 * time.Millisecond

// done gives the slot back, and the unit of a hedge.
func (s attemptResult) releaseNow(o dispatch.Outcome) {
	s.ticket.Done(o)
	if s.unit != nil {
		s.unit.Release()
	}
}

// end is done, a moment later for a request that was cancelled.
func (s attemptResult) releaseSlot(o dispatch.Outcome, cancelled bool) {
	if cancelled {
		time.AfterFunc(cancelDetectionTime, func() { s.releaseNow(o) })
		return
	}
	s.releaseNow(o)
}

// releaseUnit gives the unit of a request back that ended with err.
func releaseUnit(u CapUnit, err error) {
	if err != nil && (cancelledAfterSend(err) || errkind.Of(err) == errkind.Internal) {
		time.AfterFunc(cancelDetectionTime, u.Release)
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
func (h *Handler) send(ctx context.Context, c *call, t *dispatch.Ticket, unit CapUnit) attemptResult {
	s := attemptResult{id: c.id, ticket: t, start: h.Now()}
	ctx, s.cancel = context.WithCancelCause(ctx)
	x := exchange{
		transport: h.Targets, addr: t.Target.Addr, host: c.targetHost(),
		header: h.targetHeader(c, t.Target.ID, s.start), allowTransportRetry: c.route.Safe, answeredID: h.answerID,
		onWritten: func() {
			if !unit.Valid() || h.Now().After(c.deadline) {
				s.cancel(errLeaseExpired)
			}
		},
	}
	s.reply, s.err = x.do(ctx, c)
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
func (h *Handler) checkAnswer(s *attemptResult) {
	head := h.Dialect.Answer(s.reply.status, s.reply.header)
	target := s.ticket.Target.ID
	s.load = head.Load
	switch {
	case head.OtherTarget:
		s.err = errkind.New(errkind.TargetGone, "another target answered for %q", target)
	case head.NotRun:
		s.err = errkind.New(errkind.TargetShed, "target %q shed the request", target)
	case head.MissingMark:
		s.err = errkind.New(errkind.AnswerBroken, "the answer of target %q lacks its mark", target)
	}
	if s.err != nil {
		s.reply.finish(nil)
		s.reply = nil
	}
}

// systemHeaders of an answer are set by entries only. An entry would take the
// answer of a target that sets them for the refusal of another entry and send
// the request again.
var entryOnlyHeaders = []string{headerKind, headerNotRun, headerRetryAfter, headerQueued, headerFree, headerWait}

// settle ends the ticket of an attempt that failed, or ties it to the end of
// the answer's body.
func (h *Handler) finishAttempt(s attemptResult) (*reply, error) {
	if s.err != nil {
		s.cancel(nil)
		o := dispatch.Outcome{Result: dispatchResult(s.err), Latency: h.Now().Sub(s.start), Report: s.loadReport()}
		s.releaseSlot(o, cancelledAfterSend(s.err))
		return nil, s.err
	}
	firstByte := h.Now().Sub(s.start)
	h.Dialect.SetOrigin(s.reply.header, h.Instance, s.ticket.Target.ID, s.id)
	s.reply.end = func(err error) {
		s.cancel(nil)
		o := dispatch.Outcome{Result: dispatch.OK, Latency: h.Now().Sub(s.start), FirstByte: firstByte, Report: s.loadReport()}
		if s.reply.status >= http.StatusInternalServerError {
			o.Result = dispatch.ServerError
		}
		if err != nil {
			o.Result = dispatch.CancelledByCaller
		}
		h.logAnswer(s, o)
		s.releaseSlot(o, err != nil)
	}
	return s.reply, nil
}

// logAnswer tells how the request ran at its target.
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

// milliseconds is how durations are logged.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func dispatchResult(err error) dispatch.Result {
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
