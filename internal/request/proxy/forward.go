package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
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
	remote := to.DataCentre != h.DataCentre
	h.m.forwarded.Inc(1)
	h.Log.WithFields(logrus.Fields{
		"request_id": c.id, "service": c.service.Name, "shift": c.shift,
		"to_instance": to.Instance, "to_dc": to.DataCentre, "hops": c.hops + 1, "version": c.snap.Version,
	}).Info("request forwarded")
	x := exchange{
		transport: h.Peers, scheme: h.PeerScheme, addr: to.PeerAddr,
		header: c.peerHeader(h.Instance, remote, recorded, h.Now()),
	}
	rep, err := x.do(ctx, c)
	if err != nil {
		if errkind.Of(err) == errkind.TargetUnreachable {
			return nil, errkind.Wrap(errkind.TargetUnreachable, errors.Join(errPeerUnreachable, err), "instance %q", to.Instance)
		}
		return nil, err
	}
	if kind := errkind.Kind(rep.header.Get(headerKind)); kind != "" {
		defer rep.finish(nil)
		return nil, &peerError{err: errkind.New(kind, "instance %q refused the request", to.Instance), load: readLoad(rep.header)}
	}
	return rep, nil
}

// peerError is an error answer of another entry with its load.
type peerError struct {
	err  error
	load dispatch.Load
}

func (e *peerError) Error() string { return e.err.Error() }
func (e *peerError) Unwrap() error { return e.err }

func setLoad(h http.Header, l dispatch.Load) {
	h.Set(headerQueued, strconv.Itoa(l.Queued))
	h.Set(headerFree, strconv.Itoa(l.FreeSlots))
	h.Set(headerWait, strconv.FormatInt(l.ExpectedWait.Milliseconds(), 10))
}

func readLoad(h http.Header) dispatch.Load {
	var l dispatch.Load
	l.Queued, _ = strconv.Atoi(h.Get(headerQueued))
	l.FreeSlots, _ = strconv.Atoi(h.Get(headerFree))
	ms, _ := strconv.ParseInt(h.Get(headerWait), 10, 64)
	l.ExpectedWait = time.Duration(ms) * time.Millisecond
	return l
}

// spill tries the other data centres of the service in order of preference.
// It goes on to the next one only if the request provably did not run.
func (h *Handler) spill(ctx context.Context, c *call, refusal error) (*reply, error) {
	attempts := c.service.Retry.MaxAttempts
	for _, dc := range h.Places.Choose(h.Now(), c.snap, c.service.Name, h.DataCentre, c.deadline) {
		if attempts == 0 || ctx.Err() != nil {
			break
		}
		attempts--
		if !h.linkAllows(c, dc, len(c.body)) {
			refusal = errkind.New(errkind.LinkBudgetSpent, "the link to the region of %q has no budget left", dc)
			continue
		}
		rep, err := h.forwardTo(ctx, c, dc)
		if err == nil {
			return h.chargeLink(c, dc, rep), nil
		}
		if errkind.Of(err).Answer().DidRun != errkind.No {
			return nil, err
		}
		refusal = err
	}
	return nil, refusal
}

func (h *Handler) linkAllows(c *call, dc string, bytes int) bool {
	from, to := c.snap.Region(h.DataCentre), c.snap.Region(dc)
	return from == to || h.Links.Allow(from, to, bytes+linkOverheadBytes)
}

// linkOverheadBytes is charged for the heads of a forwarded request.
const linkOverheadBytes = 1024

// chargeLink counts the bytes of an answer against the link on which it
// came. The answer is not held back: it has been paid for by a slot.
func (h *Handler) chargeLink(c *call, dc string, rep *reply) *reply {
	h.linkAllows(c, dc, int(max(rep.length, int64(len(rep.head)))))
	return rep
}

// forwardTo sends the call to the first entry of a data centre that can be
// reached.
func (h *Handler) forwardTo(ctx context.Context, c *call, dc string) (*reply, error) {
	members := c.snap.DispatchOrder(c.service.Name, dc)
	var err error = errkind.New(errkind.NoTarget, "data centre %q has no entry instance", dc)
	for _, m := range members {
		start := h.Now()
		var rep *reply
		rep, err = h.forward(ctx, c, m, c.recorded)
		h.observe(c, dc, start, err)
		if err == nil || !homeMoved(err) {
			return rep, err
		}
	}
	return nil, err
}

func (h *Handler) observe(c *call, dc string, start time.Time, err error) {
	now := h.Now()
	o := ForwardOutcome{Latency: now.Sub(start)}
	if err != nil {
		o.Refused = errkind.Of(err).Answer().DidRun == errkind.No
		o.Failed = !o.Refused
		var pe *peerError
		if errors.As(err, &pe) {
			o.Queued, o.FreeSlots, o.ExpectedWait = pe.load.Queued, pe.load.FreeSlots, pe.load.ExpectedWait
		}
	}
	h.Places.Observe(now, dc, c.service.Name, o)
}

// String names a call in errors.
func (c *call) String() string { return fmt.Sprintf("%s %s%s", c.method, c.service.Name, c.path) }
