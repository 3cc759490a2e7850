package dispatch

import (
	"math"
	"slices"
	"time"
)

// Detection of slow targets.
//
// The running time of each request is divided by the typical time of its
// route and by the median of the targets' averages, so that 1 is normal for
// the group at present and the mix of routes does not matter. The evidence
// for "slow" is a cumulative sum of log-likelihood ratios between running
// times that are normal on average and ones slowBy times longer. A request
// in flight counts as if it completed now, so a target is demoted before its
// first slow response. What counts is the evidence above the peers' median.
const (
	slowBy = 5
	// demoteAt is reached by two to three requests of a target that became
	// ten times slower.
	demoteAt = 8
	// recoverAt is reached by about three quick trial requests.
	recoverAt = 2
	// One request is at most this much evidence, less where requests that
	// run long are common.
	maxEvidence   = 5
	minEvidence   = 1.5
	demotedShare  = 3 // at most one target in so many is demoted
	speedWeight   = 0.1
	tailWeight    = 0.005
	speedSamples  = 8  // requests of a route before its typical time counts
	longestRatio  = 20 // bounds one request's part in a target's average
	quickTrial    = 2  // a trial below this ratio is followed at once by the next
	evaluateParts = 8  // evaluations per typical running time
)

// shortestTypical is the least typical time that running times are compared
// with. Below it, delays of this machine look like slow targets.
const shortestTypical = 500 * time.Microsecond

// slowSlope and slowCost turn a ratio into its log-likelihood ratio.
var (
	slowSlope = 1 - 1/float64(slowBy)
	slowCost  = math.Log(slowBy)
)

// Trials of demoted targets. In between, other requests must have started,
// so that the trials of all demoted targets together stay below half a percent
// of a busy group: at one percent they are its p99.
const (
	minTrialGap    = 20 * time.Millisecond
	maxTrialGap    = 300 * time.Millisecond
	trialSpacing   = 250             // starts in the group between trials, per demoted target
	longestNoTrial = 5 * time.Second // then a quiet group tries as well
)

// health is the dispatcher's judgement of a target's speed.
type health struct {
	speed     mean    // ratio of its running times to the routes' typical ones
	evidence  float64 // cumulative, from responses
	suspicion float64 // evidence with requests in flight, above the peers' median
	demoted   bool
	since     time.Duration // of the demotion
	recovery  float64       // evidence for "quick" from trials
	gap       time.Duration // between trials
	lastTrial time.Duration // end of the last trial
	lastStart int           // Group.starts at the last trial
	again     bool          // the last trial was quick
}

// ratio returns how long d is for r, 1 being normal, or false if that is not
// known yet.
func (g *Group) ratio(r *Request, d time.Duration) (float64, bool) {
	if r.route.run.samples < speedSamples || r.route.run.mid == 0 {
		return 0, false
	}
	return float64(d) / float64(max(r.route.run.mid, shortestTypical)), true
}

// evidenceOf returns the evidence of a request with this normalised ratio.
func (g *Group) evidenceOf(x float64) float64 {
	return min(x*slowSlope-slowCost, g.mostEvidence())
}

// mostEvidence returns how much one request can prove, by the share of
// requests that run very long without a fault of their target.
func (g *Group) mostEvidence() float64 {
	most := math.Log(0.5 / max(g.tail.value, 0.001))
	return min(max(most, minEvidence), maxEvidence)
}

// watch updates the judgement of a target from the end of a request.
func (g *Group) watch(at time.Duration, r *Request, o Outcome) {
	d := o.Latency
	if o.FirstByte > 0 {
		d = o.FirstByte
	}
	raw, known := g.ratio(r, d)
	if !known || o.Result != OK && o.Result != CancelledByCaller {
		return
	}
	h := &r.target.health
	x := raw / g.base()
	ev := g.evidenceOf(x)
	if o.Result == CancelledByCaller {
		// It would have run longer: evidence for slow only.
		h.evidence += max(ev, 0)
		return
	}
	if x < quickTrial {
		r.target.goodSince++
	}
	h.speed.add(min(raw, longestRatio), speedWeight)
	if h.demoted {
		g.watchTrial(at, r, x)
		return
	}
	h.evidence = max(0, h.evidence+ev)
	straggled := 0.0
	if x > stragglerFactor {
		straggled = 1
	}
	g.tail.add(straggled, tailWeight)
}

