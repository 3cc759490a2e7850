package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Pool schedules the requests of a service in a region whose targets enforce
// their slots themselves. It sends each request to the target from which it
// expects the answer first: waiting for a target that has the request's object
// cached can pay off, and a target that is slow, fails or is busy costs more.
// It is not safe for concurrent use.
//
// Invariants: a target never has more requests in flight than its slots, except
// after the number of its slots was lowered and for requests that its reports show
// to be on their way, at most as many as its slots; a cold target gets requests at most
// at its rate; a request with a latency objective waits only while it is
// expected to meet it.
type Pool struct {
	settings Settings
	epoch    time.Time
	targets  []*backend
	byID     map[string]*backend
	queue    []*Request // ordered by moreUrgent
	routes   map[string]*runStats
	capacity capacityEstimate
	decided  []*Request
	left     Departures
	seq      uint64
	cursor   int // position in the queue of the next request that Tick reconsiders
	// forecasts counts the forecasts made, which take most of the processor time of a pool.
	forecasts uint64
	inFlight  int
	stopped   bool
}

// NewPool returns a pool without targets.
func NewPool(now time.Time, s Settings) *Pool {
	return &Pool{settings: s.withDefaults(), epoch: now, byID: map[string]*backend{}, routes: map[string]*runStats{}}
}

func (p *Pool) sinceEpoch(now time.Time) time.Duration { return now.Sub(p.epoch) }

// Configure replaces the settings and starts queued requests that the new ones
// admit.
func (p *Pool) Configure(now time.Time, s Settings) {
	p.settings = s.withDefaults()
	p.dispatchQueued(p.sinceEpoch(now))
}

// SetTargets replaces the targets. A target that is left out keeps its requests
// in flight, and they still count against its slots if it is listed again.
func (p *Pool) SetTargets(now time.Time, infos []TargetInfo) {
	at := p.sinceEpoch(now)
	for _, b := range p.targets {
		b.listed = false
	}
	for _, info := range infos {
		b := p.byID[info.ID]
		if b == nil {
			b = &backend{joinedAt: at, untried: p.seq > 0, use: p.settings.Shared.hold(targetKey{p.settings.Service, info.ID})}
			p.byID[info.ID] = b
			p.targets = append(p.targets, b)
		}
		b.update(at, info)
		b.left = p.left.Has(info.Process())
	}
	p.removeUnlisted()
	p.dispatchQueued(at)
	if !p.anyAccepting() {
		p.refuseAll(refuse(errNoTarget, time.Second))
	}
}

// removeUnlisted removes targets that are no longer listed and have no requests
// in flight.
func (p *Pool) removeUnlisted() {
	p.targets = slices.DeleteFunc(p.targets, func(b *backend) bool {
		gone := !b.listed && len(b.running) == 0
		if gone {
			delete(p.byID, b.info.ID)
			p.settings.Shared.release(targetKey{p.settings.Service, b.info.ID})
		}
		return gone
	})
}

func (p *Pool) anyAccepting() bool { return slices.ContainsFunc(p.targets, (*backend).accepting) }

func (p *Pool) refuseAll(refusal *Refusal) {
	for len(p.queue) > 0 {
		p.refuseQueued(p.queue[0], refusal)
	}
}

// Stop refuses all queued and all later requests. Requests in flight continue.
func (p *Pool) Stop() {
	p.stopped = true
	p.refuseAll(refuse(errStopping, time.Second))
	for _, b := range p.targets {
		b.listed = false
	}
	p.removeUnlisted()
}

// Submit starts, queues or refuses r. Afterwards r is running or queued, or the
// error is a *Refusal.
func (p *Pool) Submit(now time.Time, r *Request, w Work) error {
	at := p.sinceEpoch(now)
	p.initRequest(at, r, w)
	if refusal := p.admit(at, r); refusal != nil {
		r.state, r.refusal = refused, refusal
		return refusal
	}
	return nil
}

func (p *Pool) initRequest(at time.Duration, r *Request, w Work) {
	p.seq++
	r.work, r.arrived, r.seq, r.pos = w, at, p.seq, -1
	r.setPauses(at)
	r.runStats = p.runStatsOf(w.Route)
	r.deadline = at + p.settings.LongestDeadline
	if !w.Deadline.IsZero() {
		r.deadline = min(r.deadline, p.sinceEpoch(w.Deadline))
	}
	r.due = r.deadline
	if !w.Objective.IsZero() {
		r.due = min(r.due, p.sinceEpoch(w.Objective))
	}
}

// runStatsOf returns the running times of a route. Routes beyond maxRoutes
// share one record.
func (p *Pool) runStatsOf(route string) *runStats {
	if s := p.routes[route]; s != nil {
		return s
	}
	if len(p.routes) >= maxRoutes {
		route = ""
	}
	s := p.routes[route]
	if s == nil {
		s = &runStats{}
		p.routes[route] = s
	}
	return s
}

// admit starts or queues r, or returns a refusal.
func (p *Pool) admit(at time.Duration, r *Request) *Refusal {
	if p.stopped {
		return refuse(errStopping, time.Second)
	}
	best := p.bestForecast(at, r)
	switch {
	case best.target == nil:
		return p.refuseNoTarget(at, r)
	case best.wait == 0:
		// The request starts even if it is expected to miss its objective,
		// because no other target would answer sooner.
		p.start(at, r, best)
		return nil
	case r.work.AnySlot || r.work.NoQueue:
		return refuse(errQueueFull, best.wait)
	case r.hasObjective() && at+best.wait+best.run >= r.due:
		return refuse(errTooLate, best.wait)
	case len(p.queue) >= p.settings.QueueLimit:
		return refuse(errQueueFull, best.wait)
	}
	p.enqueue(at, r, best)
	return nil
}

