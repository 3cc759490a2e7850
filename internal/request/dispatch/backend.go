package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// slownessReportTTL is how long a reported slowness counts. Slow phases of
	// shared machines last for some hundreds of milliseconds, and a target that
	// gets no requests sends no newer report.
	slownessReportTTL = 400 * time.Millisecond
	// slowThreshold is the slowness from which the slots of a target do not count
	// as free in Load.
	slowThreshold = 1.5
	// slownessWeight is the part of the reported slowness that affects a request
	// on average, since the slow phase may end while the request runs.
	slownessWeight = 0.6

	// slowdownWeight is the weight of a new running time in the slowdown of a
	// target. The measured slowdown decays with slowdownHalfLife, so that a target
	// that was slow is tried again.
	slowdownWeight   = 0.2
	slowdownHalfLife = 3 * time.Second
	maxSlowdown      = 20.0 // limits the effect of a single request on the slowdown

	failureWeight   = 0.25
	failureHalfLife = 3 * time.Second
	// failureCost is the cost of a certain failure, as additional expected time.
	failureCost = 2 * time.Second
	// poolFailuresBeforeBackoff is the number of consecutive failures that start
	// a back-off.
	poolFailuresBeforeBackoff = 2
	// A target with requests that time out may only be busy: busy targets answer some
	// of their requests. A back-off starts after timeoutsBeforeBackoff in a row that
	// take at least silentBeforeBackoff.
	timeoutsBeforeBackoff = 5
	silentBeforeBackoff   = 2 * time.Second
	poolMinBackoff        = 100 * time.Millisecond
	poolMaxBackoff        = 2 * time.Second
)

// backend is the state that a Pool keeps about a target. Times are durations
// since the pool's epoch.
type backend struct {
	info     TargetInfo
	listed   bool
	left     bool // its process has announced that it leaves
	joinedAt time.Duration
	untried  bool // joined after the first request of the pool and has had no request
	running  []*Request
	use      *targetUse // its requests of all pools of the process
	waiting  int        // queued requests whose preferred target it is
	ahead    int        // result of Pool.countAhead
	idHash   uint64
	objects  objectLRU
	derived  targetEstimate
	cold     coldLimiter

	report   Report
	reportAt time.Duration
	// foreign is the number of requests that others had at the target at reportAt.
	foreign int
	// onTheWay is the moving average of the share of the pool's requests that are not at
	// the target: those granted whose request has not arrived there, and those answered
	// whose end has not arrived here.
	onTheWay float64
	shedAt   time.Duration // last time that the target shed a request of the pool
	hasShed  bool

	logSlowdown    float64 // logarithm of its running times relative to the typical ones
	logSlowdownAt  time.Duration
	failureShare   float64 // moving average of the share of its requests that failed
	failureShareAt time.Duration

	answeredAt   time.Duration // last answer of any kind, since its process was first seen
	failures     int           // consecutive
	timeouts     int           // consecutive
	silentSince  time.Duration // end of the first of these timeouts
	backoff      time.Duration
	backoffUntil time.Duration
	backoffCause Result // of the last request that started or would have started a back-off
}

// targetEstimate holds estimates that do not depend on the request. They are costly, and
// a pool needs them for each request and target.
type targetEstimate struct {
	validUntil  time.Duration
	slowdown    float64 // result of expectedSlowdown
	failureCost time.Duration
}

// estimateTTL is how long a targetEstimate is used if no request starts or ends at the
// target. It is short compared with running times.
const estimateTTL = 5 * time.Millisecond

// estimate returns the estimates for the target, which may be up to estimateTTL old.
func (b *backend) estimate(at time.Duration) *targetEstimate {
	if at >= b.derived.validUntil {
		b.derived = targetEstimate{
			validUntil: at + estimateTTL, slowdown: b.expectedSlowdown(at),
			failureCost: time.Duration(b.decayedFailureShare(at) * float64(failureCost)),
		}
	}
	return &b.derived
}

// forgetEstimate makes the next estimate a new one.
func (b *backend) forgetEstimate() { b.derived.validUntil = 0 }

