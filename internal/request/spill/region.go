package spill

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Mode says which slot a region is asked for.
type Mode int

// The modes, in the order in which they are tried.
const (
	InTime  Mode = iota // a slot that meets the latency objective, after queueing if necessary
	AnySlot             // a slot that is free now, even though the latency objective is missed
)

// String returns the name of a mode in log lines and refusals.
func (m Mode) String() string { return [...]string{"in time", "any slot"}[m] }

// AttemptKey identifies an attempt: a region and the mode in which it is asked.
type AttemptKey struct {
	Region string
	Mode   Mode
}

// Attempt describes one attempt to get a slot in a region.
type Attempt struct {
	AttemptKey
	OwnRegion bool          // the region is the sender's own
	Expected  time.Duration // estimated time until the response
	RoundTrip time.Duration // network round trip to the region; 0 for the own region
	Placed    bool          // the region is the one in which the request is placed, so the limit on moves did not apply
	// Unlimited is set if the share of requests that may move did not apply, because
	// too few slots of the own region are left.
	Unlimited bool
}

// RegionQuery describes a request for which a region is to be chosen.
type RegionQuery struct {
	Service string
	Route   string // name of the route, for its running times
	Region  string // region of the sender
	// Objective is the time left to meet the latency objective. It is 0 or less
	// if the objective has been missed already.
	Objective time.Duration
	Deadline  time.Duration // time left until the deadline
	Remote    bool          // the request came from another region, so it is not forwarded again
	HasObject bool          // the request is about an object that targets may have cached
	// Object decides in which region the request is placed: the object that it is about,
	// or its identifier. "" means that it is not placed.
	Object         string
	RouteObjective time.Duration // latency objective of the route; 0: none
	Load           dispatch.Load // load in the sender's region
	// Allowed reports whether the route of the request permits a region at all.
	Allowed func(region string) bool
	Tried   map[AttemptKey]bool // attempts made already
	// ShiftAllowed reports whether the request may run in a region without
	// exceeding the share of requests that may move between regions within a
	// window. If it is nil, there is no such limit.
	ShiftAllowed func(region string) bool
}

// interRegionPenalty is added to the estimated time of other regions, because
// traffic between regions has a price. Another region is preferred only if its
// response is expected earlier by more than this.
const interRegionPenalty = 15 * time.Millisecond

// regionFailedPercent is the percentage of failed slots from which a region
// counts as failed. Its requests may then move to other regions without the
// limit on the share that moves, because too few slots of the own region are
// left to serve them.
const regionFailedPercent = 50

// regionOption is a region that may serve a request.
type regionOption struct {
	region    string
	ownRegion bool
	wait      time.Duration // expected wait for a slot
	roundTrip time.Duration // network round trip; 0 for the own region
	run       time.Duration // typical running time; 0: unknown
	inTime    bool          // of the own region: the objective is expected to be met there
	placed    bool          // of another region: the request is placed there, see placement
}

// cost returns the estimate by which options are ordered: the wait for a slot,
// and for other regions the round trip and interRegionPenalty. The own region comes first
// as long as the objective can be met there: the objects of its callers are cached at its
// targets, and a request that moves displaces others from the caches elsewhere.
func (o regionOption) cost() time.Duration {
	if o.ownRegion {
		if o.inTime {
			return 0
		}
		return o.wait
	}
	return o.wait + o.roundTrip + interRegionPenalty
}

// NextAttempt returns the next attempt for a request, or false if no untried
// region and mode is eligible. It tries all regions with InTime before any with
// AnySlot.
func (c *Chooser) NextAttempt(now time.Time, snap *snapshot.Snapshot, q RegionQuery) (Attempt, bool) {
	shiftAllowed := q.ShiftAllowed
	if q.Load.FailedPercent >= regionFailedPercent {
		shiftAllowed = nil
	}
	options, placed := c.regionOptions(now, snap, q)
	options = placedFirst(orderWithinShiftLimit(options, placed, shiftAllowed), placed, q.Objective)
	for _, mode := range []Mode{InTime, AnySlot} {
		for _, o := range options {
			attempt := Attempt{AttemptKey: AttemptKey{o.region, mode}, OwnRegion: o.ownRegion, Expected: o.wait + o.roundTrip + o.run, RoundTrip: o.roundTrip, Placed: o.region == placed, Unlimited: shiftAllowed == nil}
			if !q.Tried[attempt.AttemptKey] && eligible(mode, o, q) {
				return attempt, true
			}
		}
	}
	return Attempt{}, false
}

