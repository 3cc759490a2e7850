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

// errPeerUnreachable marks a forward for which nothing reached the peer.
var errPeerUnreachable = errors.New("peer unreachable")

// forward sends the call to another entry. An error of that entry comes
// back with its own kind.
func (h *Handler) forward(ctx context.Context, c *call, to *fescuepb.Member, recorded bool) (*reply, error) {
	if c.hops >= maxHops {
		return nil, errkind.New(errkind.HopLimit, "the request was forwarded %d times already", c.hops)
	}
	remote := c.remote || to.DataCentre != h.DataCentre
	h.m.forwarded.Inc(1)
	logging.Routine(h.Log, logrus.Fields{
		"request_id": c.id, "service": c.service.Name, "shift": c.shift,
		"to_instance": to.Instance, "to_dc": to.DataCentre, "hops": c.hops + 1, "version": c.snap.Version,
	}, "request forwarded")
	x := exchange{
		transport: h.Peers, addr: to.PeerAddr, host: c.host,
		header: c.peerHeader(h.Instance, remote, recorded, h.Now()), idOf: forwardedID,
	}
	rep, err := x.do(ctx, c)
	if err != nil {
		if errkind.Of(err) == errkind.TargetUnreachable {
			return nil, errkind.Wrap(errkind.TargetUnreachable, errors.Join(errPeerUnreachable, err), "instance %q", to.Instance)
		}
		return nil, err
	}
	c.sends = max(c.sends, readSends(rep.header))
	if kind := errkind.Kind(rep.header.Get(headerKind)); kind != "" {
		defer rep.finish(nil)
		c.proved = c.proved || rep.header.Get(headerNotRun) != ""
		return nil, &peerError{
			err:        errkind.New(kind, "instance %q refused the request", to.Instance),
			load:       readLoad(rep.header),
			retryAfter: readRetryAfter(rep.header),
		}
	}
	rep.header.Del(headerID)
	return rep, nil
}

// readSends returns to how many targets a request was sent in total, 0 if the
// header does not say.
func readSends(h http.Header) int {
	n, err := strconv.Atoi(h.Get(headerSends))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// forwardedID returns the identifier of the request that another entry's
// answer names.
func forwardedID(resp *http.Response) string { return resp.Header.Get(headerID) }

// peerError is an error answer of another entry with its load.
type peerError struct {
	err        error
	load       dispatch.Load
	retryAfter time.Duration // 0 if it names none
}

func (e *peerError) Error() string { return e.err.Error() }
func (e *peerError) Unwrap() error { return e.err }

// fromPeer reports whether err is the answer of another entry, which has tried
// the other places already.
func fromPeer(err error) bool {
	var pe *peerError
	return errors.As(err, &pe)
}

func setLoad(h http.Header, l dispatch.Load) {
	h.Set(headerQueued, strconv.Itoa(l.Queued))
	h.Set(headerFree, strconv.Itoa(l.FreeSlots))
	h.Set(headerWait, strconv.FormatInt(l.ExpectedWait.Milliseconds(), 10))
}

func readRetryAfter(h http.Header) time.Duration {
	after, _ := dialect.Milliseconds(h.Get(headerRetryAfter)) // without one there is no hint
	return after
}

// readHandled returns how long the request was at the other entry, 0 if it does
// not say.
func readHandled(h http.Header) time.Duration {
	us, err := strconv.ParseInt(h.Get(headerHandled), 10, 64)
	if err != nil || us < 0 {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

func readLoad(h http.Header) dispatch.Load {
	var l dispatch.Load
	l.Queued, _ = strconv.Atoi(h.Get(headerQueued))
	l.FreeSlots, _ = strconv.Atoi(h.Get(headerFree))
	ms, _ := strconv.ParseInt(h.Get(headerWait), 10, 64)
	l.ExpectedWait = time.Duration(ms) * time.Millisecond
	return l
}

// Waiting for a place that admits the request: refusals are quick, and a ramp
// or a queue may admit it a moment later.
const (
	spillWait  = time.Second
	spillPause = 20 * time.Millisecond
)

// spill tries the other data centres of the service in order of preference,
// again for a while if all refuse. It goes on only while the request
// provably did not run.
func (h *Handler) spill(ctx context.Context, c *call, refusal error) (*reply, error) {
	giveUp := h.Now().Add(min(spillWait, c.left(h.Now())/2))
	for {
		rep, err := h.spillOnce(ctx, c)
		if rep != nil {
			return rep, nil
		}
		if err != nil {
			refusal = err
		}
		if errkind.Of(refusal).Answer().DidRun != errkind.No || h.Now().After(giveUp) || !pause(ctx, spillPause) {
			return nil, refusal
		}
	}
}

// spillOnce tries each candidate once. Both results are nil if there is
// none.
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
		if errkind.Of(err).Answer().DidRun != errkind.No {
			break
		}
	}
	return nil, refusal
}

// candidates returns the other data centres that may serve the call.
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

// linkOverheadBytes is charged for the heads of a forwarded request.
const linkOverheadBytes = 1024

// chargeLink counts the bytes of an answer against the link. The answer is
// not held back: a slot has been spent on it.
func (h *Handler) chargeLink(c *call, dc string, rep *reply) {
	h.Places.TakeLinkBudget(c.snap, h.DataCentre, dc, int(max(rep.length, int64(len(rep.head)))))
}

// forwardTo sends the call to the first entry of a data centre that can be
// reached.
func (h *Handler) forwardTo(ctx context.Context, c *call, dc string) (*reply, error) {
	var err error = errkind.New(errkind.NoTarget, "data centre %q has no entry instance", dc)
	for _, m := range c.snap.DispatchOrder(c.service.Name, dc) {
		start := h.Now()
		var rep *reply
		rep, err = h.forward(ctx, c, m, c.recorded)
		h.Places.Observe(h.Now(), dc, c.service.Name, outcome(err, h.Now().Sub(start)))
		if err == nil || !homeMoved(err) {
			return rep, err
		}
	}
	return nil, err
}

func outcome(err error, took time.Duration) spill.Outcome {
	if err == nil {
		return spill.Outcome{Result: spill.Completed, Run: took}
	}
	o := spill.Outcome{Result: spill.NoResponse}
	switch {
	case errors.Is(err, errPeerUnreachable):
		o.Result = spill.Unreachable
	case errkind.Of(err).Answer().DidRun == errkind.No:
		o.Result = spill.Refused
	}
	var pe *peerError
	if errors.As(err, &pe) {
		o.Load = &pe.load
		o.RoundTrip = took
	}
	return o
}
