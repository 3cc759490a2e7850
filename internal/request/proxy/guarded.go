package proxy

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
	"github.com/sirupsen/logrus"
)

// Guarded finds the dispatchers of services with guarded_slots. The targets of
// such a service refuse requests that exceed their slots, and prove that these
// requests did not run.
type Guarded interface {
	// Slots returns the slots of a service in this entry's region for a request about
	// an object, or nil. The object is "" if the request has none.
	Slots(service, object string) dispatch.Slots
	// RegionEntries returns the entries of another region to which a request may be
	// forwarded, in order of preference. The key spreads requests over them.
	RegionEntries(region, key string) []*fescuepb.Member
	// MarkUnreachable records that an entry could not be reached, so that
	// RegionEntries leaves it out for a short time.
	MarkUnreachable(instance string)
}

// maxRegionAttempts bounds how many regions are asked for one request. A region
// counts once for each mode in which it is asked.
const maxRegionAttempts = 6

// refusedAtOnce is the time within which a dispatcher's refusal means that the request was
// not queued. After a longer time slots may have become free.
const refusedAtOnce = 50 * time.Millisecond

// runInRegions runs a request of a service with guarded_slots. It asks one region
// after another for a slot, beginning with the one whose answer is expected
// earliest. It asks a further region only if the request provably did not run or
// may be retried.
func (h *Handler) runInRegions(ctx context.Context, c *call) (*reply, error) {
	var refusal error = errkind.New(errkind.NoTarget, "no region takes requests of service %q", c.service.Name)
	tried := map[spill.AttemptKey]bool{}
	for range maxRegionAttempts {
		step, ok := h.Places.NextAttempt(h.Now(), c.snap, h.spillQuery(c, tried))
		if !ok || ctx.Err() != nil {
			break
		}
		c.step = step
		sendsBefore, asked := c.sends, h.Now()
		if !step.OwnRegion { // in the own region, it is counted once it has a slot
			h.countShare(c)
		}
		rep, err := h.askRegion(ctx, c, step)
		if err == nil {
			return rep, nil
		}
		h.settleShare(c, err)
		c.refusals = append(c.refusals, step.Region+", "+step.Mode.String()+": "+err.Error())
		refusal = earlierRetry(refusal, err)
		if !h.mayTryNextRegion(ctx, c, sendsBefore, err) {
			refusal = err
			break
		}
		tried[step.AttemptKey] = true
		if _, refused := dispatch.RetryAfter(err); refused && step.OwnRegion && (h.Now().Sub(asked) < refusedAtOnce || dispatch.IsOverloaded(err)) {
			// The dispatcher found no slot for the request that is free now, or is late.
			tried[spill.AttemptKey{Region: step.Region, Mode: spill.AnySlot}] = true
		}
	}
	return nil, refusal
}

// countShare counts the request in the share of the region that runs it.
// A request from another data centre is counted by the entry that forwarded it.
func (h *Handler) countShare(c *call) {
	if !c.remote && c.releaseShare == nil {
		c.releaseShare = h.Shares.RecordRun(h.Now(), c.step.Region, c.step.Unlimited)
	}
}

// settleShare ends the count of a request for which a region returned err. The request
// remains counted unless err proves that it did not run there.
func (h *Handler) settleShare(c *call, err error) {
	if c.releaseShare != nil && errkind.Of(err).Response().DidRun == errkind.No {
		c.releaseShare(h.Now())
	}
	c.releaseShare = nil
}

// mayTryNextRegion decides whether another region may be asked after err.
// sendsBefore is the number of sends to targets before the last region was asked.
// The sends of other entries count like those of this entry. If err does not prove
// that the request did not run, at least one send is counted, because an entry
// that was lost could not report its sends.
func (h *Handler) mayTryNextRegion(ctx context.Context, c *call, sendsBefore int, err error) bool {
	notRun := errkind.Of(err).Response().DidRun == errkind.No
	switch {
	case c.noMoreSends, errkind.Of(err) == errkind.RequestQuarantined:
		return false
	case c.step.OwnRegion: // runAttempts has already decided about retries in the own region
		return notRun
	case notRun && c.sends == sendsBefore:
		return true
	case !notRun:
		c.mayHaveRun = err
		c.sends = max(c.sends, sendsBefore+1)
	}
	return h.mayRetry(ctx, c, c.sends, err)
}

