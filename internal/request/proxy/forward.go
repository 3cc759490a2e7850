package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
	"github.com/sirupsen/logrus"
)

// errPeerUnreachable marks a forwarded request of which nothing was sent to the
// peer. errPeerNotReachedInTime marks one whose deadline ended the connection
// attempt.
var (
	errPeerUnreachable      = errors.New("peer unreachable")
	errPeerNotReachedInTime = errors.New("peer not reached before the deadline")
)

// forward sends the request to another entry. An error answer of that entry is
// returned as a peerError of the same kind. startRecorded tells the peer that the
// start of the idempotency key is recorded already.
func (h *Handler) forward(ctx context.Context, c *call, peer *fescuepb.Member, startRecorded bool) (*reply, error) {
	if c.hops >= maxHops {
		return nil, errkind.New(errkind.HopLimit, "the request was forwarded %d times already", c.hops)
	}
	remote := c.remote || peer.DataCentre != h.DataCentre
	h.metrics.forwarded.Inc(1)
	logging.Routine(h.Log, logrus.Fields{
		"request_id": c.id, "service": c.service.Name, "shift": c.shift,
		"to_instance": peer.Instance, "to_dc": peer.DataCentre, "hops": c.hops + 1, "version": c.snap.Version,
	}, "request forwarded")
	header := c.peerHeader(h.Instance, remote, startRecorded, h.Now())
	x := exchange{
		transport: h.Peers, addr: peer.PeerAddr, host: c.host, header: header,
		naming: func(resp *http.Response) naming { return peerNaming(resp.Header, header) },
	}
	rep, err := x.do(ctx, c)
	switch errkind.Of(err) {
	case errkind.TargetUnreachable:
		return nil, errkind.Wrap(errkind.TargetUnreachable, errors.Join(errPeerUnreachable, err), "instance %q", peer.Instance)
	case errkind.DeadlineUnmeetable:
		return nil, errkind.Wrap(errkind.DeadlineUnmeetable, errors.Join(errPeerNotReachedInTime, err), "instance %q", peer.Instance)
	}
	if err != nil {
		return nil, err
	}
	c.sends = max(c.sends, readSends(rep.header))
	c.runsOnceElsewhere = c.runsOnceElsewhere || rep.header.Get(headerRunsOnce) != ""
	if kind := errkind.Kind(rep.header.Get(headerKind)); kind != "" {
		defer rep.finish(nil)
		if !rep.proved {
			return nil, errkind.New(errkind.AnswerMismatch, "instance %q wrote a refusal that does not name the request, on a connection with earlier requests", peer.Instance)
		}
		c.provedNotStarted = c.provedNotStarted || rep.header.Get(headerNotRun) != ""
		return nil, &peerError{
			cause:      errkind.New(kind, "instance %q refused the request", peer.Instance),
			load:       readLoad(rep.header),
			retryAfter: readRetryAfter(rep.header),
		}
	}
	rep.header.Del(headerID)
	rep.header.Del(headerForward)
	return rep, nil
}

