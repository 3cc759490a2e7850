package dispatch

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/retry"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

type state int8

const (
	idle state = iota
	queued
	running
	refused
	finished
)

// Request is a unit of work in a Group or a Pool. The zero value is ready for
// Submit. Times are durations since the epoch of the Group or Pool.
type Request struct {
	work         Work
	state        state
	long         bool // currently counts as long work
	reclassified bool // counted as long only after it had started
	seq          uint64
	arrived      time.Duration
	started      time.Duration
	deadline     time.Duration
	pos          int // index in its queue or in the running list of its target
	target       *target
	info         TargetInfo // copy of the target's information, taken at the start
	route        *route
	reason       string
	refusal      *Refusal
	hedgeDelay   time.Duration // result of HedgeDelay at the start
	isHedge      bool          // this request is a hedge of another one
	hedged       bool          // a hedge of this request was started
	ready        chan struct{}
	pauses       []pauseEnd // of targets that want no requests from the entry of the request

	// The fields below are used only by Pool.
	due           time.Duration // the earlier of the objective and the deadline
	runStats      *runStats
	choice        forecast      // best target, while the request is queued
	chosenAt      time.Duration // time of the choice
	backend       *backend      // target that the request was started on
	expectedRun   time.Duration
	reuseDistance int  // of its object when it was started; -1: the target had not handled the object
	startedCold   bool // started while the target was cold
}

// Group schedules the requests of one dispatch group with a hard limit of slots
// per target. It is not safe for concurrent use.
//
// Invariants: a target never has more requests in flight than its slots, except
// after the number of its slots was lowered, and then it gets no new ones; long
// work holds at most its share of the slots, except for requests in flight that
// were reclassified; a request waits only while no target can take it.
type Group struct {
	settings     Settings
	epoch        time.Time
	targets      []*target
	byID         map[string]*target
	short        queue
	long         queue
	seq          uint64
	inFlight     int
	longInFlight int // requests in flight that count as long
	routes       routes
	decided      []*Request
	left         Departures
	stopped      bool
	rotation     int // advances the first target to be considered, so that equally good ones take turns
	startCount   int // requests started so far
	hedges       *retry.Budget

	stragglerShare mean          // share of requests whose normalised running time exceeds stragglerFactor
	medianRatio    float64       // median of the targets' health.meanRatio
	lastEvaluated  time.Duration // time of the last evaluation
	scratch        []float64
}

// NewGroup returns a group without targets.
func NewGroup(now time.Time, s Settings) *Group {
	return &Group{
		settings: s.withDefaults(),
		epoch:    now,
		byID:     map[string]*target{},
		routes:   newRoutes(),
		hedges:   retry.NewBudget(hedgePolicy(s), now),
	}
}

func (g *Group) sinceEpoch(now time.Time) time.Duration { return now.Sub(g.epoch) }

// Configure replaces the settings and starts queued requests that the new ones
// admit.
func (g *Group) Configure(now time.Time, s Settings) {
	g.settings = s.withDefaults()
	g.hedges.SetPolicy(hedgePolicy(s))
	g.dispatchQueued(g.sinceEpoch(now))
}

// SetTargets replaces the targets. A target that is left out keeps its requests
// in flight, and they still count against its slots if it is listed again.
func (g *Group) SetTargets(now time.Time, infos []TargetInfo) {
	at := g.sinceEpoch(now)
	for _, t := range g.targets {
		t.listed = false
	}
	for _, info := range infos {
		t := g.byID[info.ID]
		if t == nil {
			t = &target{}
			g.byID[info.ID] = t
			g.targets = append(g.targets, t)
		}
		if !t.info.HealthySince.Equal(info.HealthySince) {
			t.warmupStart = g.sinceEpoch(info.HealthySince)
			t.quickResponses = 0
			t.health = health{}
		}
		t.info = info
		t.listed = true
		t.left = g.left.Has(info.Process())
	}
	g.removeUnlisted()
	g.demote(at)
	g.dispatchQueued(at)
	g.refuseWithoutTarget(at)
}

// removeUnlisted removes targets that are no longer listed and have no requests
// in flight.
func (g *Group) removeUnlisted() {
	kept := g.targets[:0]
	for _, t := range g.targets {
		if t.listed || t.inFlight() > 0 {
			kept = append(kept, t)
			continue
		}
		delete(g.byID, t.info.ID)
	}
	clear(g.targets[len(kept):])
	g.targets = kept
}

