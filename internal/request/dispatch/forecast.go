package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// otherDataCentreCost is how much sooner a target in another data centre must
	// be expected to answer to be chosen, because the network path takes time and
	// traffic between data centres costs money.
	otherDataCentreCost = 4 * time.Millisecond
	// utilisationCost is the cost of a target whose slots are all in use. It
	// balances the load of targets that are otherwise equal.
	utilisationCost = 10 * time.Millisecond
	// rankCost is the cost of each position in the rendezvous order of an object,
	// up to maxRankCost.
	rankCost    = 20 * time.Millisecond
	maxRankCost = 60 * time.Millisecond
	// evictionCostShare is the part of the running time saved by a cached object
	// that counts as a cost if the target has to evict an object for a new one.
	evictionCostShare = 0.7
	// recentObjectWindow is how recently a target must have handled an object for
	// the object to count as occupying its cache.
	recentObjectWindow = 10 * time.Second
	// untriedDelay is how long a target that joined may go without a request
	// before it is preferred to targets that would answer about as soon. After
	// twice that time it is preferred even if others would answer sooner. Without
	// this, a target that joins when all objects are cached at other targets would
	// never be used.
	untriedDelay = 1500 * time.Millisecond
)

// forecast is the expected course of a request at one target.
type forecast struct {
	target   *backend
	wait     time.Duration // expected waiting time for a slot
	run      time.Duration
	cost     time.Duration // value by which targets are compared; the lowest is best
	distance int           // of the request's object; -1: the target has not handled it
	cached   bool
}

// Reasons for the choice of a target, for the log.
const (
	reasonCached = "object at hand"
)

func (f forecast) reason() string {
	if f.cached {
		return reasonCached
	}
	return reasonLeast
}

// bestForecast returns the forecast with the lowest cost for r. Its target is nil
// if no target may be used.
func (p *Pool) bestForecast(at time.Duration, r *Request) forecast {
	var best forecast
	var order rendezvousOrder
	for _, b := range p.targets {
		if !b.usable(at) || p.settings.AvoidCold && b.cold.isCold(at) {
			continue
		}
		if slices.Contains(r.work.Exclude, b.info.ID) {
			continue
		}
		f := p.forecast(at, r, b, &order)
		if best.target == nil || f.cost < best.cost {
			best = f
		}
	}
	return best
}

func (p *Pool) forecast(at time.Duration, r *Request, b *backend, order *rendezvousOrder) forecast {
	f := forecast{target: b, distance: -1}
	if d, known := b.objects.reuseDistance(r.work.Object); known {
		f.distance = d
		f.cached = d < p.capacity.objects()
	}
	cachedRun, typical := r.runStats.typical()
	switch {
	case r.work.Object == "":
		typical = r.runStats.all.meanOrZero()
	case f.cached:
		typical = cachedRun
	}
	f.run = time.Duration(float64(typical) * b.expectedSlowdown(at))
	f.wait = b.expectedWait(at, p.ahead(r, b), f.run)
	f.cost = f.wait + f.run + time.Duration(b.decayedFailureShare(at)*float64(failureCost))
	if b.info.DataCentre != r.work.FromDataCentre {
		f.cost += otherDataCentreCost
	}
	f.cost += time.Duration(float64(utilisationCost) * float64(len(b.running)+b.waiting) / float64(b.slots()))
	if !f.cached && r.work.Object != "" {
		f.cost += p.placementCost(at, r, b, order)
	}
	if b.untried && f.wait == 0 {
		f.cost -= untriedBonus(at-b.joinedAt, cachedRun, f.run)
	}
	return f
}

// untriedBonus returns the reduction in cost of a target that has had no request
// since it joined. After untriedDelay the target is rated as if it had the
// object cached, and after twice that time as if it answered at once.
func untriedBonus(waited, cachedRun, expectedRun time.Duration) time.Duration {
	switch {
	case waited > 2*untriedDelay:
		return expectedRun
	case waited > untriedDelay:
		return max(expectedRun-cachedRun, 0)
	}
	return 0
}

// ahead returns the number of queued requests that prefer the target b and go
// before r.
func (p *Pool) ahead(r *Request, b *backend) int {
	if b.waiting == 0 {
		return 0
	}
	n := 0
	for _, q := range p.queue {
		if q == r || moreUrgent(q, r) > 0 {
			break
		}
		if q.preferred == b {
			n++
		}
	}
	return n
}

// placementCost returns the cost of sending the object of r to a target that
// does not have it cached. Targets are ranked by rendezvous hashing, so that a
// dispatcher that has just started sends an object to the same target as its
// predecessor did.
func (p *Pool) placementCost(at time.Duration, r *Request, b *backend, order *rendezvousOrder) time.Duration {
	if *order == nil {
		*order = p.rendezvousOrder(at, r.work.Object)
	}
	cost := min(time.Duration(order.position(rendezvousHash(r.work.Object, b)))*rankCost, maxRankCost)
	if cachedRun, uncachedRun := r.runStats.typical(); b.objects.countSince(at-recentObjectWindow) >= p.capacity.objects() {
		cost += time.Duration(evictionCostShare * float64(uncachedRun-cachedRun))
	}
	return cost
}

// rendezvousOrder holds the rendezvous hashes of the usable targets for an
// object in ascending order; the highest is the most preferred. It is computed
// at most once per request, and only if a target does not have the object
// cached, because each element costs a hash.
type rendezvousOrder []uint64

func (p *Pool) rendezvousOrder(at time.Duration, object string) rendezvousOrder {
	order := make(rendezvousOrder, 0, len(p.targets))
	for _, b := range p.targets {
		if b.usable(at) {
			order = append(order, rendezvousHash(object, b))
		}
	}
	slices.Sort(order)
	return order
}

// position returns the number of usable targets that are preferred to the one
// with this rank.
func (o rendezvousOrder) position(rank uint64) int {
	return len(o) - sort.Search(len(o), func(i int) bool { return o[i] > rank })
}

func rendezvousHash(object string, b *backend) uint64 {
	return xxhash.Sum64String(object + "\x00" + b.info.ID)
}
