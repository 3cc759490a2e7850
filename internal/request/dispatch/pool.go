package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Pool is the state of the targets of a service in a region that guard their
// slots themselves. It sends each request to where its answer is expected
// first: a target that has the request's object at hand is worth a wait, and
// one that is slow, fails or is busy costs more. It is not safe for concurrent
// use.
//
// Invariants: a target never has more requests in flight than its slots, except
// after its slots shrank; a cold target gets requests at its rate at most; a
// request with an objective waits only while it can meet it.
type Pool struct {
	set     Settings
	epoch   time.Time
	targets []*backend
	byID    map[string]*backend
	queue   []*Request // most urgent first
	routes  map[string]*runStats
	keeps   keeps
	decided []*Request
	seq     uint64
	flight  int
	stopped bool
}

// NewPool returns a pool without targets.
func NewPool(now time.Time, s Settings) *Pool {
	return &Pool{set: s.withDefaults(), epoch: now, byID: map[string]*backend{}, routes: map[string]*runStats{}}
}

func (p *Pool) at(now time.Time) time.Duration { return now.Sub(p.epoch) }

// Configure replaces the settings.
func (p *Pool) Configure(now time.Time, s Settings) {
	p.set = s.withDefaults()
	p.fill(p.at(now))
}

// SetTargets replaces the targets. Requests in flight on a target that is left
// out still count against it if it comes back.
func (p *Pool) SetTargets(now time.Time, infos []TargetInfo) {
	at := p.at(now)
	for _, b := range p.targets {
		b.listed = false
	}
	for _, info := range infos {
		b := p.byID[info.ID]
		if b == nil {
			b = &backend{joinedAt: at, untried: p.seq > 0}
			p.byID[info.ID] = b
			p.targets = append(p.targets, b)
		}
		b.use(at, info)
	}
	p.forget()
	p.fill(at)
	if !p.anyOpen() {
		p.refuseAll(refuse(errNoTarget, time.Second))
	}
}

// forget drops targets that are no longer listed and have nothing in flight.
func (p *Pool) forget() {
	p.targets = slices.DeleteFunc(p.targets, func(b *backend) bool {
		gone := !b.listed && len(b.running) == 0
		if gone {
			delete(p.byID, b.info.ID)
		}
		return gone
	})
}

func (p *Pool) anyOpen() bool { return slices.ContainsFunc(p.targets, (*backend).open) }

func (p *Pool) refuseAll(ref *Refusal) {
	for len(p.queue) > 0 {
		p.turnDown(p.queue[0], ref)
	}
}

// Stop refuses everything that waits and every later request. Requests in
// flight go on.
func (p *Pool) Stop() {
	p.stopped = true
	p.refuseAll(refuse(errStopping, time.Second))
}

// Submit starts, queues or refuses r.
func (p *Pool) Submit(now time.Time, r *Request, w Work) error {
	at := p.at(now)
	p.prepare(at, r, w)
	if ref := p.admit(at, r); ref != nil {
		r.state, r.refusal = refused, ref
		return ref
	}
	return nil
}

func (p *Pool) prepare(at time.Duration, r *Request, w Work) {
	p.seq++
	r.work, r.arrived, r.seq, r.pos = w, at, p.seq, -1
	r.runs = p.runsOf(w.Route)
	r.deadline = at + p.set.LongestDeadline
	if !w.Deadline.IsZero() {
		r.deadline = min(r.deadline, p.at(w.Deadline))
	}
	r.due = r.deadline
	if !w.Objective.IsZero() {
		r.due = min(r.due, p.at(w.Objective))
	}
}

// runsOf returns the running times of a route. Beyond maxRoutes, further
// routes share one record.
func (p *Pool) runsOf(route string) *runStats {
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

// admit starts or queues r, or returns why not.
func (p *Pool) admit(at time.Duration, r *Request) *Refusal {
	if p.stopped {
		return refuse(errStopping, time.Second)
	}
	best := p.best(at, r)
	switch {
	case best.target == nil:
		return refuse(errNoTarget, p.soonestBack(at))
	case best.wait == 0:
		// If it is late even so, no other target would be sooner.
		p.start(at, r, best)
		return nil
	case r.work.AnySlot || r.work.NoQueue:
		return refuse(errQueueFull, best.wait)
	case r.timed() && at+best.wait+best.run >= r.due:
		return refuse(errTooLate, best.wait)
	case len(p.queue) >= p.set.QueueLimit:
		return refuse(errQueueFull, best.wait)
	}
	p.enqueue(r, best.target)
	return nil
}

// timed reports whether r has a latency objective.
func (r *Request) timed() bool { return !r.work.Objective.IsZero() }

func (p *Pool) enqueue(r *Request, prefers *backend) {
	r.state, r.prefers = queued, prefers
	prefers.waiting++
	i, _ := slices.BinarySearchFunc(p.queue, r, moreUrgent)
	p.queue = slices.Insert(p.queue, i, r)
}

// moreUrgent orders the queue: by priority, by when the answer is due, and by
// arrival.
func moreUrgent(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.work.Priority, b.work.Priority), cmp.Compare(a.due, b.due), cmp.Compare(a.seq, b.seq))
}

