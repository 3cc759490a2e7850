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
	slowFactor = 5
	// demoteAt is reached by two to three requests of a target that became
	// ten times slower.
	demoteEvidence = 8
	// recoverAt is reached by about three quick trial requests.
	recoveryEvidence = 2
	// One request is at most this much evidence, less where requests that
	// run long are common.
	maxEvidence          = 5
	minEvidence          = 1.5
	demotedDivisor       = 3 // at most one target in so many is demoted
	ratioWeight          = 0.1
	stragglerShareWeight = 0.005
	ratioSamples         = 8  // requests of a route before its typical time counts
	maxRatio             = 20 // bounds one request's part in a target's average
	quickRatio           = 2  // a trial below this ratio is followed at once by the next
	evaluationsPerRun    = 8  // evaluations per typical running time
)

// shortestTypical is the least typical time that running times are compared
// with. Below it, delays of this machine look like slow targets.
const minTypicalRun = 500 * time.Microsecond

// slowSlope and slowCost turn a ratio into its log-likelihood ratio.
var (
	llrSlope  = 1 - 1/float64(slowFactor)
	llrOffset = math.Log(slowFactor)
)

// Trials of demoted targets. In between, other requests must have started,
// so that the trials of all demoted targets together stay below half a percent
// of a busy group: at one percent they are its p99.
const (
	minTrialGap    = 20 * time.Millisecond
	maxTrialGap    = 300 * time.Millisecond
	startsPerTrial = 250             // starts in the group between trials, per demoted target
	forcedTrialGap = 5 * time.Second // then a quiet group tries as well
)

// health is the dispatcher's judgement of a target's speed.
type health struct {
	meanRatio         mean    // ratio of its running times to the routes' typical ones
	evidence          float64 // cumulative, from responses
	suspicion         float64 // evidence with requests in flight, above the peers' median
	demoted           bool
	demotedAt         time.Duration // of the demotion
	recovery          float64       // evidence for "quick" from trials
	trialGap          time.Duration // between trials
	lastTrialEnd      time.Duration // end of the last trial
	startsAtLastTrial int           // Group.starts at the last trial
	lastTrialQuick    bool          // the last trial was quick
}

// ratio returns how long d is for r, 1 being normal, or false if that is not
// known yet.
func (g *Group) ratio(r *Request, d time.Duration) (float64, bool) {
	if r.route.run.samples < ratioSamples || r.route.run.mid == 0 {
		return 0, false
	}
	return float64(d) / float64(max(r.route.run.mid, minTypicalRun)), true
}

// evidenceOf returns the evidence of a request with this normalised ratio.
func (g *Group) evidenceOf(ratio float64) float64 {
	return min(ratio*llrSlope-llrOffset, g.evidenceCap())
}

// mostEvidence returns how much one request can prove, by the share of
// requests that run very long without a fault of their target.
func (g *Group) evidenceCap() float64 {
	evidence := math.Log(0.5 / max(g.stragglerShare.value, 0.001))
	return min(max(evidence, minEvidence), maxEvidence)
}

// watch updates the judgement of a target from the end of a request.
func (g *Group) observeSpeed(at time.Duration, r *Request, o Outcome) {
	d := o.Latency
	if o.FirstByte > 0 {
		d = o.FirstByte
	}
	raw, known := g.ratio(r, d)
	if !known || o.Result != OK && o.Result != CancelledByCaller {
		return
	}
	h := &r.target.health
	ratio := raw / g.baseRatio()
	evidence := g.evidenceOf(ratio)
	if o.Result == CancelledByCaller {
		// It would have run longer: evidence for slow only.
		h.evidence += max(evidence, 0)
		return
	}
	if ratio < quickRatio {
		r.target.quickResponses++
	}
	h.meanRatio.add(min(raw, maxRatio), ratioWeight)
	if h.demoted {
		g.observeTrial(at, r, ratio)
		return
	}
	h.evidence = max(0, h.evidence+evidence)
	straggled := 0.0
	if ratio > stragglerFactor {
		straggled = 1
	}
	g.stragglerShare.add(straggled, stragglerShareWeight)
}

