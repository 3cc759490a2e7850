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
type Links interface {
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
	defaultNear = 3 * time.Millisecond
	defaultFar  = 100 * time.Millisecond
)

// maxPlaces bounds the memory for measurements.
const maxPlaces = 4096

type placeKey struct{ dc, service string }

// Chooser remembers what requests to other data centres met. It is safe for
// concurrent use.
type Chooser struct {
	links  Links
	random func() float64

	mu         sync.Mutex
	places     map[placeKey]*place
	roundTrips map[string]time.Duration
}

// NewChooser returns a chooser that sends within links (nil: unlimited).
// random returns numbers in [0, 1).
func NewChooser(links Links, random func() float64) *Chooser {
	return &Chooser{
		links:      links,
		random:     random,
		places:     map[placeKey]*place{},
		roundTrips: map[string]time.Duration{},
	}
}

// Observe remembers what a request to the service in dc met.
func (c *Chooser) Observe(now time.Time, dc, service string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.RoundTrip > 0 {
		c.roundTrips[dc] = smooth(c.roundTrips[dc], o.RoundTrip)
	}
	k := placeKey{dc, service}
	p := c.places[k]
	if p == nil {
		c.makeRoom()
		p = &place{}
		c.places[k] = p
	}
	p.observe(now, o, c.random())
}

// makeRoom forgets the place that was used least recently if the table is
// full.
func (c *Chooser) makeRoom() {
	if len(c.places) < maxPlaces {
		return
	}
	var oldest placeKey
	var at time.Time
	for k, p := range c.places {
		if at.IsZero() || p.used.Before(at) {
			oldest, at = k, p.used
		}
	}
	delete(c.places, oldest)
}

// The distances, in order of preference.
const (
	local = iota
	sameRegion
	otherRegion
)

var reasons = [...]string{"local", "same region", "other region"}

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
	var byDistance [len(reasons)][]Candidate
	for _, dc := range svc.DataCentres {
		if snap.PlaceDrained(service, dc) {
			continue
		}
		distance := distanceOf(snap, fromDC, dc)
		expected, ok := c.expect(now, snap, service, fromDC, dc, distance, load)
		if !ok || !now.Add(expected).Before(deadline) {
			continue
		}
		byDistance[distance] = append(byDistance[distance], Candidate{dc, expected, reasons[distance]})
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
func (c *Chooser) expect(now time.Time, snap *snapshot.Snapshot, service, from, dc string, distance int, load dispatch.Load) (time.Duration, bool) {
	p := c.places[placeKey{dc, service}]
	if p == nil {
		p = &place{}
	}
	if distance == local {
		return load.ExpectedWait + p.run, !load.Draining
	}
	run := p.run
	if near := c.places[placeKey{from, service}]; run == 0 && near != nil {
		run = near.run
	}
	return c.roundTrip(snap, from, dc, distance) + p.expectedWait(now) + run, p.open(now)
}

// roundTrip returns the measured round trip, or else the document's.
func (c *Chooser) roundTrip(snap *snapshot.Snapshot, from, to string, distance int) time.Duration {
	if rt, ok := c.roundTrips[to]; ok {
		return rt
	}
	if distance == sameRegion {
		return defaultNear
	}
	for _, l := range snap.Links {
		if l.From == snap.Region(from) && l.To == snap.Region(to) && l.DelayMs > 0 {
			return 2 * time.Duration(l.DelayMs) * time.Millisecond
		}
	}
	return defaultFar
}

// MaySend takes bytes from the budget of the link to a data centre and
// reports whether they were left. Traffic within a region has no budget.
func (c *Chooser) MaySend(snap *snapshot.Snapshot, fromDC, toDC string, bytes int) bool {
	if c.links == nil || distanceOf(snap, fromDC, toDC) != otherRegion {
		return true
	}
	return c.links.Allow(snap.Region(fromDC), snap.Region(toDC), bytes)
}