func (p *Pool) dequeue(r *Request) {
	r.prefers.waiting--
	r.prefers = nil
	p.queue = slices.DeleteFunc(p.queue, func(q *Request) bool { return q == r })
}

func (p *Pool) start(at time.Duration, r *Request, f forecast) {
	r.state, r.started, r.backend, r.info = running, at, f.target, f.target.info
	r.expected, r.distance = f.run, f.distance
	r.reason = f.reason()
	f.target.begin(at, r)
	p.flight++
}

// Cancel withdraws r.
func (p *Pool) Cancel(now time.Time, r *Request) {
	switch r.state {
	case queued:
		p.dequeue(r)
		r.state = finished
	case running:
		p.Done(now, r, Outcome{Result: CancelledByCaller})
	}
}

// Done ends a running request. Later calls for the same request do nothing.
func (p *Pool) Done(now time.Time, r *Request, o Outcome) {
	if r.state != running {
		return
	}
	at := p.at(now)
	r.state = finished
	p.flight--
	if o.Latency <= 0 {
		o.Latency = at - r.started
	}
	r.backend.end(at, r, o)
	p.learn(r, o)
	if !r.backend.listed {
		p.forget()
	}
	p.fill(at)
}

// learn updates the typical running times, and how many objects targets keep.
func (p *Pool) learn(r *Request, o Outcome) {
	if o.Result != OK || o.Report.Slowness > slowNow || r.whileCold {
		return
	}
	r.runs.all.add(o.Latency)
	switch {
	case r.work.Object == "":
		return
	case r.distance < 0:
		r.runs.first.add(o.Latency)
		return
	case r.distance < p.keeps.most():
		r.runs.again.add(o.Latency)
	}
	if atHand, known := r.runs.wasAtHand(o.Latency); known {
		p.keeps.learn(r.distance, atHand)
	}
}

// fill starts waiting requests while that is where their answers are expected
// first, and turns down those that cannot be in time any more.
func (p *Pool) fill(at time.Duration) {
	for _, r := range slices.Clone(p.queue) {
		best := p.best(at, r)
		switch {
		case best.target == nil:
			p.turnDown(r, refuse(errNoTarget, p.soonestBack(at)))
		case r.deadline <= at:
			p.turnDown(r, refuse(errUnmeetable, best.wait))
		case best.wait == 0:
			p.dequeue(r)
			p.start(at, r, best)
			p.decided = append(p.decided, r)
		case r.timed() && at+best.wait+best.run >= r.due:
			p.turnDown(r, refuse(errTooLate, best.wait))
		case best.target != r.prefers:
			r.prefers.waiting--
			best.target.waiting++
			r.prefers = best.target
		}
	}
}

// turnDown refuses a queued request.
func (p *Pool) turnDown(r *Request, ref *Refusal) {
	p.dequeue(r)
	r.state, r.refusal = refused, ref
	p.decided = append(p.decided, r)
}

// Decided returns the queued requests that were started or refused since the
// last call.
func (p *Pool) Decided() []*Request {
	out := p.decided
	p.decided = p.decided[:0]
	return out
}

// Tick lets time pass.
func (p *Pool) Tick(now time.Time) { p.fill(p.at(now)) }

// Hedge gives no second slot.
func (p *Pool) Hedge(time.Time, *Request, *Request) bool { return false }

func (p *Pool) counts() (queued, running int) { return len(p.queue), p.flight }

func (p *Pool) inUse() map[string]uint32 {
	out := map[string]uint32{}
	for id, b := range p.byID {
		if len(b.running) > 0 {
			out[id] = uint32(len(b.running))
		}
	}
	return out
}

// Load returns the present load.
func (p *Pool) Load(now time.Time) Load {
	at := p.at(now)
	l := Load{Queued: len(p.queue), InFlight: p.flight, Draining: p.stopped || !p.anyOpen()}
	soonest := time.Duration(-1)
	slots, failed := 0, 0
	for _, b := range p.targets {
		if b.open() {
			slots += b.slots()
			if b.failedLately(at) {
				failed += b.slots()
			}
		}
		if !b.usable(at) || b.slowness(at) >= slowNow {
			continue
		}
		l.FreeSlots += max(0, b.slots()-len(b.running)-b.waiting)
		if w := b.waitFor(at, b.waiting, 0); soonest < 0 || w < soonest {
			soonest = w
		}
	}
	if l.FreeSlots == 0 {
		l.ExpectedWait = max(soonest, 0)
	}
	if slots > 0 {
		l.FailedPercent = 100 * failed / slots
	}
	for _, s := range p.routes {
		if s.all.known() {
			l.Run = max(l.Run, s.all.mean())
		}
	}
	return l
}

// soonestBack returns when a target may take requests again.
func (p *Pool) soonestBack(at time.Duration) time.Duration {
	soonest := time.Second
	for _, b := range p.targets {
		if b.open() && b.outUntil > at {
			soonest = min(soonest, b.outUntil-at)
		}
	}
	return soonest
}
