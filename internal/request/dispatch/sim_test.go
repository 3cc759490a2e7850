package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// sim is a discrete-event simulation of one Group on a virtual clock. At a load
// of 1 the offered work equals the capacity of all slots.
type sim struct {
	targets, slots   int
	set              Settings
	load             float64
	runTime          func(*rand.Rand) time.Duration // draws the running time of a short request
	stragglers       float64                        // share of requests that are stragglers
	stragglerFactor  float64                        // running time of stragglers relative to short requests
	route            string                         // of stragglers
	class            document.Class                 // of stragglers
	deadline         time.Duration
	duration, warmup time.Duration // requests that arrive before warmup are not measured
	slow             func(at time.Duration, target int) float64
	reportLag        time.Duration // age of the load reports; 0: no reports
	roundRobin       bool          // baseline: round robin to one queue per target, without the Group
	seed             uint64

	rng               *rand.Rand
	group             *Group
	now               time.Duration
	seq               int
	pending           events
	roundRobinTargets []roundRobinTarget
	reports           [][]float64 // load of each target, one row per second
	result            simResult
	jobs              map[*Request]*job // queued or running requests
	hedges            map[*job]*Request
}

type simResult struct {
	short                 []time.Duration // latency of short requests that completed
	good, late, refused   int             // counts of short requests
	longGood, longRefused int
	onSlow                int // starts on slow targets
	exceeded              bool
	ticks, demoted        int // ticks summed over the targets, and those with the target demoted
}

type roundRobinTarget struct {
	busy    int
	waiting []*job
}

type job struct {
	r         Request
	arrived   time.Duration
	run       time.Duration
	straggler bool
	done      bool
	target    int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func exponential(r *rand.Rand) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(*simMean))
}

func halfFixed(r *rand.Rand) time.Duration { return (*simMean + exponential(r)) / 2 }

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.pending, event{s.now + d, s.seq, f})
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) run() *simResult {
	s.rng = rand.New(rand.NewPCG(s.seed, 1))
	s.group = NewGroup(epoch, s.set)
	s.jobs, s.hedges = map[*Request]*job{}, map[*job]*Request{}
	s.roundRobinTargets = make([]roundRobinTarget, s.targets)
	s.report()
	s.arrive()
	s.tick()
	for s.now < s.duration {
		e := heap.Pop(&s.pending).(event)
		s.now = e.at
		e.do()
		s.startDecided()
	}
	slices.Sort(s.result.short)
	return &s.result
}

// report passes the load that the targets had reportLag ago to the group.
func (s *sim) report() {
	row := make([]float64, s.targets)
	for i := range row {
		if t := s.group.byID[fmt.Sprintf("t%02d", i)]; t != nil {
			row[i] = float64(t.inFlight()) / float64(s.slots)
		}
	}
	s.reports = append(s.reports, row)
	list := infos(s.targets, s.slots)
	if old := len(s.reports) - 1 - int(s.reportLag/time.Second); s.reportLag > 0 && old >= 0 {
		for i := range list {
			list[i].ReportedLoad = s.reports[old][i]
		}
	}
	s.group.SetTargets(s.time(), list)
	s.after(time.Second, s.report)
}

func (s *sim) tick() {
	s.group.Tick(s.time())
	for _, t := range s.group.targets {
		s.result.ticks++
		if t.health.demoted {
			s.result.demoted++
		}
	}
	s.after(queuedTick, s.tick)
}

func (s *sim) arrive() {
	j := &job{arrived: s.now, run: s.runTime(s.rng), straggler: s.rng.Float64() < s.stragglers}
	w := Work{Class: document.Short, Route: "short", Safe: true, Deadline: s.time().Add(s.deadline)}
	if j.straggler {
		j.run = time.Duration(s.stragglerFactor * float64(j.run))
		w.Class, w.Route = s.class, s.route
	}
	mean := (*simMean).Seconds() * (1 + s.stragglers*(max(s.stragglerFactor, 1)-1))
	rate := s.load * float64(s.targets*s.slots) / mean
	s.after(time.Duration(s.rng.ExpFloat64()/rate*1e9), s.arrive)
	if s.roundRobin {
		s.submitRoundRobin(j)
		return
	}
	if s.group.Submit(s.time(), &j.r, w) != nil {
		s.recordRefusal(j)
		return
	}
	s.jobs[&j.r] = j
	if j.r.state == running {
		s.start(j)
	}
}

