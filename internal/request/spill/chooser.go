// Package spill chooses the data centre that serves a request and bounds the
// traffic between data centres. The decisions are pure: they get the
// snapshot, the clock and the random numbers from outside.
package spill

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Links is the byte budget of the sending instance between regions.
type LinkBudgets interface {
	Allow(from, to string, bytes int) bool
}

// Candidate is a data centre that may serve a request.
type Candidate struct {
	DataCentre string
	Expected   time.Duration // until the response, as far as it is known
	Reason     string        // for the decision log line
}

// Round trips that count until one is measured and the document names none.
const (
	defaultSameRegionRoundTrip  = 3 * time.Millisecond
	defaultOtherRegionRoundTrip = 100 * time.Millisecond
)

// maxPlaces bounds the memory for measurements.
const maxDestinations = 4096

type destinationKey struct{ location, service string }

// Chooser remembers what requests to other data centres met. It is safe for
// concurrent use.
type Chooser struct {
	links  LinkBudgets
	random func() float64

	mu           sync.Mutex
	destinations map[destinationKey]*destination
	roundTrips   map[string]time.Duration
}

// NewChooser returns a chooser that sends within links (nil: unlimited).
// random returns numbers in [0, 1).
func NewChooser(links LinkBudgets, random func() float64) *Chooser {
	return &Chooser{
		links:        links,
		random:       random,
		destinations: map[destinationKey]*destination{},
		roundTrips:   map[string]time.Duration{},
	}
}

// Observe remembers what a request to the service in dc met.
func (c *Chooser) Observe(now time.Time, dc, service string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.RoundTrip > 0 {
		c.roundTrips[dc] = movingAverage(c.roundTrips[dc], o.RoundTrip)
	}
	k := destinationKey{dc, service}
	p := c.destinations[k]
	if p == nil {
		c.evictOldest()
		p = &destination{}
		c.destinations[k] = p
	}
	p.observe(now, o, c.random())
}

// makeRoom forgets the place that was used least recently if the table is
// full.
func (c *Chooser) evictOldest() {
	if len(c.destinations) < maxDestinations {
		return
	}
	var oldest destinationKey
	var at time.Time
	for k, p := range c.destinations {
		if at.IsZero() || p.lastUsed.Before(at) {
			oldest, at = k, p.lastUsed
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
// local one, then the region's, then others, each by expected completion.
// Left out are drained places, places in back-off and those that cannot meet
// the deadline. local is the load of the local group.
func (c *Chooser) Choose(now time.Time, snap *snapshot.Snapshot, service, fromDC string, deadline time.Time, load dispatch.Load) []Candidate {
	svc := snap.Services[service]
	if svc == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var byDistance [len(distanceNames)][]Candidate
	for _, dc := range svc.DataCentres {
		if snap.PlaceDrained(service, dc) {
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

// expect estimates the completion time at dc, or returns false if dc takes
// no requests at present.
func (c *Chooser) estimate(now time.Time, snap *snapshot.Snapshot, service, from, dc string, distance int, load dispatch.Load) (time.Duration, bool) {
	p := c.destinations[destinationKey{dc, service}]
	if p == nil {
		p = &destination{}
	}
	if distance == local {
		return load.ExpectedWait + p.runTime, !load.Draining
	}
	run := p.runTime
	if localDestination := c.destinations[destinationKey{from, service}]; run == 0 && localDestination != nil {
		run = localDestination.runTime
	}
	return c.dataCentreRoundTrip(snap, from, dc, distance) + p.expectedWait(now) + run, p.available(now)
}

// roundTrip returns the measured round trip, or else the document's.
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

// MaySend takes bytes from the budget of the link to a data centre and
// reports whether they were left. Traffic within a region has no budget.
func (c *Chooser) TakeLinkBudget(snap *snapshot.Snapshot, fromDC, toDC string, bytes int) bool {
	if c.links == nil || distanceOf(snap, fromDC, toDC) != otherRegion {
		return true
	}
	return c.links.Allow(snap.Region(fromDC), snap.Region(toDC), bytes)
}
