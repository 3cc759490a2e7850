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
const maxSteps = 6

// runGuarded runs a request of a service whose targets guard their slots. It
// asks one region after another for a slot while the request provably did not
// run, the one from which the answer is expected first coming first.
func (h *Handler) runGuarded(ctx context.Context, c *call) (*reply, error) {
	var refusal error = errkind.New(errkind.NoTarget, "no region takes requests of service %q", c.service.Name)
	tried := map[spill.AttemptKey]bool{}
	if !c.remote {
		h.Shares.RecordArrival(h.Now())
	}
	for range maxSteps {
		step, ok := h.Places.NextAttempt(h.Now(), c.snap, h.query(c, tried))
		if !ok || ctx.Err() != nil {
			break
		}
		c.step = step
		before := c.sends
		if !step.OwnRegion { // otherwise it counts when it has a slot
			h.noteShare(c)
		}
		rep, err := h.take(ctx, c, step)
		if err == nil {
			return rep, nil
		}
		h.unnoteShare(c)
		c.trail = append(c.trail, step.Region+", "+step.Mode.String()+": "+err.Error())
		refusal = moreUseful(refusal, err)
		if !h.mayMoveOn(ctx, c, before, err) {
			refusal = err
			break
		}
		tried[step.AttemptKey] = true
	}
	if c.mayRan != nil {
		return nil, c.mayRan // a refusal would claim that it has not run
	}
	if !c.remote {
		h.Shares.RecordRefusal(h.Now())
	}
	return nil, refusal
}

// noteShare notes the region in which a request of this entry's callers runs.
func (h *Handler) noteShare(c *call) {
	if !c.remote && c.undoShare == nil {
		c.undoShare = h.Shares.RecordRun(h.Now(), c.step.Region)
	}
}

// unnoteShare takes noteShare back for a request that another region may get.
func (h *Handler) unnoteShare(c *call) {
	if c.undoShare != nil {
		c.undoShare(h.Now())
		c.undoShare = nil
	}
}

// mayMoveOn decides whether another place may be asked after err. before is the
// number of sends to targets before this place was asked. What another entry
// has sent counts like this entry's own sends.
func (h *Handler) mayMoveOn(ctx context.Context, c *call, before int, err error) bool {
	notRun := errkind.Of(err).Answer().DidRun == errkind.No
	switch {
	case c.lastSend:
		return false
	case c.step.OwnRegion: // attempts has decided about what was sent here
		return notRun
	case notRun && c.sends == before:
		return true
	case !notRun:
		c.mayRan = err
		c.sends = max(c.sends, before+1)
	}
	return h.mayRetry(ctx, c, c.sends, err)
}

// moreUseful returns the refusal to answer with: the one that says soonest when
// to come back.
func moreUseful(a, b error) error {
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

func (h *Handler) query(c *call, tried map[spill.AttemptKey]bool) spill.RegionQuery {
	now := h.Now()
	q := spill.RegionQuery{
		Service: c.service.Name, Region: c.snap.Region(h.DataCentre),
		Objective: c.objective.Sub(now), Deadline: c.left(now), Remote: c.remote, Allowed: c.route.AllowedIn, Tried: tried,
	}
	if !c.remote {
		q.ShiftAllowed = h.Shares.Allows
	}
	if s := h.Guarded.Slots(c.service.Name); s != nil {
		q.Load = s.Load()
	}
	return q
}

// take asks one region and runs the request there.
func (h *Handler) take(ctx context.Context, c *call, step spill.Attempt) (*reply, error) {
	if !step.OwnRegion {
		return h.forwardNear(ctx, c, step.Region)
	}
	s := h.Guarded.Slots(c.service.Name)
	if s == nil {
		return nil, errkind.New(errkind.NotReady, "service %q is not in the version in force", c.service.Name)
	}
	return h.dispatch(ctx, c, s)
}

// forwardNear sends the request to an entry of another region, which asks its
// dispatcher.
func (h *Handler) forwardNear(ctx context.Context, c *call, region string) (*reply, error) {
	var err error = errkind.New(errkind.NoTarget, "no entry of region %q is known", region)
	for _, m := range h.Guarded.Near(region, c.id) {
		start := h.Now()
		var rep *reply
		rep, err = h.forward(ctx, c, m, false)
		h.Places.Observe(h.Now(), region, c.service.Name, farOutcome(rep, err, h.Now().Sub(start)))
		if err == nil || !errors.Is(err, errPeerUnreachable) {
			return rep, err
		}
		h.Guarded.Suspect(m.Instance)
	}
	return nil, err
}

// farOutcome is what a request to another region met, with the load that its
// answer or refusal tells.
func farOutcome(rep *reply, err error, took time.Duration) spill.Outcome {
	o := outcome(err, took)
	if rep != nil {
		load := readLoad(rep.header)
		o.Load, o.Run = &load, 0
		if handled := readHandled(rep.header); handled > 0 {
			o.RoundTrip = max(took-handled, 0)
		}
	}
	return o
}
