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
	elsewhereCost = 4 * time.Millisecond
	// spreadCost keeps targets equally busy where nothing else tells them apart.
	spreadCost = 10 * time.Millisecond
	// placeCost is what each place in the order of preference for an object costs,
	// up to maxPlaceCost.
	placeCost    = 20 * time.Millisecond
	maxPlaceCost = 60 * time.Millisecond
	// evictShare of the gain of an object at hand is lost if a target has to
	// forget one for it.
	evictShare = 0.7
	// recentObjects are those that a target handled within this time.
	recentObjects = 10 * time.Second
	// untriedFor is how long a target that joined may go without a request before
	// it gets one although another would answer as soon, and twice that before it
	// gets one although another would answer sooner: with every object at hand
	// elsewhere it would never be used.
	untriedFor = 1500 * time.Millisecond
)

// forecast is what is expected of a request at one target.
type forecast struct {
	target   *backend
	wait     time.Duration // for a slot
	run      time.Duration
	cost     time.Duration // by which targets are compared
	distance int           // of the request's object, -1 if the target has not handled it
	atHand   bool
}

// The reasons for a choice, for the decision log line.
const (
	reasonAtHand = "object at hand"
)

func (f forecast) reason() string {
	if f.atHand {
		return reasonAtHand
	}
	return reasonLeast
}

// best returns the forecast of the target from which the answer of r is
// expected first; its target is nil if none may be used.
func (p *Pool) best(at time.Duration, r *Request) forecast {
	var best forecast
	var order placeOrder
	for _, b := range p.targets {
		if !b.usable(at) || p.set.AvoidCold && b.cold.cold(at) {
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

func (p *Pool) forecast(at time.Duration, r *Request, b *backend, order *placeOrder) forecast {
	f := forecast{target: b, distance: -1}
	if d, known := b.memory.distance(r.work.Object); known {
		f.distance = d
		f.atHand = d < p.keeps.most()
	}
	atHand, typical := r.runs.typical()
	switch {
	case r.work.Object == "":
		typical = r.runs.all.meanIfAny()
	case f.atHand:
		typical = atHand
	}
	f.run = time.Duration(float64(typical) * b.factor(at))
	f.wait = b.waitFor(at, p.ahead(r, b), f.run)
	f.cost = f.wait + f.run + time.Duration(b.failing(at)*float64(failCost))
	if b.info.DataCentre != r.work.From {
		f.cost += elsewhereCost
	}
	f.cost += time.Duration(float64(spreadCost) * float64(len(b.running)+b.waiting) / float64(b.slots()))
	if !f.atHand && r.work.Object != "" {
		f.cost += p.placing(at, r, b, order)
	}
	if b.untried && f.wait == 0 {
		f.cost -= trialBonus(at-b.joinedAt, atHand, f.run)
	}
	return f
}

// trialBonus is by how much a target is preferred that has had no request since
// it joined: so that it counts as having a request's object at hand, and later
// as if it answered at once.
func trialBonus(waited, atHand, run time.Duration) time.Duration {
	switch {
	case waited > 2*untriedFor:
		return run
	case waited > untriedFor:
		return max(run-atHand, 0)
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
		if q.prefers == b {
			n++
		}
	}
	return n
}

// placing is what it costs to give a target an object that it does not have.
// Targets are preferred by rendezvous hashing, so that a dispatcher that has
// just started sends an object where the one before it did.
func (p *Pool) placing(at time.Duration, r *Request, b *backend, order *placeOrder) time.Duration {
	if *order == nil {
		*order = p.placeOrder(at, r.work.Object)
	}
	cost := min(time.Duration(order.place(placeRank(r.work.Object, b)))*placeCost, maxPlaceCost)
	if atHand, without := r.runs.typical(); b.memory.since(at-recentObjects) >= p.keeps.most() {
		cost += time.Duration(evictShare * float64(without-atHand))
	}
	return cost
}

// placeOrder holds the ranks of the usable targets for an object, the highest
// last. It is worked out once for a request, and only if a target lacks the
// object: each rank is a hash.
type placeOrder []uint64

func (p *Pool) placeOrder(at time.Duration, object string) placeOrder {
	order := make(placeOrder, 0, len(p.targets))
	for _, b := range p.targets {
		if b.usable(at) {
			order = append(order, placeRank(object, b))
		}
	}
	slices.Sort(order)
	return order
}

// place returns how many usable targets are preferred to one with this rank.
func (o placeOrder) place(rank uint64) int {
	return len(o) - sort.Search(len(o), func(i int) bool { return o[i] > rank })
}

func placeRank(object string, b *backend) uint64 {
	return xxhash.Sum64String(object + "\x00" + b.info.ID)
}
