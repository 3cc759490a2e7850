// Package spill chooses the data centre or region that serves a request, and
// limits the traffic between them. It does no I/O: callers pass in the snapshot,
// the time and the random numbers.
package spill

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// LinkBudgets holds the sending instance's byte budgets for the links between
// regions.
type LinkBudgets interface {
	// Allow takes bytes from the budget of a link and reports whether they were
	// available.
	Allow(from, to string, bytes int) bool
}

// Candidate is a data centre that may serve a request.
type Candidate struct {
	DataCentre string
	Expected   time.Duration // estimated time until the response
	Reason     string        // how far away the data centre is, for the decision log line
}

// Round trips that are assumed without a measurement. The one to other regions
// applies only if the steering document gives no link delay.
const (
	defaultSameRegionRoundTrip  = 3 * time.Millisecond
	defaultOtherRegionRoundTrip = 100 * time.Millisecond
)

// maxDestinations bounds the memory for observations.
const maxDestinations = 4096

// destinationKey identifies a destination; location is a data centre or a region.
type destinationKey struct{ location, service string }

// Chooser chooses data centres and regions from the outcomes of earlier
// requests to them. It is safe for concurrent use.
type Chooser struct {
	links  LinkBudgets
	random func() float64

	mu           sync.Mutex
	destinations map[destinationKey]*destination
	roundTrips   map[string]time.Duration // measured, by data centre or region
	placements   map[string]*placement    // by service with guarded slots
	runTimes     map[routeRegion]time.Duration
}

// routeRegion identifies a route in a region.
type routeRegion struct{ region, route string }

// maxRunTimes bounds the memory for running times. Beyond it they are measured anew.
const maxRunTimes = 4096

// NewChooser returns a chooser that keeps traffic between regions within links;
// nil means no limit. random returns numbers in [0, 1).
func NewChooser(links LinkBudgets, random func() float64) *Chooser {
	return &Chooser{
		links:        links,
		random:       random,
		destinations: map[destinationKey]*destination{},
		roundTrips:   map[string]time.Duration{},
		placements:   map[string]*placement{},
		runTimes:     map[routeRegion]time.Duration{},
	}
}

// Observe records the outcome of a request to the service in dc, which is a data
// centre or a region.
func (c *Chooser) Observe(now time.Time, dc, service string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.RoundTrip > 0 {
		c.roundTrips[dc] = movingAverage(c.roundTrips[dc], o.RoundTrip)
	}
	k := destinationKey{dc, service}
	d := c.destinations[k]
	if d == nil {
		c.evictOldest()
		d = &destination{}
		c.destinations[k] = d
	}
	d.observe(now, o, c.random())
}

// evictOldest removes the least recently used destination if the table is full.
func (c *Chooser) evictOldest() {
	if len(c.destinations) < maxDestinations {
		return
	}
	var oldest destinationKey
	var at time.Time
	for k, d := range c.destinations {
		if at.IsZero() || d.lastUsed.Before(at) {
			oldest, at = k, d.lastUsed
		}
	}
	delete(c.destinations, oldest)
}

// The distances, in order of preference.
const (
	local = iota
	sameRegion
	otherRegion
)

var distanceNames = [...]string{"local", "same region", "other region"}

// Choose returns the data centres that may serve a request, best first: the
// local one, then those of the same region, then the others, each group ordered
// by estimated completion. It omits data centres that are drained, draining or
// in back-off, and those that cannot meet the deadline. load is the load of the
// local dispatch group.
func (c *Chooser) Choose(now time.Time, snap *snapshot.Snapshot, service, fromDC string, deadline time.Time, load dispatch.Load) []Candidate {
	svc := snap.Services[service]
	if svc == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var byDistance [len(distanceNames)][]Candidate
	for _, dc := range svc.DataCentres {
		if snap.ServiceDrained(service, dc) {
			continue
		}
		distance := distanceOf(snap, fromDC, dc)
		expected, ok := c.estimate(now, snap, service, fromDC, dc, distance, load)
		if !ok || !now.Add(expected).Before(deadline) {
			continue
		}
		byDistance[distance] = append(byDistance[distance], Candidate{dc, expected, distanceNames[distance]})
	}
	var out []Candidate
	for _, list := range byDistance {
		slices.SortStableFunc(list, func(a, b Candidate) int { return cmp.Compare(a.Expected, b.Expected) })
		out = append(out, list...)
	}
	return out
}

func distanceOf(snap *snapshot.Snapshot, from, to string) int {
	switch {
	case from == to:
		return local
	case snap.Region(from) != "" && snap.Region(from) == snap.Region(to):
		return sameRegion
	}
	return otherRegion
}

// estimate returns the estimated time until a response from dc, and whether dc
// takes requests at present. If the running time at dc is unknown, that of the
// sender's data centre is used.
func (c *Chooser) estimate(now time.Time, snap *snapshot.Snapshot, service, from, dc string, distance int, load dispatch.Load) (time.Duration, bool) {
	d := c.destinations[destinationKey{dc, service}]
	if d == nil {
		d = &destination{}
	}
	if distance == local {
		return load.ExpectedWait + d.runTime, !load.Draining
	}
	run := d.runTime
	if localDestination := c.destinations[destinationKey{from, service}]; run == 0 && localDestination != nil {
		run = localDestination.runTime
	}
	return c.dataCentreRoundTrip(snap, from, dc, distance) + d.expectedWait(now) + run, d.available(now)
}

// dataCentreRoundTrip returns the measured round trip to a data centre. Without
// a measurement it returns a default within the region, and otherwise twice the
// link delay of the steering document or a default if the document has none.
func (c *Chooser) dataCentreRoundTrip(snap *snapshot.Snapshot, from, to string, distance int) time.Duration {
	if rt, ok := c.roundTrips[to]; ok {
		return rt
	}
	if distance == sameRegion {
		return defaultSameRegionRoundTrip
	}
	for _, l := range snap.Links {
		if l.From == snap.Region(from) && l.To == snap.Region(to) && l.DelayMs > 0 {
			return 2 * time.Duration(l.DelayMs) * time.Millisecond
		}
	}
	return defaultOtherRegionRoundTrip
}

// TakeLinkBudget takes bytes from the budget of the link to a data centre and
// reports whether they were available. Traffic within a region is not limited.
func (c *Chooser) TakeLinkBudget(snap *snapshot.Snapshot, fromDC, toDC string, bytes int) bool {
	if c.links == nil || distanceOf(snap, fromDC, toDC) != otherRegion {
		return true
	}
	return c.links.Allow(snap.Region(fromDC), snap.Region(toDC), bytes)
}