// update takes over new information about the target. A restart clears the
// measurements of the previous incarnation.
func (b *backend) update(at time.Duration, info TargetInfo) {
	restarted := b.info.Incarnation != info.Incarnation || b.info.Addr != info.Addr
	if restarted && b.info.ID != "" {
		b.objects.clear()
		b.logSlowdown, b.failureShare, b.failures, b.timeouts, b.backoffUntil, b.backoff, b.answeredAt, b.onTheWay = 0, 0, 0, 0, 0, 0, 0, 0
	}
	b.forgetEstimate()
	b.idHash = xxhash.Sum64String(info.ID)
	b.cold.update(at, info)
	if b.listed && b.info.State != Active && info.State == Active {
		// The target got no requests while it was not active, so it may have
		// become cold.
		b.objects.clear()
		b.cold.startCold(at, info.ColdDuration)
	}
	b.info, b.listed = info, true
}

// accepting reports whether the target takes new requests, now or after a
// back-off.
func (b *backend) accepting() bool { return b.listed && b.info.State == Active && !b.left }

// usable reports whether the target may get a request now. After a back-off it
// gets one request at a time until one succeeds.
func (b *backend) usable(at time.Duration) bool {
	probing := b.failed() && len(b.running) > 0
	return b.accepting() && b.info.Slots > 0 && at >= b.backoffUntil && !probing
}

// failed reports whether a back-off of the target was started and no request has
// succeeded since.
func (b *backend) failed() bool { return b.backoff > 0 }

func (b *backend) slots() int { return b.info.Slots }

func (b *backend) start(at time.Duration, r *Request) {
	r.startedCold = b.cold.isCold(at)
	b.cold.consume(at)
	b.objects.touch(at, r.work.Object)
	b.forgetEstimate()
	b.untried = false
	r.pos = len(b.running)
	b.running = append(b.running, r)
	b.use.inFlight.Add(1)
}

// finish removes r from the requests in flight and takes over its outcome.
func (b *backend) finish(at time.Duration, r *Request, o Outcome) {
	b.observeOnTheWay(at, o)
	last := len(b.running) - 1
	moved := b.running[last]
	b.running[r.pos] = moved
	moved.pos = r.pos
	b.running[last] = nil
	b.running = b.running[:last]
	b.use.inFlight.Add(-1)
	r.pos = -1
	b.forgetEstimate()
	if o.Report.Slots > 0 {
		b.report, b.reportAt = o.Report, at
		b.foreign = foreignRequests(o, len(b.running))
	}
	b.observe(at, r, o)
}

// observe updates the slowdown and the failures of the target from the outcome
// of r.
func (b *backend) observe(at time.Duration, r *Request, o Outcome) {
	switch o.Result {
	case OK, Shed, ServerError, Pausing, Overran:
		b.answeredAt = at
	}
	switch o.Result {
	case OK:
		b.failures, b.timeouts, b.backoff = 0, 0, 0
		b.recordFailure(at, 0)
		if r.expectedRun > 0 {
			b.recordSlowdown(at, float64(o.Latency)/float64(r.expectedRun))
		}
	case CancelledByCaller:
		if r.expectedRun > 0 && o.Latency > r.expectedRun {
			b.recordSlowdown(at, float64(o.Latency)/float64(r.expectedRun))
		}
	case Unreachable:
		b.recordFailure(at, 1)
		b.startBackoff(at, o.Result)
	case TimedOut, Overran:
		b.observeTimeout(at, r, o)
	case Shed:
		b.recordFailure(at, shedFailure)
		b.endSilence()
	case Failed, ServerError:
		b.recordFailure(at, 1)
		if o.Result == ServerError {
			b.endSilence()
		}
		if b.failures++; b.failures >= poolFailuresBeforeBackoff {
			b.startBackoff(at, o.Result)
		}
	}
}

// endSilence takes over that the target gave an answer, though not a good one. It is
// not silent, so timeouts before do not make it a failed one.
func (b *backend) endSilence() {
	b.timeouts = 0
	if b.silent() {
		b.backoff = 0
	}
}

// silent reports whether only timeouts speak for a failure of the target.
func (b *backend) silent() bool { return b.failed() && b.backoffCause == TimedOut }

// observeTimeout takes over that the deadline of r passed, whether the target says so or
// gives no answer. A request that had less than
// the usual running time says nothing about the target. The expected one does not serve
// here: it grows with each timeout.
func (b *backend) observeTimeout(at time.Duration, r *Request, o Outcome) {
	if o.Latency < r.runStats.all.meanOrZero() {
		return
	}
	failure := 1.0
	if o.Result == Overran || b.answeredAt > r.started {
		failure = overrunFailure
	}
	b.recordFailure(at, failure)
	if r.expectedRun > 0 {
		b.recordSlowdown(at, float64(o.Latency)/float64(r.expectedRun))
	}
	if b.timeouts == 0 {
		b.silentSince = at
	}
	b.timeouts++
	if b.failed() || b.timeouts >= timeoutsBeforeBackoff && at-b.silentSince >= silentBeforeBackoff {
		b.startBackoff(at, TimedOut)
	}
}

