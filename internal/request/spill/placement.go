package spill

import (
	"math"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/rendezvous"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

const (
	// placementRate bounds how much of a service's requests is placed elsewhere per
	// second. A request that changes its region finds its object uncached there, and the
	// limit on moves between regions holds for these moves and for refused requests
	// together.
	placementRate = 0.03
	// The own region gets back requests that are placed elsewhere while less than
	// lowUtilisation of its slots is in use, and gives them up again from
	// highUtilisation on. In between, objects stay where they are cached.
	// returnRate bounds what it gets back per second beyond its room: an object that
	// returns runs once uncached, which costs more than many round trips, and callers that
	// come in waves must not move objects to and fro.
	returnRate      = 0.003
	lowUtilisation  = 0.6
	highUtilisation = 0.85
	// maxRoundTripShare is the part of a latency objective that the round trip to another
	// region may take for requests to be placed there.
	maxRoundTripShare = 1.0 / 3
	// placementIdle is the time without requests after which a placement starts again from
	// the room of the regions.
	placementIdle = idleWindows * DefaultRegionShiftWindow
)

// placement divides the requests of a service between the regions by their objects, so that
// an object is cached in one region for the callers of this one. Entries with the same
// snapshot start with the same placement, and the loads by which it changes are those of
// dispatchers that they share. Invariant: the shares add up to 1.
type placement struct {
	snap   *snapshot.Snapshot // for which room holds
	room   map[string]float64 // RoomShares of the service
	shares map[string]float64 // by region, in force
	usedAt time.Time
}

// update moves the shares towards those that the room and the load of the own region ask
// for, at most at placementRate, or at returnRate if only free slots speak for it.
func (p *placement) update(now time.Time, snap *snapshot.Snapshot, own, service string, load dispatch.Load) {
	if snap != p.snap {
		p.snap, p.room = snap, RoomShares(snap, own, service)
	}
	passed := now.Sub(p.usedAt)
	p.usedAt = now
	if len(p.room) == 0 {
		p.shares = nil
		return
	}
	if len(p.shares) == 0 || passed > placementIdle {
		p.shares = p.room
		return
	}
	wanted := p.wanted(own, load)
	distance := 0.0
	for _, region := range snap.Regions() {
		distance += math.Abs(wanted[region]-p.shares[region]) / 2
	}
	if distance == 0 || passed <= 0 {
		return
	}
	rate := placementRate
	if wanted[own] > max(p.shares[own], p.room[own]) {
		rate = returnRate
	}
	part := min(1, rate*passed.Seconds()/distance)
	next := map[string]float64{}
	for _, region := range snap.Regions() {
		if share := p.shares[region] + part*(wanted[region]-p.shares[region]); share > 0 {
			next[region] = share
		}
	}
	p.shares = next
}

// wanted returns the shares for the load of the own region: those of the room while it is
// busy, and all requests at home while it has free slots.
func (p *placement) wanted(own string, load dispatch.Load) map[string]float64 {
	home := p.shares[own]
	slots := load.InFlight + load.FreeSlots
	switch used := float64(load.InFlight) / float64(max(slots, 1)); {
	case load.Draining, load.ExpectedWait > 0, slots > 0 && used >= highUtilisation:
		home = min(home, p.room[own])
	case slots > 0 && used < lowUtilisation:
		home = 1
	}
	home = max(home, p.room[own])
	out := map[string]float64{own: home}
	if elsewhere := 1 - p.room[own]; elsewhere > 0 {
		for region, share := range p.room {
			if region != own {
				out[region] = share * (1 - home) / elsewhere
			}
		}
	}
	return out
}

// region returns the region of an object by weighted rendezvous hashing, or "" without
// shares. A change of the shares moves as few objects as possible.
func (p *placement) region(object string) string {
	best, highest := "", math.Inf(-1)
	for region, share := range p.shares {
		if score := rendezvous.Score(object, region, share); score > highest {
			best, highest = region, score
		}
	}
	return best
}

// placedRegion returns the region in which a request is placed, or "" if it is not
// placed. The caller holds c.mu.
func (c *Chooser) placedRegion(now time.Time, snap *snapshot.Snapshot, q RegionQuery) string {
	if q.Remote || q.Object == "" {
		return ""
	}
	p := c.placements[q.Service]
	if p == nil {
		p = &placement{}
		c.placements[q.Service] = p
	}
	p.update(now, snap, q.Region, q.Service, q.Load)
	region := p.region(q.Object)
	if region == "" || region == q.Region {
		return region
	}
	if limit := time.Duration(float64(q.RouteObjective) * maxRoundTripShare); q.RouteObjective > 0 && c.regionRoundTrip(snap, q.Region, region) > limit {
		return q.Region
	}
	return region
}

// placedFirst puts the option of another region in which the request is placed before the
// others, if that region is expected to have a slot in time.
func placedFirst(options []regionOption, placed string, objective time.Duration) []regionOption {
	i := slices.IndexFunc(options, func(o regionOption) bool { return o.region == placed && !o.ownRegion && o.wait+o.roundTrip < objective })
	if i < 0 {
		return options
	}
	first := options[i]
	first.placed = true
	return slices.Insert(slices.Delete(options, i, i+1), 0, first)
}