// readSends returns how often a request was sent to targets in total, 0 if the
// header does not state it.
func readSends(h http.Header) int {
	n, err := strconv.Atoi(h.Get(headerSends))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// peerNaming compares the header of another entry's answer with that of the
// forwarded request. An entry of an earlier version names only the request, which
// may have been forwarded to it before.
func peerNaming(answer, asked http.Header) naming {
	if forward := ForwardID(answer); forward != "" {
		return nameOf(forward, ForwardID(asked))
	}
	return nameOf(answer.Get(headerID), asked.Get(headerID))
}

// ForwardID returns the identifier of one forward of a request to another entry,
// from the header of the request or of its answer.
func ForwardID(h http.Header) string { return h.Get(headerForward) }

// peerError is an error answer of another entry, with the load of that entry.
type peerError struct {
	cause      error
	load       dispatch.Load
	retryAfter time.Duration // 0 if the answer has no hint
}

func (e *peerError) Error() string { return e.cause.Error() }
func (e *peerError) Unwrap() error { return e.cause }

// fromPeer reports whether err is an error answer of another entry. That entry
// has tried the other data centres already.
func fromPeer(err error) bool {
	var pe *peerError
	return errors.As(err, &pe)
}

// setLoadHeaders reports the load of this entry's dispatcher to another entry.
func setLoadHeaders(h http.Header, l dispatch.Load) {
	h.Set(headerQueued, strconv.Itoa(l.Queued))
	h.Set(headerFree, strconv.Itoa(l.FreeSlots))
	h.Set(headerWait, strconv.FormatInt(l.ExpectedWait.Milliseconds(), 10))
}

// readRetryAfter returns after which time another entry allows another attempt, 0
// if it gives no hint.
func readRetryAfter(h http.Header) time.Duration {
	after, _ := dialect.Milliseconds(h.Get(headerRetryAfter)) // 0 if the header is missing
	return after
}

// readHandlingTime returns how long the request was at the other entry, 0 if its
// answer does not state it.
func readHandlingTime(h http.Header) time.Duration {
	us, err := strconv.ParseInt(h.Get(headerHandled), 10, 64)
	if err != nil || us < 0 {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// readLoad returns the load that another entry reports.
func readLoad(h http.Header) dispatch.Load {
	var l dispatch.Load
	l.Queued, _ = strconv.Atoi(h.Get(headerQueued))
	l.FreeSlots, _ = strconv.Atoi(h.Get(headerFree))
	ms, _ := strconv.ParseInt(h.Get(headerWait), 10, 64)
	l.ExpectedWait = time.Duration(ms) * time.Millisecond
	return l
}

// If all candidate data centres have refused a request, they are tried again every
// spillRetryInterval for at most spillRetryTime. Refusals come back quickly, and a
// ramp or a queue may admit the request a moment later.
const (
	spillRetryTime     = time.Second
	spillRetryInterval = 20 * time.Millisecond
)

// spill forwards the request to the other data centres of the service in order of
// preference. If all refuse, it tries them again for up to spillRetryTime, but for
// at most half of the time left. It goes on only while the request provably did
// not run.
// refusal is the error to return if there is no candidate. It is returned at once if
// the targets here pause: waiting does not end a pause.
func (h *Handler) spill(ctx context.Context, c *call, refusal error) (*reply, error) {
	deadline := h.Now().Add(min(spillRetryTime, c.timeLeft(h.Now())/2))
	for {
		rep, err := h.spillOnce(ctx, c)
		if rep != nil {
			return rep, nil
		}
		if err != nil {
			refusal = err
		}
		if err == nil && dispatch.IsPausing(refusal) {
			return nil, refusal
		}
		if errkind.Of(refusal).Response().DidRun != errkind.No || h.Now().After(deadline) || !sleep(ctx, spillRetryInterval) {
			return nil, refusal
		}
	}
}

// spillOnce tries each candidate data centre once. Both results are nil if there
// is no candidate.
func (h *Handler) spillOnce(ctx context.Context, c *call) (*reply, error) {
	var refusal error
	for _, place := range h.candidates(c) {
		if !h.Places.TakeLinkBudget(c.snap, h.DataCentre, place.DataCentre, len(c.body)+linkOverheadBytes) {
			refusal = errkind.New(errkind.LinkBudgetSpent, "the link to the region of %q has no budget left", place.DataCentre)
			continue
		}
		rep, err := h.forwardTo(ctx, c, place.DataCentre)
		if err == nil {
			h.chargeLink(c, place.DataCentre, rep)
			return rep, nil
		}
		refusal = err
		if errkind.Of(err).Response().DidRun != errkind.No {
			break
		}
	}
	return nil, refusal
}

// candidates returns the other data centres that may serve the request.
func (h *Handler) candidates(c *call) []spill.Candidate {
	var load dispatch.Load
	if d := h.Groups.Dispatcher(c.service.Name); d != nil {
		load = d.Load()
	}
	all := h.Places.Choose(h.Now(), c.snap, c.service.Name, h.DataCentre, c.deadline, load)
	out := all[:0]
	for _, p := range all {
		if p.DataCentre != h.DataCentre && c.allowedIn(p.DataCentre) {
			out = append(out, p)
		}
	}
	return out
}

// linkOverheadBytes is charged to the link budget for the request line and the
// header of a forwarded request, in addition to its body.
const linkOverheadBytes = 1024

// chargeLink charges the bytes of an answer to the budget of the link. The answer
// is delivered even if the budget is exhausted, because a slot has already been
// used to produce it.
func (h *Handler) chargeLink(c *call, dc string, rep *reply) {
	h.Places.TakeLinkBudget(c.snap, h.DataCentre, dc, int(max(rep.length, int64(len(rep.buffered)))))
}

// forwardTo forwards the request to the entries of a data centre in their order
// of dispatch, until one of them can be reached and dispatches the service.
func (h *Handler) forwardTo(ctx context.Context, c *call, dc string) (*reply, error) {
	var err error = errkind.New(errkind.NoTarget, "data centre %q has no entry instance", dc)
	for _, m := range c.snap.DispatchOrder(c.service.Name, dc) {
		start := h.Now()
		var rep *reply
		rep, err = h.forward(ctx, c, m, c.startRecorded)
		h.Places.Observe(h.Now(), dc, c.service.Name, forwardOutcome(err, h.Now().Sub(start)))
		if err == nil || !dispatcherMoved(err) {
			return rep, err
		}
	}
	return nil, err
}

// forwardOutcome describes a forward to the chooser of data centres and regions.
// took is the time until the answer.
func forwardOutcome(err error, took time.Duration) spill.Outcome {
	if err == nil {
		return spill.Outcome{Result: spill.Completed, Run: took}
	}
	o := spill.Outcome{Result: spill.NoResponse}
	switch {
	case errors.Is(err, errPeerUnreachable):
		o.Result = spill.Unreachable
	case errkind.Of(err).Response().DidRun == errkind.No:
		o.Result = spill.Refused
	}
	var pe *peerError
	if errors.As(err, &pe) {
		o.Load = &pe.load
		o.RoundTrip = took
	}
	return o
}
