package dispatch

import (
	"slices"
	"time"
)

// maxComparisons bounds how many queued requests that prefer another target are compared
// with a target at the end of a request there.
const maxComparisons = 16

// fill starts queued requests on the free slots of the target b, the most urgent first:
// those that prefer it, and those that would end there sooner than at the target that
// they wait for. The others are looked at by Tick: to compare all targets for each queued
// request at the end of each request takes more time than the requests themselves.
func (p *Pool) fill(at time.Duration, b *backend) {
	b.ahead = 0
	compared := 0
	for i := 0; i < len(p.queue) && b.usable(at) && b.inUse() < b.slots(); {
		r := p.queue[i]
		if r.choice.target != b {
			if compared++; compared > maxComparisons {
				i++
				continue
			}
		}
		f, ok := p.takes(at, b, r)
		if !ok {
			i++
			continue
		}
		p.dequeue(r)
		p.start(at, r, f)
		p.decided = append(p.decided, r)
	}
}

// takes returns the forecast of the queued request r at the target b, and whether r
// should start there now.
func (p *Pool) takes(at time.Duration, b *backend, r *Request) (forecast, bool) {
	if r.deadline <= at || !p.mayUse(at, r, b) {
		return forecast{}, false
	}
	order := rendezvousOrder{object: r.work.Object}
	f := p.forecast(at, r, b, &order)
	if f.wait > 0 {
		return f, false
	}
	waited := min(at-r.chosenAt, r.choice.wait)
	return f, r.choice.target == b || f.cost < r.choice.cost-waited
}

// dispatchQueued compares the targets for each queued request.
func (p *Pool) dispatchQueued(at time.Duration) {
	p.reconsider(at, slices.Clone(p.queue))
}

// reconsider starts each of the queued requests whose best target has a free slot,
// and refuses those that can no longer meet their objective or deadline. For the
// others it updates the preferred target.
func (p *Pool) reconsider(at time.Duration, requests []*Request) {
	for _, r := range requests {
		best := p.bestForecast(at, r)
		switch {
		case best.target == nil:
			p.refuseQueued(r, p.refuseNoTarget(at, r))
		case r.deadline <= at:
			p.refuseQueued(r, refuse(errUnmeetable, best.wait))
		case best.wait == 0:
			p.dequeue(r)
			p.start(at, r, best)
			p.decided = append(p.decided, r)
		case r.hasObjective() && at+best.wait+best.run >= r.due:
			p.refuseQueued(r, refuse(errTooLate, best.wait))
		default:
			p.choose(at, r, best)
		}
	}
}

// forecastsPerTick bounds the work of Tick, which compares all targets for some of the
// queued requests.
const forecastsPerTick = 512

// Tick refuses the queued requests that are late already, and reconsiders some of the
// others: the next ones in the order of urgency after those of the last call.
func (p *Pool) Tick(now time.Time) {
	at := p.sinceEpoch(now)
	late := p.overdue(at)
	p.reconsider(at, late)
	n := min(max(1, forecastsPerTick/max(1, len(p.targets))), len(p.queue))
	next := make([]*Request, 0, n)
	for range n {
		next = append(next, p.queue[p.cursor%len(p.queue)])
		p.cursor++
	}
	p.reconsider(at, next)
}

// overdue returns the queued requests whose deadline or objective has passed.
func (p *Pool) overdue(at time.Duration) []*Request {
	var out []*Request
	for _, r := range p.queue {
		if r.due <= at {
			out = append(out, r)
		}
	}
	return out
}

// refuseQueued refuses a queued request.