// overrunFailure is the part of a failure that a request counts as whose deadline passed
// at a target that answers others. Some requests run much longer than usual, and a busy
// target has more of them, so one says little about the target.
const overrunFailure = 0.3

// shedFailure is the part of a failure that a shed request counts as. It is less
// than 1 because the request did not run and may still be answered by another
// target.
const shedFailure = 0.3

func (b *backend) recordFailure(at time.Duration, v float64) {
	b.failureShare = b.decayedFailureShare(at)
	b.failureShare += (v - b.failureShare) * failureWeight
	b.failureShareAt = at
}

// decayedFailureShare returns the share of the target's requests that failed. It
// decays with failureHalfLife, so that a target that failed is tried again.
func (b *backend) decayedFailureShare(at time.Duration) float64 {
	return b.failureShare * exponentialDecay(at-b.failureShareAt, failureHalfLife)
}

func (b *backend) recordSlowdown(at time.Duration, ratio float64) {
	// The logarithm of the ratio is added rather than averaged, because the
	// expected running time already included the slowdown.
	b.logSlowdown = b.decayedLogSlowdown(at)
	b.logSlowdown += math.Log(min(max(ratio, 1/maxSlowdown), maxSlowdown)) * slowdownWeight
	b.logSlowdownAt = at
}

func (b *backend) decayedLogSlowdown(at time.Duration) float64 {
	return b.logSlowdown * exponentialDecay(at-b.logSlowdownAt, slowdownHalfLife)
}

// exponentialDecay returns the factor, from 1 down to 0, by which a value decays
// in the elapsed time.
func exponentialDecay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// startBackoff starts a back-off, twice as long as the last one if no request
// succeeded since. Failures during a back-off do not lengthen it, because their
// requests were sent before it began, but one that is more than a timeout becomes its
// cause.
func (b *backend) startBackoff(at time.Duration, cause Result) {
	if at >= b.backoffUntil || cause != TimedOut {
		b.backoffCause = cause
	}
	if at < b.backoffUntil {
		return
	}
	b.objects.clear() // the target has most likely restarted
	b.backoff = min(max(2*b.backoff, poolMinBackoff), poolMaxBackoff)
	b.backoffUntil = at + b.backoff
}

// Backoff describes a back-off of a target that has started, for the log.
type Backoff struct {
	Target        string
	Cause         Result // of the request that started it
	Failures      int    // consecutive
	Timeouts      int    // consecutive
	SilentFor     time.Duration
	Duration      time.Duration
	FailedPercent int // see Load
}

// describeBackoff describes the back-off that a result has started at this moment.
func (b *backend) describeBackoff(at time.Duration, cause Result, failedPercent int) *Backoff {
	out := &Backoff{Target: b.info.ID, Cause: cause, Failures: b.failures, Timeouts: b.timeouts, Duration: b.backoff, FailedPercent: failedPercent}
	if b.timeouts > 0 {
		out.SilentFor = at - b.silentSince
	}
	return out
}

// failedStatusTTL is how long after its back-off a target still counts as failed
// if no request has succeeded since. Without this limit, a target that works
// again would count as failed for as long as there are too few requests for one
// to be sent to it.
const failedStatusTTL = 2 * time.Second

// recentlyFailed reports whether the target is in back-off, or was within
// failedStatusTTL and no request has succeeded since.
func (b *backend) recentlyFailed(at time.Duration) bool {
	return b.failed() && at < b.backoffUntil+failedStatusTTL
}

// slowness returns the current running time at the target relative to the usual
// one, as last reported by the target. It is 1 if there is no recent report.
func (b *backend) slowness(at time.Duration) float64 {
	if b.report.Slowness <= 1 || at-b.reportAt > slownessReportTTL {
		return 1
	}
	return b.report.Slowness
}

// expectedSlowdown returns the expected running time of a request that starts
// now, relative to the typical one.
func (b *backend) expectedSlowdown(at time.Duration) float64 {
	slowdown := math.Exp(b.decayedLogSlowdown(at))
	slowdown = max(slowdown, b.overdueRatio(at))
	slowdown *= 1 + (b.slowness(at)-1)*slownessWeight
	if b.cold.isCold(at) {
		slowdown *= coldSlowdown
	}
	return slowdown
}