// refuseWithoutTarget refuses all queued requests if no target accepts requests.
func (g *Group) refuseWithoutTarget(at time.Duration) {
	if g.anyAccepting() {
		return
	}
	g.refuseAll(refuse(errNoTarget, time.Second))
}

func (g *Group) refuseAll(refusal *Refusal) {
	for _, q := range []*queue{&g.short, &g.long} {
		for q.len() > 0 {
			g.refuseQueued(q.head(), refusal)
		}
	}
}

func (g *Group) anyAccepting() bool {
	for _, t := range g.targets {
		if t.accepting() {
			return true
		}
	}
	return false
}

// Stop refuses all queued and all later requests. Requests in flight continue.
func (g *Group) Stop() {
	g.stopped = true
	g.refuseAll(refuse(errStopping, time.Second))
}

// Submit starts, queues or refuses r. Afterwards r is running or queued, or the
// error is a *Refusal.
func (g *Group) Submit(now time.Time, r *Request, w Work) error {
	at := g.sinceEpoch(now)
	g.initRequest(at, r, w)
	if refusal := g.admit(at, r); refusal != nil {
		r.state = refused
		r.refusal = refusal
		return refusal
	}
	return nil
}

func (g *Group) initRequest(at time.Duration, r *Request, w Work) {
	r.work = w
	r.arrived = at
	r.route = g.routes.get(w.Route)
	r.long = w.Class == document.Long || r.route.long
	r.deadline = at + g.settings.LongestDeadline
	if !w.Deadline.IsZero() {
		r.deadline = min(r.deadline, g.sinceEpoch(w.Deadline))
	}
	g.seq++
	r.seq = g.seq
	r.pos = -1
	r.setPauses(at)
}

// admit starts or queues r, or returns a refusal.
func (g *Group) admit(at time.Duration, r *Request) *Refusal {
	if g.stopped {
		return refuse(errStopping, time.Second)
	}
	if refusal := g.checkTargets(at, r); refusal != nil {
		return refusal
	}
	if g.mayBypassQueue(at, r) {
		if refusal := g.checkDeadline(at, r, 0, r.route.run.low); refusal != nil {
			return refusal
		}
		if t, reason := g.chooseTarget(at, r); t != nil {
			g.start(at, r, t, reason)
			return nil
		}
	}
	return g.enqueue(at, r)
}

// mayBypassQueue reports whether r may start at once, because no queued request
// goes ahead of it.
func (g *Group) mayBypassQueue(at time.Duration, r *Request) bool {
	if r.long {
		return g.short.len() == 0 && g.long.len() == 0 && g.longInFlight < g.longCap(at)
	}
	return g.short.len() == 0
}

func (g *Group) enqueue(at time.Duration, r *Request) *Refusal {
	limit := g.settings.QueueLimit
	if r.work.Remote {
		limit = max(1, limit/remoteQueueDivisor)
	}
	wait := g.expectedWait(at, r)
	if g.queuedCount() >= limit || r.long && g.long.len() >= max(1, limit*g.settings.LongSharePercent/100) {
		return refuse(errQueueFull, wait)
	}
	if refusal := g.checkDeadline(at, r, wait, r.route.run.high); refusal != nil {
		return refusal
	}
	r.state = queued
	g.queueOf(r).push(r)
	return nil
}

// remoteQueueDivisor is the divisor of the queue limit for requests from other
// data centres, so that their spillover cannot fill the queue.
const remoteQueueDivisor = 2

func (g *Group) queuedCount() int { return g.short.len() + g.long.len() }

func (g *Group) queueOf(r *Request) *queue {
	if r.long {
		return &g.long
	}
	return &g.short
}

func (g *Group) start(at time.Duration, r *Request, t *target, reason string) {
	r.state = running
	r.started = at
	r.target = t
	r.info = t.info
	r.reason = reason
	r.hedgeDelay = g.HedgeDelay(r)
	t.add(r)
	g.startCount++
	if !r.isHedge {
		g.hedges.CountRequest(g.epoch.Add(at))
	}
	g.inFlight++
	if r.long {
		g.longInFlight++
	}
}