// orderWithinShiftLimit orders options by cost. If the own region is among
// them, a region that has no allowance left is omitted, or comes last if it is
// the own one. The region in which the request is placed needs no allowance. A nil
// shiftAllowed means no limit.
func orderWithinShiftLimit(options []regionOption, placed string, shiftAllowed func(region string) bool) []regionOption {
	slices.SortStableFunc(options, func(a, b regionOption) int { return cmp.Compare(a.cost(), b.cost()) })
	if shiftAllowed == nil || !slices.ContainsFunc(options, func(o regionOption) bool { return o.ownRegion }) {
		return options
	}
	out, deferred := options[:0:0], options[:0:0]
	for _, o := range options {
		switch {
		case o.region == placed, shiftAllowed(o.region):
			out = append(out, o)
		case o.ownRegion:
			deferred = append(deferred, o)
		}
	}
	return append(out, deferred...)
}

// eligible reports whether a region may be asked in a mode. In the own region, and in
// the one in which the request is placed, InTime needs no estimate of the running time:
// the dispatcher knows better whether the objective can be met.
func eligible(mode Mode, o regionOption, q RegionQuery) bool {
	if mode == AnySlot {
		return o.wait == 0 && o.roundTrip+o.run < q.Deadline
	}
	if o.ownRegion {
		return q.Objective > 0
	}
	if o.placed {
		return true
	}
	run := o.run
	if q.HasObject {
		run *= uncachedRunFactor
	}
	return o.wait+o.roundTrip+run < q.Objective
}

// uncachedRunFactor is how much longer than usual a request for an object is expected to
// run in another region, whose targets have usually not handled the object.
const uncachedRunFactor = 2

// regionOptions returns the allowed regions that have targets of the service
// and may get requests now, and the region in which the request is placed.
func (c *Chooser) regionOptions(now time.Time, snap *snapshot.Snapshot, q RegionQuery) (out []regionOption, placed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	placed = c.placedRegion(now, snap, q)
	for _, region := range snap.Regions() {
		if !q.Allowed(region) || !hasActiveTarget(snap, q.Service, region) {
			continue
		}
		if region == q.Region {
			if !q.Load.Draining {
				wait, run := q.Load.ExpectedWait, c.runTime(q, region)
				out = append(out, regionOption{region: region, ownRegion: true, wait: wait, run: run, inTime: wait+run < q.Objective})
			}
			continue
		}
		if o, ok := c.otherRegionOption(now, snap, q, region); ok && !q.Remote {
			out = append(out, o)
		}
	}
	return out, placed
}

// hasActiveTarget reports whether a data centre of the region has a target of
// the service and is not drained for it.
func hasActiveTarget(snap *snapshot.Snapshot, service, region string) bool {
	return slices.ContainsFunc(snap.DataCentres(region), func(dc string) bool {
		return len(snap.Targets(service, dc)) > 0 && !snap.ServiceDrained(service, dc)
	})
}

// otherRegionOption returns the option for another region, estimated from the
// outcomes of earlier requests there, or false while the region is in back-off
// or draining. Without recent observations no wait is assumed.
func (c *Chooser) otherRegionOption(now time.Time, snap *snapshot.Snapshot, q RegionQuery, region string) (regionOption, bool) {
	o := regionOption{region: region, roundTrip: c.regionRoundTrip(snap, q.Region, region), run: c.runTime(q, region)}
	d := c.destinations[destinationKey{region, q.Service}]
	if d == nil {
		return o, true
	}
	if !d.available(now) {
		return o, false
	}
	o.wait = d.expectedWait(now)
	return o, true
}

// ObserveRun records how long a request of a route took in a region, without the network.
func (c *Chooser) ObserveRun(region, route string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := routeRegion{region, route}
	if _, known := c.runTimes[key]; !known && len(c.runTimes) >= maxRunTimes {
		clear(c.runTimes)
	}
	c.runTimes[key] = movingAverage(c.runTimes[key], took)
}

// runTime returns the typical running time of a request in a region: that of its route
// there, or in the own region, or that of the service. The routes of a service differ too
// much for one value: the longest would rule out regions for the shortest.
func (c *Chooser) runTime(q RegionQuery, region string) time.Duration {
	for _, r := range []string{region, q.Region} {
		if run := c.runTimes[routeRegion{r, q.Route}]; run > 0 {
			return run
		}
	}
	return q.Load.Run
}

// regionRoundTrip returns the measured round trip to a region. Without a
// measurement it returns twice the link delay of the steering document, or
// defaultOtherRegionRoundTrip if the document has none.
func (c *Chooser) regionRoundTrip(snap *snapshot.Snapshot, from, to string) time.Duration {
	if rt, ok := c.roundTrips[to]; ok {
		return rt
	}
	for _, l := range snap.Links {
		if l.From == from && l.To == to && l.DelayMs > 0 {
			return 2 * time.Duration(l.DelayMs) * time.Millisecond
		}
	}
	return defaultOtherRegionRoundTrip
}
