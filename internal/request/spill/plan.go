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
type Ask struct {
	Region string
	Mode   Mode
}

// Step asks one region.
type Step struct {
	Ask
	Near     bool          // the sender's own region
	Expected time.Duration // until the answer, as far as it is known
	Travel   time.Duration // round trip
}

// Query describes a request that needs a region.
type Query struct {
	Service string
	Region  string // of the sender
	// Objective is the time left to meet the latency objective; 0 or less if it
	// is missed already.
	Objective time.Duration
	Deadline  time.Duration // time left
	Remote    bool          // came from another region and goes to no third one
	Load      dispatch.Load // of the sender's region
	Allowed   func(region string) bool
	Tried     map[Ask]bool
	// May reports whether the request may run in a region without moving too
	// large a share of the requests at once; nil: in any.
	May func(region string) bool
}

// preferNear is how much sooner the answer of another region must be expected:
// traffic between regions has a price.
const preferNear = 15 * time.Millisecond

// failedRegion is the percentage of a region's slots that must have failed for
// its requests to move to other regions without regard to the share that may
// move at once: there is nothing left at home that serves them.
const failedRegion = 50

// option is a region that may serve a request.
type option struct {
	region string
	near   bool
	wait   time.Duration // for a slot
	travel time.Duration // round trip
}

func (o option) cost() time.Duration {
	if o.near {
		return o.wait
	}
	return o.wait + o.travel + preferNear
}

// Next returns the next step for a request, or false if no region is left that
// is worth asking.
func (c *Chooser) Next(now time.Time, snap *snapshot.Snapshot, q Query) (Step, bool) {
	may := q.May
	if q.Load.FailedPercent >= failedRegion {
		may = nil
	}
	options := inShare(c.options(now, snap, q), may)
	for _, mode := range []Mode{InTime, AnySlot} {
		for _, o := range options {
			s := Step{Ask: Ask{o.region, mode}, Near: o.near, Expected: o.wait + o.travel + q.Load.Run, Travel: o.travel}
			if !q.Tried[s.Ask] && worth(mode, o, q) {
				return s, true
			}
		}
	}
	return Step{}, false
}

// inShare orders options by preference. A region that may not get more requests
// now is left out, or comes last if it is the own one.
func inShare(options []option, may func(region string) bool) []option {
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost(), b.cost()) })
	if may == nil || !slices.ContainsFunc(options, func(o option) bool { return o.near }) {
		return options
	}
	out, last := options[:0:0], options[:0:0]
	for _, o := range options {
		switch {
		case may(o.region):
			out = append(out, o)
		case o.near:
			last = append(last, o)
		}
	}
	return append(out, last...)
}

// worth reports whether a region may be asked in a mode. The own dispatcher
// knows better than any estimate whether the objective can be met.
func worth(mode Mode, o option, q Query) bool {
	if mode == AnySlot {
		return o.wait == 0 && o.travel+q.Load.Run < q.Deadline
	}
	if o.near {
		return q.Objective > 0
	}
	return o.wait+o.travel+q.Load.Run < q.Objective
}

// options returns the regions that have targets of the service.
func (c *Chooser) options(now time.Time, snap *snapshot.Snapshot, q Query) []option {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []option
	for _, region := range snap.Regions() {
		if !q.Allowed(region) || !takes(snap, q.Service, region) {
			continue
		}
		if region == q.Region {
			if !q.Load.Draining {
				out = append(out, option{region: region, near: true, wait: q.Load.ExpectedWait})
			}
			continue
		}
		if o, ok := c.far(now, snap, q, region); ok && !q.Remote {
			out = append(out, o)
		}
	}
	return out
}

// takes reports whether a region has a target of the service that is not
// drained.
func takes(snap *snapshot.Snapshot, service, region string) bool {
	return slices.ContainsFunc(snap.DataCentres(region), func(dc string) bool {
		return len(snap.Targets(service, dc)) > 0 && !snap.PlaceDrained(service, dc)
	})
}

// far returns the option of another region from what requests met there.
// Without fresh news it counts as free.
func (c *Chooser) far(now time.Time, snap *snapshot.Snapshot, q Query, region string) (option, bool) {
	o := option{region: region, travel: c.roundTripTo(snap, q.Region, region)}
	p := c.places[placeKey{region, q.Service}]
	if p == nil {
		return o, true
	}
	if !p.open(now) {
		return o, false
	}
	o.wait = p.expectedWait(now)
	return o, true
}

// roundTripTo returns the measured round trip to a region, or else the
// document's.
func (c *Chooser) roundTripTo(snap *snapshot.Snapshot, from, to string) time.Duration {
	if rt, ok := c.roundTrips[to]; ok {
		return rt
	}
	for _, l := range snap.Links {
		if l.From == from && l.To == to && l.DelayMs > 0 {
			return 2 * time.Duration(l.DelayMs) * time.Millisecond
		}
	}
	return defaultFar
}
