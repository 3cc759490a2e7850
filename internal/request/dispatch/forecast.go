package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// elsewhereCost is how much sooner a target in another data centre must be
	// expected to answer: the way there takes time and its traffic has a price.
	otherDataCentreCost = 4 * time.Millisecond
	// spreadCost keeps targets equally busy where nothing else tells them apart.
	utilisationCost = 10 * time.Millisecond
	// placeCost is what each place in the order of preference for an object costs,
	// up to maxPlaceCost.
	rankCost    = 20 * time.Millisecond
	maxRankCost = 60 * time.Millisecond
	// evictShare of the gain of an object at hand is lost if a target has to
	// forget one for it.
	evictionCostShare = 0.7
	// recentObjects are those that a target handled within this time.
	recentObjectWindow = 10 * time.Second
	// untriedFor is how long a target that joined may go without a request before
	// it gets one although another would answer as soon, and twice that before it
	// gets one although another would answer sooner: with every object at hand
	// elsewhere it would never be used.
	untriedDelay = 1500 * time.Millisecond
)

// forecast is what is expected of a request at one target.
type forecast struct {
	target   *backend
	wait     time.Duration // for a slot
	run      time.Duration
	cost     time.Duration // by which targets are compared
	distance int           // of the request's object, -1 if the target has not handled it
	cached   bool
}

// The reasons for a choice, for the decision log line.
const (
	reasonCached = "object at hand"
)

func (f forecast) reason() string {
	if f.cached {
		return reasonCached
	}
	return reasonLeast
}

// best returns the forecast of the target from which the answer of r is
// expected first; its target is nil if none may be used.
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

// trialBonus is by how much a target is preferred that has had no request since
// it joined: so that it counts as having a request's object at hand, and later
// as if it answered at once.
func untriedBonus(waited, cachedRun, expectedRun time.Duration) time.Duration {
	switch {
	case waited > 2*untriedDelay:
		return expectedRun
	case waited > untriedDelay:
		return max(expectedRun-cachedRun, 0)
	}
	return 0
}

// ahead returns how many waiting requests that prefer a target go before r.
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

// placing is what it costs to give a target an object that it does not have.
// Targets are preferred by rendezvous hashing, so that a dispatcher that has
// just started sends an object where the one before it did.
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

// placeOrder holds the ranks of the usable targets for an object, the highest
// last. It is worked out once for a request, and only if a target lacks the
// object: each rank is a hash.
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

// place returns how many usable targets are preferred to one with this rank.
func (o rendezvousOrder) position(rank uint64) int {
	return len(o) - sort.Search(len(o), func(i int) bool { return o[i] > rank })
}

func rendezvousHash(object string, b *backend) uint64 {
	return xxhash.Sum64String(object + "\x00" + b.info.ID)
}