// hasObjective reports whether r has a latency objective.
func (r *Request) hasObjective() bool { return !r.work.Objective.IsZero() }

func (p *Pool) enqueue(at time.Duration, r *Request, choice forecast) {
	r.state = queued
	p.choose(at, r, choice)
	i, _ := slices.BinarySearchFunc(p.queue, r, moreUrgent)
	p.queue = slices.Insert(p.queue, i, r)
}

// choose sets the preferred target of a queued request.
func (p *Pool) choose(at time.Duration, r *Request, choice forecast) {
	if previous := r.choice.target; previous != nil {
		previous.waiting--
	}
	choice.target.waiting++
	r.choice, r.chosenAt = choice, at
}

// moreUrgent compares requests by priority, then by the time at which the answer
// is due, then by arrival. It returns a negative value if a goes before b.
func moreUrgent(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.work.Priority, b.work.Priority), cmp.Compare(a.due, b.due), cmp.Compare(a.seq, b.seq))
}

func (p *Pool) dequeue(r *Request) {
	r.choice.target.waiting--
	r.choice = forecast{}
	if i, found := slices.BinarySearchFunc(p.queue, r, moreUrgent); found {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

func (p *Pool) start(at time.Duration, r *Request, choice forecast) {
	r.state, r.started, r.backend, r.info = running, at, choice.target, choice.target.info
	r.expectedRun, r.reuseDistance = choice.run, -1
	if distance, known := choice.target.objects.reuseDistance(r.work.Object); known {
		r.reuseDistance = distance
	}
	r.reason = choice.reason()
	choice.target.start(at, r)
	p.inFlight++
}

// Cancel withdraws r. A queued request is removed and a running one frees its
// slot.
func (p *Pool) Cancel(now time.Time, r *Request) {
	switch r.state {
	case queued:
		p.dequeue(r)
		r.state = finished
	case running:
		p.Done(now, r, Outcome{Result: CancelledByCaller})
	}
}

// Done ends a running request and frees its slot. Later calls for the same
// request do nothing.
func (p *Pool) Done(now time.Time, r *Request, o Outcome) *Backoff {
	if r.state != running {
		return nil
	}
	at := p.sinceEpoch(now)
	r.state = finished
	p.inFlight--
	if o.Latency <= 0 {
		o.Latency = at - r.started
	}
	earlier := r.backend.backoffUntil
	r.backend.finish(at, r, o)
	p.updateRunStats(r, o)
	if !r.backend.listed {
		p.removeUnlisted()
	}
	if o.Leaving {
		p.targetLeaves(at, r.info.Process())
	}
	p.fill(at, r.backend)
	if r.backend.backoffUntil == earlier {
		return nil
	}
	return r.backend.describeBackoff(at, o.Result, p.failedPercent(at))
}

// targetLeaves takes a target out that has announced that it leaves, and finds others
// for the queued requests.
func (p *Pool) targetLeaves(at time.Duration, process Process) {
	if !p.left.Add(process) {
		return
	}
	for _, b := range p.targets {
		b.left = b.left || b.info.Process().Same(process)
	}
	p.dispatchQueued(at)
}

// updateRunStats updates the typical running times of r's route and the estimate
// of how many objects a target caches. Failed requests and requests on slow or
// cold targets are left out, because their running times are not typical.
func (p *Pool) updateRunStats(r *Request, o Outcome) {
	if o.Result != OK || o.Report.Slowness > slowThreshold || r.startedCold {
		return
	}
	r.runStats.all.add(o.Latency)
	switch {
	case r.work.Object == "":
		return
	case r.reuseDistance < 0:
		if !p.cachedBefore(r, o.Latency) {
			r.runStats.uncached.add(o.Latency)
		}
		return
	case r.reuseDistance < p.capacity.objects():
		r.runStats.cached.add(o.Latency)
	}
	if cached, known := r.runStats.wasCached(o.Latency); known {
		p.capacity.observe(r.reuseDistance, cached)
	}
}

const (
	// inheritedCachePeriod is how long after its start a pool reckons with objects that its
	// targets cache since an earlier dispatcher.
	inheritedCachePeriod = 30 * time.Second
	// inheritedCacheFactor is the ratio to the typical running time with a cached object up
	// to which a run for an unknown object counts as one with a cached object.
	inheritedCacheFactor = 1.5
)

// cachedBefore reports whether the target of r had the object cached although the pool did
// not know it: an earlier dispatcher has sent it there. Counted as a run without the
// object, it would hide the difference that objects make.
func (p *Pool) cachedBefore(r *Request, latency time.Duration) bool {
	cached := &r.runStats.cached
	return r.started < inheritedCachePeriod && cached.usable() && float64(latency) < inheritedCacheFactor*float64(cached.mean())
}

func (p *Pool) refuseQueued(r *Request, refusal *Refusal) {
	p.dequeue(r)
	r.state, r.refusal = refused, refusal
	p.decided = append(p.decided, r)
}

// Decided returns the queued requests that were started or refused since the
// last call. The slice is valid until the next call of any method.
func (p *Pool) Decided() []*Request {
	out := p.decided
	p.decided = p.decided[:0]
	return out
}

// Hedge always returns false: a pool does not hedge requests.
func (p *Pool) Hedge(time.Time, *Request, *Request) bool { return false }

func (p *Pool) counts() (queued, running int) { return len(p.queue), p.inFlight }

func (p *Pool) inUse() map[string]uint32 {
	out := map[string]uint32{}
	for id, b := range p.byID {
		if len(b.running) > 0 {
			out[id] = uint32(len(b.running))
		}
	}
	return out
}
