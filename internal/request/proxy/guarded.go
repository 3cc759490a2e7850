package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
)

// Guarded finds the dispatchers of services whose targets guard their slots.
type Guarded interface {
	// Slots returns the slots of a service in this entry's region, or nil.
	Slots(service string) dispatch.Slots
	// Near returns the entries of another region to send a request to, best
	// first. Requests are spread by key.
	Near(region, key string) []*fescuepb.Member
	// Suspect notes that an entry could not be reached.
	Suspect(instance string)
}

// maxSteps bounds the places that are asked for one request.
const maxRegionAttempts = 6

// runGuarded runs a request of a service whose targets guard their slots. It
// asks one region after another for a slot while the request provably did not
// run, the one from which the answer is expected first coming first.
func (h *Handler) runInRegions(ctx context.Context, c *call) (*reply, error) {
	var refusal error = errkind.New(errkind.NoTarget, "no region takes requests of service %q", c.service.Name)
	tried := map[spill.Ask]bool{}
	if !c.remote {
		h.Shares.Arrived(h.Now())
	}
	for range maxRegionAttempts {
		step, ok := h.Places.Next(h.Now(), c.snap, h.spillQuery(c, tried))
		if !ok || ctx.Err() != nil {
			break
		}
		c.step = step
		sendsBefore := c.sends
		if !step.Near { // otherwise it counts when it has a slot
			h.countShare(c)
		}
		rep, err := h.askRegion(ctx, c, step)
		if err == nil {
			return rep, nil
		}
		h.uncountShare(c)
		c.refusals = append(c.refusals, step.Region+", "+step.Mode.String()+": "+err.Error())
		refusal = earlierRetry(refusal, err)
		if !h.mayTryNextRegion(ctx, c, sendsBefore, err) {
			refusal = err
			break
		}
		tried[step.Ask] = true
	}
	if c.mayHaveRun != nil {
		return nil, c.mayHaveRun // a refusal would claim that it has not run
	}
	if !c.remote {
		h.Shares.Refused(h.Now())
	}
	return nil, refusal
}

// noteShare notes the region in which a request of this entry's callers runs.
func (h *Handler) countShare(c *call) {
	if !c.remote && c.releaseShare == nil {
		c.releaseShare = h.Shares.Ran(h.Now(), c.step.Region)
	}
}

// unnoteShare takes noteShare back for a request that another region may get.
func (h *Handler) uncountShare(c *call) {
	if c.releaseShare != nil {
		c.releaseShare(h.Now())
		c.releaseShare = nil
	}
}

// mayMoveOn decides whether another place may be asked after err. before is the
// number of sends to targets before this place was asked. What another entry
// has sent counts like this entry's own sends.
func (h *Handler) mayTryNextRegion(ctx context.Context, c *call, sendsBefore int, err error) bool {
	notRun := errkind.Of(err).Answer().DidRun == errkind.No
	switch {
	case c.noMoreSends:
		return false
	case c.step.Near: // attempts has decided about what was sent here
		return notRun
	case notRun && c.sends == sendsBefore:
		return true
	case !notRun:
		c.mayHaveRun = err
		c.sends = max(c.sends, sendsBefore+1)
	}
	return h.mayRetry(ctx, c, c.sends, err)
}

// moreUseful returns the refusal to answer with: the one that says soonest when
// to come back.
func earlierRetry(a, b error) error {
	after := func(err error) time.Duration {
		if d, ok := dispatch.RetryAfter(err); ok {
			return d
		}
		return time.Hour
	}
	if after(a) < after(b) {
		return a
	}
	return b
}

func (h *Handler) spillQuery(c *call, tried map[spill.Ask]bool) spill.Query {
	now := h.Now()
	q := spill.Query{
		Service: c.service.Name, Region: c.snap.Region(h.DataCentre),
		Objective: c.objective.Sub(now), Deadline: c.timeLeft(now), Remote: c.remote, Allowed: c.route.AllowedIn, Tried: tried,
	}
	if !c.remote {
		q.May = h.Shares.May
	}
	if s := h.Guarded.Slots(c.service.Name); s != nil {
		q.Load = s.Load()
	}
	return q
}

// take asks one region and runs the request there.
func (h *Handler) askRegion(ctx context.Context, c *call, step spill.Step) (*reply, error) {
	if !step.Near {
		return h.forwardToRegion(ctx, c, step.Region)
	}
	s := h.Guarded.Slots(c.service.Name)
	if s == nil {
		return nil, errkind.New(errkind.NotReady, "service %q is not in the version in force", c.service.Name)
	}
	return h.dispatch(ctx, c, s)
}

// forwardNear sends the request to an entry of another region, which asks its
// dispatcher.
func (h *Handler) forwardToRegion(ctx context.Context, c *call, region string) (*reply, error) {
	var err error = errkind.New(errkind.NoTarget, "no entry of region %q is known", region)
	for _, m := range h.Guarded.Near(region, c.id) {
		start := h.Now()
		var rep *reply
		rep, err = h.forward(ctx, c, m, false)
		h.Places.Observe(h.Now(), region, c.service.Name, regionOutcome(rep, err, h.Now().Sub(start)))
		if err == nil || !errors.Is(err, errPeerUnreachable) {
			return rep, err
		}
		h.Guarded.Suspect(m.Instance)
	}
	return nil, err
}

// farOutcome is what a request to another region met, with the load that its
// answer or refusal tells.
func regionOutcome(rep *reply, err error, took time.Duration) spill.Outcome {
	o := forwardOutcome(err, took)
	if rep != nil {
		load := readLoad(rep.header)
		o.Load, o.Run = &load, 0
		if handled := readHandlingTime(rep.header); handled > 0 {
			o.RoundTrip = max(took-handled, 0)
		}
	}
	return o
}