// overdueRatio returns a lower bound of the target's slowdown that follows from
// the requests in flight. It is the second highest ratio of time in flight to
// expected running time, so that a single long request does not count.
func (b *backend) overdueRatio(at time.Duration) float64 {
	highest, secondHighest := 1.0, 1.0
	for _, r := range b.running {
		if r.expectedRun <= 0 {
			continue
		}
		ratio := float64(at-r.started) / float64(r.expectedRun)
		switch {
		case ratio > highest:
			highest, secondHighest = ratio, highest
		case ratio > secondHighest:
			secondHighest = ratio
		}
	}
	return min(secondHighest, maxSlowdown)
}

// foreignRequests returns how many requests of others the report of a target names. own is
// the number of the pool's requests there that have not ended. A report counts the request
// that it answers, unless the target has shed it.
func foreignRequests(o Outcome, own int) int {
	if o.Result != Shed {
		own++
	}
	return max(0, o.Report.Running+o.Report.Waiting-own)
}

// foreignTTL is how long requests of others at a target count after a report, in a
// falling share, since they end meanwhile.
const foreignTTL = time.Second

// foreignLoad returns the estimated number of requests that others have at the target.
// There are some while several entries dispatch the pool, because they could not reach
// each other.
func (b *backend) foreignLoad(at time.Duration) int {
	age := at - b.reportAt
	if b.foreign == 0 || age >= foreignTTL {
		return 0
	}
	return int(math.Round(float64(b.foreign) * (1 - age.Seconds()/foreignTTL.Seconds())))
}

// inOtherPools returns how many requests others have at the target: the pools of this
// process, which is known, and other entries, which is estimated.
func (b *backend) inOtherPools(at time.Duration) int {
	return max(int(b.use.inFlight.Load())-len(b.running), b.foreignLoad(at))
}

const (
	onTheWayWeight = 0.05
	// maxOnTheWay bounds the requests that a target gets beyond its slots. If all
	// arrive at once, as many wait as run.
	maxOnTheWay = 0.5
	// A target that sheds has no room for requests beyond its slots, whatever it
	// reports. It gets none for shedMemory.
	shedMemory = 5 * time.Second
)

// observeOnTheWay compares the requests that the target reports with those that the pool
// has given to it, including the one that ends.
func (b *backend) observeOnTheWay(at time.Duration, o Outcome) {
	switch {
	case o.Result == Shed:
		b.onTheWay, b.shedAt, b.hasShed = 0, at, true
		return
	case o.Report.Slots == 0, b.hasShed && at-b.shedAt < shedMemory:
		return
	}
	own := float64(len(b.running))
	missing := max(0, own-float64(o.Report.Running+o.Report.Waiting)) / own
	b.onTheWay += (min(missing, maxOnTheWay) - b.onTheWay) * onTheWayWeight
}

// inUse returns the number of slots that the pool's requests occupy. A slot is free again
// for the target before the pool learns it, and it is granted before the request arrives;
// on slow links that takes as long as the request itself, and the target would be idle.
func (b *backend) inUse() int {
	return int(math.Round(float64(len(b.running)) * (1 - b.onTheWay)))
}

// freeSlots returns the slots of the target that are not in use, negative if requests
// wait at the target.
func (b *backend) freeSlots(at time.Duration) int {
	return b.slots() - b.inUse() - b.inOtherPools(at)
}

// expectedWait returns how long a request is expected to wait for a slot of this
// target, with ahead queued requests before it and a running time of typical. It
// returns 0 if a slot is free.
func (b *backend) expectedWait(at time.Duration, ahead int, typical time.Duration) time.Duration {
	free := b.freeSlots(at)
	if free > ahead {
		if b.cold.allow(at) {
			return 0
		}
		return time.Duration((1 - b.cold.tokens) / b.cold.rate * float64(time.Second))
	}
	if b.inOtherPools(at) > 0 { // when they end is not known
		return max(typical*time.Duration(ahead-free+1)/time.Duration(b.slots()), time.Millisecond)
	}
	var buffer [32]time.Duration // avoids an allocation for targets with few slots
	remaining := buffer[:0]
	for _, r := range b.running {
		expected := max(r.expectedRun, typical/4)
		remaining = append(remaining, max(expected-(at-r.started), expected/8))
	}
	if len(remaining) == 0 {
		return max(typical, time.Millisecond)
	}
	slices.Sort(remaining)
	behind := max(ahead-max(free, 0), 0)
	rounds := time.Duration(behind / len(remaining))
	return max(remaining[behind%len(remaining)]+rounds*typical, time.Millisecond)
}
