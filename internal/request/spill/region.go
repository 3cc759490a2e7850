package spill

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Mode is how a region is asked for a slot.
type Mode int

// The modes.
const (
	InTime  Mode = iota // a slot with which the objective can be met, after a wait if need be
	AnySlot             // a slot that is free now, although the objective is missed
)

// String names a mode in logs.
func (m Mode) String() string { return [...]string{"in time", "any slot"}[m] }

// Ask is a region with the mode in which it is asked.
type AttemptKey struct {
	Region string
	Mode   Mode
}

// Step asks one region.
type Attempt struct {
	AttemptKey
	OwnRegion bool          // the sender's own region
	Expected  time.Duration // until the answer, as far as it is known
	RoundTrip time.Duration // round trip
}

// Query describes a request that needs a region.
type RegionQuery struct {
	Service string
	Region  string // of the sender
	// Objective is the time left to meet the latency objective; 0 or less if it
	// is missed already.
	Objective time.Duration
	Deadline  time.Duration // time left
	Remote    bool          // came from another region and goes to no third one
	Load      dispatch.Load // of the sender's region
	Allowed   func(region string) bool
	Tried     map[AttemptKey]bool
	// May reports whether the request may run in a region without moving too
	// large a share of the requests at once; nil: in any.
	ShiftAllowed func(region string) bool
}

// preferNear is how much sooner the answer of another region must be expected:
// traffic between regions has a price.
const interRegionPenalty = 15 * time.Millisecond

// failedRegion is the percentage of a region's slots that must have failed for
// its requests to move to other regions without regard to the share that may
// move at once: there is nothing left at home that serves them.
const regionFailedPercent = 50

// option is a region that may serve a request.
type regionOption struct {
	region    string
	ownRegion bool
	wait      time.Duration // for a slot
	roundTrip time.Duration // round trip
}

func (o regionOption) cost() time.Duration {
	if o.ownRegion {
		return o.wait
	}
	return o.wait + o.roundTrip + interRegionPenalty
}

// Next returns the next step for a request, or false if no region is left that
// is worth asking.
func (c *Chooser) NextAttempt(now time.Time, snap *snapshot.Snapshot, q RegionQuery) (Attempt, bool) {
	shiftAllowed := q.ShiftAllowed
	if q.Load.FailedPercent >= regionFailedPercent {
		shiftAllowed = nil
	}
	options := orderWithinShiftLimit(c.regionOptions(now, snap, q), shiftAllowed)
	for _, mode := range []Mode{InTime, AnySlot} {
		for _, o := range options {
			s := Attempt{AttemptKey: AttemptKey{o.region, mode}, OwnRegion: o.ownRegion, Expected: o.wait + o.roundTrip + q.Load.Run, RoundTrip: o.roundTrip}
			if !q.Tried[s.AttemptKey] && eligible(mode, o, q) {
				return s, true
			}
		}
	}
	return Attempt{}, false
}

// inShare orders options by preference. A region that may not get more requests
// now is left out, or comes last if it is the own one.
func orderWithinShiftLimit(options []regionOption, shiftAllowed func(region string) bool) []regionOption {
	slices.SortStableFunc(options, func(a, b regionOption) int { return cmp.Compare(a.cost(), b.cost()) })
	if shiftAllowed == nil || !slices.ContainsFunc(options, func(o regionOption) bool { return o.ownRegion }) {
		return options
	}
	out, deferred := options[:0:0], options[:0:0]
	for _, o := range options {
		switch {
		case shiftAllowed(o.region):
			out = append(out, o)
		case o.ownRegion:
			deferred = append(deferred, o)
		}
	}
	return append(out, deferred...)
}

// worth reports whether a region may be asked in a mode. The own dispatcher
// knows better than any estimate whether the objective can be met.
func eligible(mode Mode, o regionOption, q RegionQuery) bool {
	if mode == AnySlot {
		return o.wait == 0 && o.roundTrip+q.Load.Run < q.Deadline
	}
	if o.ownRegion {
		return q.Objective > 0
	}
	return o.wait+o.roundTrip+q.Load.Run < q.Objective
}

// options returns the regions that have targets of the service.
func (c *Chooser) regionOptions(now time.Time, snap *snapshot.Snapshot, q RegionQuery) []regionOption {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []regionOption
	for _, region := range snap.Regions() {
		if !q.Allowed(region) || !hasActiveTarget(snap, q.Service, region) {
			continue
		}
		if region == q.Region {
			if !q.Load.Draining {
				out = append(out, regionOption{region: region, ownRegion: true, wait: q.Load.ExpectedWait})
			}
			continue
		}
		if o, ok := c.otherRegionOption(now, snap, q, region); ok && !q.Remote {
			out = append(out, o)
		}
	}
	return out
}

// takes reports whether a region has a target of the service that is not
// drained.
func hasActiveTarget(snap *snapshot.Snapshot, service, region string) bool {
	return slices.ContainsFunc(snap.DataCentres(region), func(dc string) bool {
		return len(snap.Targets(service, dc)) > 0 && !snap.PlaceDrained(service, dc)
	})
}

// far returns the option of another region from what requests met there.
// Without fresh news it counts as free.
func (c *Chooser) otherRegionOption(now time.Time, snap *snapshot.Snapshot, q RegionQuery, region string) (regionOption, bool) {
	o := regionOption{region: region, roundTrip: c.regionRoundTrip(snap, q.Region, region)}
	p := c.destinations[destinationKey{region, q.Service}]
	if p == nil {
		return o, true
	}
	if !p.available(now) {
		return o, false
	}
	o.wait = p.expectedWait(now)
	return o, true
}

// roundTripTo returns the measured round trip to a region, or else the
// document's.
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
