package dispatch

import (
	"slices"
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
	target *backend
	wait   time.Duration // expected waiting time for a slot
	run    time.Duration
	cost   time.Duration // value by which targets are compared; the lowest is best
	cached bool          // the target is expected to have the object of the request cached
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
	order := rendezvousOrder{object: r.work.Object}
	p.countAhead(r)
	for _, b := range p.targets {
		if !p.mayUse(at, r, b) {
			continue
		}
		f := p.forecast(at, r, b, &order)
		if best.target == nil || f.cost < best.cost {
			best = f
		}
	}
	return best
}

// mayUse reports whether the target b may get r now.
func (p *Pool) mayUse(at time.Duration, r *Request, b *backend) bool {
	if !b.usable(at) || p.settings.Substitute && b.cold.isCold(at) {
		return false
	}
	return !slices.Contains(r.work.Exclude, b.info.ID) && r.pauseLeft(at, &b.info) <= 0
}

// countAhead sets for each target the number of queued requests that prefer it and go
// before r.
func (p *Pool) countAhead(r *Request) {
	for _, b := range p.targets {
		b.ahead = 0
	}
	for _, q := range p.queue {
		if q == r || moreUrgent(q, r) > 0 {
			return
		}
		q.choice.target.ahead++
	}
}

// forecast estimates the course of r at the target b behind b.ahead requests.
func (p *Pool) forecast(at time.Duration, r *Request, b *backend, order *rendezvousOrder) forecast {
	p.forecasts++
	f := forecast{target: b}
	b.objects.setLimit(p.capacity.objects())
	f.cached, _ = b.objects.within(r.work.Object)
	cachedRun, typical := r.runStats.typical()
	switch {
	case r.work.Object == "":
		typical = r.runStats.all.meanOrZero()
	case f.cached:
		typical = cachedRun
	}
	e := b.estimate(at)
	f.run = time.Duration(float64(typical) * e.slowdown)
	f.wait = b.expectedWait(at, b.ahead, f.run)
	f.cost = f.wait + f.run + e.failureCost
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

// placementCost returns the cost of sending the object of r to a target that
// does not have it cached. Targets are ranked by rendezvous hashing, so that a
// dispatcher that has just started sends an object to the same target as its
// predecessor did.
func (p *Pool) placementCost(at time.Duration, r *Request, b *backend, order *rendezvousOrder) time.Duration {
	if !order.computed {
		order.compute(at, p.targets)
	}
	cost := min(time.Duration(order.position(b))*rankCost, maxRankCost)
	if cachedRun, uncachedRun := r.runStats.typical(); b.objects.fullSince(at - recentObjectWindow) {
		cost += time.Duration(evictionCostShare * float64(uncachedRun-cachedRun))
	}
	return cost
}

// rankedTargets is the number of targets whose position in the rendezvous order matters;
// all others cost maxRankCost.
const rankedTargets = int(maxRankCost / rankCost)

// rendezvousOrder holds the highest rendezvous hashes of the usable targets for an
// object; the highest is the most preferred. It is computed at most once per forecast of
// a request, and only if a target does not have the object cached, because each target
// costs a hash.
type rendezvousOrder struct {
	object     string
	objectHash uint64
	computed   bool
	highest    [rankedTargets]uint64 // descending
}

func (o *rendezvousOrder) compute(at time.Duration, targets []*backend) {
	o.computed, o.objectHash = true, xxhash.Sum64String(o.object)
	for _, b := range targets {
		if !b.usable(at) {
			continue
		}
		hash := rendezvousHash(o.objectHash, b.idHash)
		for i, h := range o.highest {
			if hash > h {
				o.highest[i], hash = hash, h
			}
		}
	}
}

// position returns the number of usable targets that are preferred to b, at most
// rankedTargets.
func (o *rendezvousOrder) position(b *backend) int {
	hash := rendezvousHash(o.objectHash, b.idHash)
	for i, h := range o.highest {
		if hash >= h {
			return i
		}
	}
	return rankedTargets
}

// rendezvousHash combines the hashes of an object and of a target's identifier, with the
// finalizer of SplitMix64.
func rendezvousHash(object, target uint64) uint64 {
	x := object ^ target
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