// watchTrial judges a trial request of a demoted target.
func (g *Group) watchTrial(at time.Duration, r *Request, x float64) {
	h := &r.target.health
	if r.started < h.since {
		return
	}
	h.lastTrial, h.lastStart = at, g.starts
	h.again = x < quickTrial
	if !h.again {
		h.gap = min(2*h.gap, maxTrialGap)
	}
	h.recovery = max(0, h.recovery-g.evidenceOf(x))
	if h.recovery >= recoverAt {
		h.restore(g.base())
	}
}

// base returns the median of the targets' averages, at least 1.
func (g *Group) base() float64 {
	return max(1, g.median)
}

// evaluate reclassifies stragglers, compares the targets and demotes the
// slowest. It runs a few times per typical running time: stragglers that are
// found many at a time would count as a run of them in their route.
func (g *Group) evaluate(at time.Duration) {
	if at-g.evaluated < g.routes.short.mid/evaluateParts {
		return
	}
	g.evaluated = at
	g.reclassify(at)
	g.updateMedian()
	g.scratch = g.scratch[:0]
	for _, t := range g.targets {
		t.health.suspicion = t.health.evidence + g.evidenceInFlight(at, t)
		if t.usable() && !t.health.demoted {
			g.scratch = append(g.scratch, t.health.suspicion)
		}
	}
	peers := middle(g.scratch)
	peers += math.Sqrt(peers * g.mostEvidence())
	for _, t := range g.targets {
		t.health.suspicion = max(0, t.health.suspicion-peers)
	}
	g.demote(at)
}

func (g *Group) updateMedian() {
	g.scratch = g.scratch[:0]
	for _, t := range g.targets {
		if t.usable() && !t.health.demoted && t.health.speed.n >= speedSamples {
			g.scratch = append(g.scratch, t.health.speed.value)
		}
	}
	if len(g.scratch) > 0 {
		g.median = middle(g.scratch)
	}
}

// middle returns the lower median of v, which it sorts; 0 for none.
func middle(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

func (g *Group) evidenceInFlight(at time.Duration, t *target) float64 {
	sum, base := 0.0, g.base()
	for _, r := range t.running {
		if x, known := g.ratio(r, at-r.started); known {
			sum += max(0, g.evidenceOf(x/base))
		}
	}
	return sum
}

// demote takes the most suspicious target out of normal traffic if there is
// enough evidence, and keeps the number of demoted targets in bounds.
func (g *Group) demote(at time.Duration) {
	usable, demoted := 0, 0
	var worst, best *target
	for _, t := range g.targets {
		if !t.usable() {
			continue
		}
		usable++
		if t.health.demoted {
			demoted++
			best = lessSuspicious(best, t)
			continue
		}
		if worst == nil || t.health.suspicion > worst.health.suspicion {
			worst = t
		}
	}
	most := usable / demotedShare
	if demoted > most {
		// Targets left the group since the demotion.
		best.health.restore(g.base())
		g.demote(at)
		return
	}
	if worst != nil && worst.health.suspicion >= demoteAt && demoted < most {
		worst.health.start(at, g.starts)
	}
}

func lessSuspicious(a, b *target) *target {
	if a == nil || b.health.suspicion < a.health.suspicion {
		return b
	}
	return a
}

// start begins a demotion.
func (h *health) start(at time.Duration, starts int) {
	h.demoted, h.since, h.recovery = true, at, 0
	h.gap, h.lastTrial, h.lastStart, h.again = minTrialGap, at, starts, false
}

// restore ends a demotion. Half of the evidence stays, so that a relapse is
// seen sooner.
func (h *health) restore(speed float64) {
	h.demoted = false
	h.evidence = demoteAt / 2
	h.speed = mean{value: speed, n: 1}
}

// trialDue reports whether the demoted target t may try r now. Safe short
// requests go first; others only when none came for a while.
func (g *Group) trialDue(at time.Duration, r *Request, t *target) bool {
	h := &t.health
	if r.long || r.work.Once || r.hedge || g.trialRunning(t) {
		return false
	}
	if h.again {
		return true
	}
	waited := at - h.lastTrial
	if waited < longestNoTrial && (waited < h.gap || g.starts-h.lastStart < trialSpacing*g.demotedTargets()) {
		return false
	}
	return r.work.Safe || waited > 2*max(h.gap, minTrialGap)
}

func (g *Group) demotedTargets() int {
	n := 0
	for _, t := range g.targets {
		if t.health.demoted {
			n++
		}
	}
	return n
}

func (g *Group) trialRunning(t *target) bool {
	for _, r := range t.running {
		if r.started >= t.health.since {
			return true
		}
	}
	return false
}