// targetIndex returns the index of the target with this ID in infos.
func targetIndex(id string) int { return int(id[1]-'0')*10 + int(id[2]-'0') }

func (s *sim) startDecided() {
	for _, r := range s.group.Decided() {
		j := s.jobs[r]
		if r.state == refused {
			delete(s.jobs, r)
			s.recordRefusal(j)
			continue
		}
		s.start(j)
	}
}

func (s *sim) factor(target int) float64 {
	if s.slow == nil {
		return 1
	}
	return s.slow(s.now, target)
}

func (s *sim) start(j *job) {
	j.target = targetIndex(j.r.info.ID)
	if j.r.target.inFlight() > s.slots {
		s.result.exceeded = true
	}
	f := s.factor(j.target)
	if f > 1 {
		s.result.onSlow++
	}
	run := time.Duration(f * float64(j.run))
	s.after(run, func() { s.complete(j, &j.r) })
	if delay := s.group.HedgeDelay(&j.r); delay > 0 {
		s.after(delay, func() { s.hedge(j) })
	}
}

func (s *sim) hedge(j *job) {
	h := &Request{}
	if j.done || !s.group.Hedge(s.time(), &j.r, h) {
		return
	}
	// The hedge draws its own running time, because a long running time of the
	// first attempt may be caused by its target.
	run := time.Duration(s.factor(targetIndex(h.info.ID)) * float64(s.runTime(s.rng)))
	if j.straggler {
		run = time.Duration(s.stragglerFactor * float64(run))
	}
	first := &j.r
	s.after(run, func() {
		if !j.done {
			s.group.Done(s.time(), first, Outcome{Result: CancelledByCaller})
			s.complete(j, h)
		}
	})
	s.hedges[j] = h
}

func (s *sim) complete(j *job, by *Request) {
	if j.done {
		return
	}
	j.done = true
	s.group.Done(s.time(), by, Outcome{})
	if h := s.hedges[j]; h != nil {
		s.group.Done(s.time(), h, Outcome{Result: CancelledByCaller})
		delete(s.hedges, j)
	}
	delete(s.jobs, &j.r)
	s.recordCompletion(j)
}

func (s *sim) recordCompletion(j *job) {
	if j.arrived < s.warmup {
		return
	}
	took := s.now - j.arrived
	switch {
	case j.straggler && took <= s.deadline:
		s.result.longGood++
	case j.straggler:
	case took <= s.deadline:
		s.result.good++
		s.result.short = append(s.result.short, took)
	default:
		s.result.late++
		s.result.short = append(s.result.short, took)
	}
}

func (s *sim) recordRefusal(j *job) {
	if j.arrived < s.warmup {
		return
	}
	if j.straggler {
		s.result.longRefused++
		return
	}
	s.result.refused++
}

func (s *sim) submitRoundRobin(j *job) {
	s.seq++
	j.target = s.seq % s.targets
	s.roundRobinTargets[j.target].waiting = append(s.roundRobinTargets[j.target].waiting, j)
	s.startRoundRobin(j.target)
}

func (s *sim) startRoundRobin(i int) {
	t := &s.roundRobinTargets[i]
	for t.busy < s.slots && len(t.waiting) > 0 {
		j := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.busy++
		s.after(time.Duration(s.factor(i)*float64(j.run)), func() {
			t.busy--
			s.recordCompletion(j)
			s.startRoundRobin(i)
		})
	}
}

func (r *simResult) quantile(q float64) time.Duration {
	if len(r.short) == 0 {
		return 0
	}
	return r.short[int(q*float64(len(r.short)-1))]
}

func (r *simResult) String() string {
	return fmt.Sprintf("p50 %.1f ms, p99 %.1f ms, short good %d late %d refused %d, long good %d refused %d, on slow %d, demoted %.1f %%",
		r.quantile(0.5).Seconds()*1e3, r.quantile(0.99).Seconds()*1e3, r.good, r.late, r.refused, r.longGood, r.longRefused, r.onSlow, 100*float64(r.demoted)/float64(r.ticks))
}
