package dispatch

import (
	"math"
	"slices"
	"time"
)

// Parameters for the detection of slow targets.
//
// The running time of each request is divided by the median running time of its
// route and by the median of the targets' average ratios. The normalised ratio
// is 1 for a target that is normal in the group at present, whatever the mix of
// routes. The evidence that a target is slow is a cumulative sum (CUSUM) of
// log-likelihood ratios between exponentially distributed running times with a
// normal mean and with a mean that is slowFactor times longer. A request in
// flight counts as if it completed now, so a target can be demoted before its
// first slow response. The median evidence of the targets in normal traffic and
// a margin are subtracted before the comparison, so that a slowdown of the whole
// group demotes none.
const (
	slowFactor = 5
	// demoteEvidence is reached by two to three requests of a target that became
	// ten times slower.
	demoteEvidence = 8
	// recoveryEvidence is reached by about three quick trial requests.
	recoveryEvidence = 2
	// maxEvidence and minEvidence bound the evidence that one request can give.
	// The limit between them is lower the more requests run long.
	maxEvidence          = 5
	minEvidence          = 1.5
	demotedDivisor       = 3 // at most one in this many targets is demoted
	ratioWeight          = 0.1
	stragglerShareWeight = 0.005
	ratioSamples         = 8  // samples of a route or target before its ratios count
	maxRatio             = 20 // limits the effect of one request on a target's average
	quickRatio           = 2  // a trial below this ratio is followed by the next one at once
	evaluationsPerRun    = 8  // evaluations per median running time of short work
)

// minTypicalRun is the lower bound of the typical time that running times are
// compared with. Below it, delays of the local machine would look like slow
// targets.
const minTypicalRun = 500 * time.Microsecond

// llrSlope and llrOffset convert a normalised ratio to its log-likelihood ratio,
// which is ratio*llrSlope - llrOffset.
var (
	llrSlope  = 1 - 1/float64(slowFactor)
	llrOffset = math.Log(slowFactor)
)

// Parameters for trial requests to demoted targets and to targets after a back-off.
// A number of other requests must start between two trials, so that the trials of
// all these targets together stay below half a percent of the requests of a busy group. At one
// percent, the slow trials would determine the 99th percentile of the latency.
const (
	minTrialGap    = 20 * time.Millisecond
	maxTrialGap    = 300 * time.Millisecond
	startsPerTrial = 250             // requests started in the group between two trials, per target on trial
	forcedTrialGap = 5 * time.Second // after this time a trial is due even if few requests were started
)

// health holds the evidence that a target is slow, and the state of its demotion.
type health struct {
	meanRatio         mean    // moving average of the ratios of its running times to the routes' medians
	evidence          float64 // cumulative evidence from responses
	suspicion         float64 // evidence including requests in flight, less the level of the targets in normal traffic
	demoted           bool
	demotedAt         time.Duration // start of the demotion
	recovery          float64       // evidence from trials that the target is quick again
	trialGap          time.Duration // minimum time between trials
	lastTrialEnd      time.Duration // end of the last trial
	startsAtLastTrial int           // Group.startCount at the last trial
	lastTrialQuick    bool          // the last trial was quick, so the next one is due at once
}

// ratio returns d relative to the median running time of r's route, or false if
// the route has too few samples.
func (g *Group) ratio(r *Request, d time.Duration) (float64, bool) {
	if r.route.run.samples < ratioSamples || r.route.run.mid == 0 {
		return 0, false
	}
	return float64(d) / float64(max(r.route.run.mid, minTypicalRun)), true
}

// evidenceOf returns the evidence given by a request with this normalised ratio.
// It is negative for a quick request.
func (g *Group) evidenceOf(ratio float64) float64 {
	return min(ratio*llrSlope-llrOffset, g.evidenceCap())
}

// evidenceCap returns the maximum evidence that one request can give. It falls
// with the share of requests that run very long although their target is normal.
func (g *Group) evidenceCap() float64 {
	evidence := math.Log(0.5 / max(g.stragglerShare.value, 0.001))
	return min(max(evidence, minEvidence), maxEvidence)
}

// observeSpeed updates the health of a target from the outcome of a request.
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
		// The request would have run longer, so it can only be evidence that the
		// target is slow.
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

// observeTrial updates the health of a demoted target from the end of a trial
// request. Requests that were started before the demotion are ignored.
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

// baseRatio returns the median of the targets' average ratios, but at least 1.
func (g *Group) baseRatio() float64 {
	return max(1, g.medianRatio)
}

// evaluate reclassifies stragglers, compares the targets and demotes the slowest
// one if there is enough evidence. It runs a few times per median running time of
// short work. If it ran less often, many stragglers would be found at once, and
// they would count as consecutive stragglers of their route.
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

// lowerMedian sorts the values and returns their lower median, or 0 if there are
// none.
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

// demote demotes the target with the highest suspicion if it reaches
// demoteEvidence. A demoted target gets only trial requests. If more targets are
// demoted than demotedDivisor allows, demote restores those with the least
// suspicion.
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
		// Other targets left the group since the demotion.
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

// demote starts a demotion. starts is Group.startCount.
func (h *health) demote(at time.Duration, starts int) {
	h.demoted, h.demotedAt, h.recovery = true, at, 0
	h.trialGap, h.lastTrialEnd, h.startsAtLastTrial, h.lastTrialQuick = minTrialGap, at, starts, false
}

// restore ends a demotion. The evidence starts at half of demoteEvidence, so
// that a target which becomes slow again is demoted sooner.
func (h *health) restore(ratio float64) {
	h.demoted = false
	h.evidence = demoteEvidence / 2
	h.meanRatio = mean{value: ratio, n: 1}
}

// trialDue reports whether r may run now as a trial on t, which is demoted or
// half-open. A half-open target costs more than others that have a free slot, so
// without trials it would get no request until those have none.
func (g *Group) trialDue(at time.Duration, r *Request, t *target) bool {
	h := &t.health
	switch {
	case !mayBeTrial(r):
		return false
	case !h.demoted:
		return t.halfOpen && t.inFlight() == 0 && g.waitedForTrial(at, r, t.halfOpenSince, t.startsWhenHalfOpen, maxTrialGap)
	case g.trialRunning(t):
		return false
	}
	return h.lastTrialQuick || g.waitedForTrial(at, r, h.lastTrialEnd, h.startsAtLastTrial, h.trialGap)
}

// mayBeTrial reports whether r may run on a target of which little good is known.
// Long work, at-most-once work and hedges may not.
func mayBeTrial(r *Request) bool { return !r.long && !r.work.AtMostOnce && !r.isHedge }

// waitedForTrial reports whether enough time, at least gap, and enough requests
// have passed since the last trial. A request that is not safe becomes a trial only
// if no safe one came for a while.
func (g *Group) waitedForTrial(at time.Duration, r *Request, lastEnd time.Duration, startsAtLast int, gap time.Duration) bool {
	waited := at - lastEnd
	if waited < forcedTrialGap && (waited < gap || g.startCount-startsAtLast < startsPerTrial*g.targetsOnTrial()) {
		return false
	}
	return r.work.Safe || waited > 2*max(gap, minTrialGap)
}

// targetsOnTrial returns the number of targets that share the trials.
func (g *Group) targetsOnTrial() int {
	n := 0
	for _, t := range g.targets {
		if t.health.demoted || t.halfOpen {
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