// earlierRetry returns the refusal that allows the earlier retry. A refusal
// without a hint counts as one hour; b is preferred if both are equal.
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

// spillQuery describes the request to the chooser of regions. tried holds the
// regions and modes that must not be asked again.
func (h *Handler) spillQuery(c *call, tried map[spill.AttemptKey]bool) spill.RegionQuery {
	now := h.Now()
	q := spill.RegionQuery{
		Service: c.service.Name, Route: c.route.Name, Region: c.snap.Region(h.DataCentre),
		Objective: c.objective.Sub(now), Deadline: c.timeLeft(now), Remote: c.remote, Allowed: c.route.AllowedIn, Tried: tried,
		HasObject: c.affinity != "", Object: cmp.Or(c.affinity, c.id), RouteObjective: c.route.LatencyObjective,
	}
	if !c.remote {
		q.ShiftAllowed = func(region string) bool { return h.Shares.Allows(now, region) }
	}
	if s := h.Guarded.Slots(c.service.Name, c.affinity); s != nil {
		q.Load = s.Load()
	}
	return q
}

// askRegion asks one region for a slot and runs the request there.
func (h *Handler) askRegion(ctx context.Context, c *call, step spill.Attempt) (*reply, error) {
	if !step.OwnRegion {
		return h.forwardToRegion(ctx, c, step.Region)
	}
	s := h.Guarded.Slots(c.service.Name, c.affinity)
	if s == nil {
		return nil, errkind.New(errkind.NotReady, "service %q is not in the version in force", c.service.Name)
	}
	return h.dispatch(ctx, c, s)
}

// forwardToRegion forwards the request to the first entry of another region that
// can be reached.
func (h *Handler) forwardToRegion(ctx context.Context, c *call, region string) (*reply, error) {
	var err error = errkind.New(errkind.NoTarget, "no entry of region %q is known", region)
	for _, m := range h.Guarded.RegionEntries(region, c.id) {
		start := h.Now()
		h.logMove(c, region)
		var rep *reply
		rep, err = h.forward(ctx, c, m, false)
		h.Places.Observe(h.Now(), region, c.service.Name, regionOutcome(rep, err, h.Now().Sub(start)))
		if err == nil {
			h.observeRun(c, region, readHandlingTime(rep.header))
		}
		if err == nil || !errors.Is(err, errPeerUnreachable) {
			return rep, err
		}
		h.Guarded.MarkUnreachable(m.Instance)
	}
	return nil, err
}

// observeRun records how long the request took in a region, if that is known.
func (h *Handler) observeRun(c *call, region string, took time.Duration) {
	if c.service.GuardedSlots && took > 0 {
		h.Places.ObserveRun(region, c.route.Name, took)
	}
}

// logMove logs why the request may run in another region.
func (h *Handler) logMove(c *call, region string) {
	fields := logrus.Fields{"request_id": c.id, "service": c.service.Name, "region": region, "mode": c.step.Mode.String(), "placed": c.step.Placed}
	if !c.remote {
		a := h.Shares.Allowances(region)
		fields["shift_unlimited"], fields["shift_region"], fields["shift_own_region"] = c.step.Unlimited, a.Region, a.OwnRegion
		fields["shift_region_share"], fields["shift_recent"] = a.RegionShare, a.Recent
	}
	logging.Routine(h.Log, fields, "request moves to another region")
}

// regionOutcome describes a forward to another region, with the load that the
// answer or the refusal reports. The round trip is the time until the answer less
// the time that the other entry needed.
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