// watchTrial judges a trial request of a demoted target.
func (g *Group) observeTrial(at time.Duration, r *Request, ratio float64) {
	h := &r.target.health
	if r.started < h.demotedAt {
		return
	}
	h.lastTrialEnd, h.startsAtLastTrial = at, g.startCount
	h.lastTrialQuick = ratio < quickRatio
	if !h.lastTrialQuick {
		h.trialGap = min(2*h.trialGap, maxTrialGap)
	}
	h.recovery = max(0, h.recovery-g.evidenceOf(ratio))
	if h.recovery >= recoveryEvidence {
		h.restore(g.baseRatio())
	}
}

// base returns the median of the targets' averages, at least 1.
func (g *Group) baseRatio() float64 {
	return max(1, g.medianRatio)
}

// evaluate reclassifies stragglers, compares the targets and demotes the
// slowest. It runs a few times per typical running time: stragglers that are
// found many at a time would count as a run of them in their route.
func (g *Group) evaluate(at time.Duration) {
	if at-g.lastEvaluated < g.routes.short.mid/evaluationsPerRun {
		return
	}
	g.lastEvaluated = at
	g.reclassify(at)
	g.updateMedian()
	g.scratch = g.scratch[:0]
	for _, t := range g.targets {
		t.health.suspicion = t.health.evidence + g.evidenceInFlight(at, t)
		if t.usable() && !t.health.demoted {
			g.scratch = append(g.scratch, t.health.suspicion)
		}
	}
	peers := lowerMedian(g.scratch)
	peers += math.Sqrt(peers * g.evidenceCap())
	for _, t := range g.targets {
		t.health.suspicion = max(0, t.health.suspicion-peers)
	}
	g.demote(at)
}

func (g *Group) updateMedian() {
	g.scratch = g.scratch[:0]
	for _, t := range g.targets {
		if t.usable() && !t.health.demoted && t.health.meanRatio.n >= ratioSamples {
			g.scratch = append(g.scratch, t.health.meanRatio.value)
		}
	}
	if len(g.scratch) > 0 {
		g.medianRatio = lowerMedian(g.scratch)
	}
}

// middle returns the lower median of v, which it sorts; 0 for none.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func (g *Group) evidenceInFlight(at time.Duration, t *target) float64 {
	sum, base := 0.0, g.baseRatio()
	for _, r := range t.running {
		if ratio, known := g.ratio(r, at-r.started); known {
			sum += max(0, g.evidenceOf(ratio/base))
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
	maxDemoted := usable / demotedDivisor
	if demoted > maxDemoted {
		// Targets left the group since the demotion.
		best.health.restore(g.baseRatio())
		g.demote(at)
		return
	}
	if worst != nil && worst.health.suspicion >= demoteEvidence && demoted < maxDemoted {
		worst.health.demote(at, g.startCount)
	}
}

func lessSuspicious(a, b *target) *target {
	if a == nil || b.health.suspicion < a.health.suspicion {
		return b
	}
	return a
}

// start begins a demotion.
func (h *health) demote(at time.Duration, starts int) {
	h.demoted, h.demotedAt, h.recovery = true, at, 0
	h.trialGap, h.lastTrialEnd, h.startsAtLastTrial, h.lastTrialQuick = minTrialGap, at, starts, false
}

// restore ends a demotion. Half of the evidence stays, so that a relapse is
// seen sooner.
func (h *health) restore(ratio float64) {
	h.demoted = false
	h.evidence = demoteEvidence / 2
	h.meanRatio = mean{value: ratio, n: 1}
}

// trialDue reports whether the demoted target t may try r now. Safe short
// requests go first; others only when none came for a while.
func (g *Group) trialDue(at time.Duration, r *Request, t *target) bool {
	h := &t.health
	if r.long || r.work.AtMostOnce || r.isHedge || g.trialRunning(t) {
		return false
	}
	if h.lastTrialQuick {
		return true
	}
	waited := at - h.lastTrialEnd
	if waited < forcedTrialGap && (waited < h.trialGap || g.startCount-h.startsAtLastTrial < startsPerTrial*g.demotedTargets()) {
		return false
	}
	return r.work.Safe || waited > 2*max(h.trialGap, minTrialGap)
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
		if r.started >= t.health.demotedAt {
			return true
		}
	}
	return false
}