// Cancel withdraws r. A queued request is removed and a running one frees its
// slot.
func (g *Group) Cancel(now time.Time, r *Request) {
	switch r.state {
	case queued:
		g.queueOf(r).remove(r)
		r.state = finished
	case running:
		g.Done(now, r, Outcome{Result: CancelledByCaller})
	}
}

// Done ends a running request and frees its slot. Later calls for the same
// request do nothing.
func (g *Group) Done(now time.Time, r *Request, o Outcome) *Backoff {
	if r.state != running {
		return nil
	}
	at := g.sinceEpoch(now)
	r.state = finished
	g.inFlight--
	if r.long {
		g.longInFlight--
	}
	r.target.remove(r)
	if o.Leaving {
		g.targetLeaves(r.info.Process())
	}
	g.updateEstimates(at, r, o)
	if !r.target.listed {
		g.removeUnlisted()
	}
	g.evaluate(at)
	g.dispatchQueued(at)
	if o.Leaving {
		g.refuseWithoutTarget(at)
	}
	return nil
}

// targetLeaves takes a target out that has announced that it leaves.
func (g *Group) targetLeaves(process Process) {
	g.left.Add(process)
	for _, t := range g.targets {
		t.left = t.left || t.info.Process().Same(process)
	}
}

// mayStartBackoff reports whether another target may be put into back-off
// because of server errors. If many targets answer with errors, the requests are
// the likely cause, and a back-off of these targets would also refuse requests
// that they can answer.
func (g *Group) mayStartBackoff(at time.Duration) bool {
	accepting, backedOff := 0, 0
	for _, t := range g.targets {
		if !t.accepting() {
			continue
		}
		accepting++
		if at < t.backoffUntil {
			backedOff++
		}
	}
	return (backedOff+1)*demotedDivisor <= accepting
}

// updateEstimates updates the state of the target and the running-time estimates
// from the outcome of r.
func (g *Group) updateEstimates(at time.Duration, r *Request, o Outcome) {
	if o.Latency <= 0 {
		o.Latency = at - r.started
	}
	if o.Result != ServerError && o.Result != Overran || g.mayStartBackoff(at) {
		r.target.observe(at, o.Result)
	}
	if r.target.halfOpen {
		r.target.halfOpenSince, r.target.startsWhenHalfOpen = at, g.startCount
	}
	g.observeSpeed(at, r, o)
	if o.Result != OK {
		return
	}
	r.route.run.record(o.Latency)
	g.updateRouteClass(r, o.Latency)
	g.routes.record(r.long, o.Latency)
}

// refuseQueued refuses a queued request.
func (g *Group) refuseQueued(r *Request, refusal *Refusal) {
	g.queueOf(r).remove(r)
	r.state = refused
	r.refusal = refusal
	g.decided = append(g.decided, r)
}

// Decided returns the queued requests that were started or refused since the
// last call. The slice is valid until the next call of any method.
func (g *Group) Decided() []*Request {
	out := g.decided
	g.decided = g.decided[:0]
	return out
}

// Tick refuses queued requests whose deadline has passed and starts others on
// slots that became available.
func (g *Group) Tick(now time.Time) {
	at := g.sinceEpoch(now)
	g.evaluate(at)
	g.expire(at, &g.short)
	g.expire(at, &g.long)
	g.dispatchQueued(at)
}

func (g *Group) expire(at time.Duration, q *queue) {
	for r := q.head(); r != nil && r.deadline <= at; r = q.head() {
		g.refuseQueued(r, refuse(errUnmeetable, g.expectedWait(at, r)))
	}
}

// Load returns the current load.
func (g *Group) Load(now time.Time) Load {
	at := g.sinceEpoch(now)
	l := Load{Queued: g.queuedCount(), InFlight: g.inFlight, Draining: g.stopped}
	active, leaving := 0, 0
	for _, t := range g.targets {
		if !t.health.demoted {
			l.FreeSlots += max(0, t.limit(at, &g.settings)-t.inFlight())
		}
		if t.listed && (t.info.State == Leaving || t.left) {
			leaving++
		}
		if t.listed && t.left {
			l.Leaving = append(l.Leaving, t.info.Process())
		}
		if t.usable() {
			active++
		}
	}
	if active == 0 && leaving > 0 {
		l.Draining = true
	}
	if l.FreeSlots == 0 {
		l.ExpectedWait = g.expectedShortWait(at, g.short.len())
	}
	return l
}
