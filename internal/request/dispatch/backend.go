package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// slownessFor is how long a report of slowness counts. Slow phases of shared
	// machines last for some hundreds of milliseconds, and a target that gets no
	// requests sends no further report.
	slownessReportTTL = 400 * time.Millisecond
	// slowNow is the slowness from which a slot does not count as free.
	slowThreshold = 1.5
	// slownessLasts is the part of the slowness that a request meets on average:
	// the phase may end while it runs.
	slownessWeight = 0.6

	// poolSpeedWeight is that of a new running time in a target's speed. Half of
	// what is known of the speed counts after speedForget, so that a target that
	// was slow is tried again.
	slowdownWeight   = 0.2
	slowdownHalfLife = 3 * time.Second
	maxSlowdown      = 20.0 // bounds the part of one request in a target's speed

	failureWeight   = 0.25
	failureHalfLife = 3 * time.Second
	// failCost is what a certain failure costs, in expected time.
	failureCost = 2 * time.Second
	// failuresOut in a row take a target out.
	poolFailuresBeforeBackoff = 2
	poolMinBackoff            = 100 * time.Millisecond
	poolMaxBackoff            = 2 * time.Second
)

// backend is the pool's view of a target. Times are durations since the pool's
// epoch.
type backend struct {
	info     TargetInfo
	listed   bool
	joinedAt time.Duration
	untried  bool // it joined a pool in use and has had no request
	running  []*Request
	waiting  int // queued requests that prefer it
	objects  objectLRU
	cold     coldLimiter

	report   Report
	reportAt time.Duration

	logSlowdown    float64 // logarithm of its running times relative to typical ones
	logSlowdownAt  time.Duration
	failureShare   float64 // share of its requests that fail, lately
	failureShareAt time.Duration

	failures     int // in a row
	backoff      time.Duration
	backoffUntil time.Duration
}

// use takes over what is known of the target.
func (b *backend) update(at time.Duration, info TargetInfo) {
	restarted := b.info.Incarnation != info.Incarnation || b.info.Addr != info.Addr
	if restarted && b.info.ID != "" {
		b.objects.clear()
		b.logSlowdown, b.failureShare, b.failures, b.backoffUntil, b.backoff = 0, 0, 0, 0, 0
	}
	b.cold.update(at, info)
	if b.listed && b.info.State != Active && info.State == Active {
		// It got no requests for a while and may have become cold meanwhile.
		b.objects.clear()
		b.cold.startCold(at, info.ColdDuration)
	}
	b.info, b.listed = info, true
}

// open reports whether the target takes new requests, now or later.
func (b *backend) accepting() bool { return b.listed && b.info.State == Active }

// usable reports whether the target may get requests now. After a back-off it
// gets one at a time until one succeeds.
func (b *backend) usable(at time.Duration) bool {
	probing := b.failed() && len(b.running) > 0
	return b.accepting() && b.info.Slots > 0 && at >= b.backoffUntil && !probing
}

// failed reports whether the target was taken out and has answered no request
// since.
func (b *backend) failed() bool { return b.backoff > 0 }

func (b *backend) slots() int { return b.info.Slots }

func (b *backend) start(at time.Duration, r *Request) {
	r.startedCold = b.cold.isCold(at)
	b.cold.consume(at)
	b.objects.touch(at, r.work.Object)
	b.untried = false
	r.pos = len(b.running)
	b.running = append(b.running, r)
}

// end takes over how a request ended.
func (b *backend) finish(at time.Duration, r *Request, o Outcome) {
	last := len(b.running) - 1
	moved := b.running[last]
	b.running[r.pos] = moved
	moved.pos = r.pos
	b.running[last] = nil
	b.running = b.running[:last]
	r.pos = -1
	if o.Report.Slots > 0 {
		b.report, b.reportAt = o.Report, at
	}
	b.observe(at, r, o)
}

// judge updates speed and failures.
func (b *backend) observe(at time.Duration, r *Request, o Outcome) {
	switch o.Result {
	case OK:
		b.failures, b.backoff = 0, 0
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
		b.startBackoff(at)
	case Shed:
		b.recordFailure(at, shedFailure)
	case Failed, ServerError:
		b.recordFailure(at, 1)
		if b.failures++; b.failures >= poolFailuresBeforeBackoff {
			b.startBackoff(at)
		}
	}
}

// shedFailure is what a refusal counts as: the request did not run and may
// still be answered elsewhere.
const shedFailure = 0.3

func (b *backend) recordFailure(at time.Duration, v float64) {
	b.failureShare = b.decayedFailureShare(at)
	b.failureShare += (v - b.failureShare) * failureWeight
	b.failureShareAt = at
}

// failing returns the share of the target's requests that fail.
func (b *backend) decayedFailureShare(at time.Duration) float64 {
	return b.failureShare * exponentialDecay(at-b.failureShareAt, failureHalfLife)
}

func (b *backend) recordSlowdown(at time.Duration, ratio float64) {
	// The ratio was seen on top of what the speed of that time had predicted.
	b.logSlowdown = b.decayedLogSlowdown(at)
	b.logSlowdown += math.Log(min(max(ratio, 1/maxSlowdown), maxSlowdown)) * slowdownWeight
	b.logSlowdownAt = at
}

func (b *backend) decayedLogSlowdown(at time.Duration) float64 {
	return b.logSlowdown * exponentialDecay(at-b.logSlowdownAt, slowdownHalfLife)
}

// halved returns how much counts of something after a time.
func exponentialDecay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// takeOut starts a back-off. Failures of requests that were sent before it
// began do not lengthen it.
func (b *backend) startBackoff(at time.Duration) {
	if at < b.backoffUntil {
		return
	}
	b.objects.clear() // it has most likely started anew
	b.backoff = min(max(2*b.backoff, poolMinBackoff), poolMaxBackoff)
	b.backoffUntil = at + b.backoff
}

// failedFor after a back-off, a target that got no request since no longer counts
// as failed: with few requests it may wait for a trial although it works.
const failedStatusTTL = 2 * time.Second

// failedLately reports whether the target is out, or was lately and has answered
// no request since.
func (b *backend) recentlyFailed(at time.Duration) bool {
	return b.failed() && at < b.backoffUntil+failedStatusTTL
}

// slowness returns how long work takes at the target now by its own report.
func (b *backend) slowness(at time.Duration) float64 {
	if b.report.Slowness <= 1 || at-b.reportAt > slownessReportTTL {
		return 1
	}
	return b.report.Slowness
}

// factor returns how much longer than typical a request that starts now is
// expected to run.
func (b *backend) expectedSlowdown(at time.Duration) float64 {
	slowdown := math.Exp(b.decayedLogSlowdown(at))
	slowdown = max(slowdown, b.overdueRatio(at))
	slowdown *= 1 + (b.slowness(at)-1)*slownessWeight
	if b.cold.isCold(at) {
		slowdown *= coldSlowdown
	}
	return slowdown
}

// overdue returns how slow the target is at least by the requests that run.
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

// waitFor returns how long a request waits for a slot behind others that prefer
// this target.
func (b *backend) expectedWait(at time.Duration, ahead int, typical time.Duration) time.Duration {
	free := b.slots() - len(b.running)
	if free > ahead {
		if b.cold.allow(at) {
			return 0
		}
		return time.Duration((1 - b.cold.tokens) / b.cold.rate * float64(time.Second))
	}
	remaining := make([]time.Duration, 0, len(b.running))
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
