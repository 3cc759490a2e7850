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
	slownessFor = 400 * time.Millisecond
	// slowNow is the slowness from which a slot does not count as free.
	slowNow = 1.5
	// slownessLasts is the part of the slowness that a request meets on average:
	// the phase may end while it runs.
	slownessLasts = 0.6

	// poolSpeedWeight is that of a new running time in a target's speed. Half of
	// what is known of the speed counts after speedForget, so that a target that
	// was slow is tried again.
	poolSpeedWeight = 0.2
	speedForget     = 3 * time.Second
	longestOverdue  = 20.0 // bounds the part of one request in a target's speed

	failWeight = 0.25
	failForget = 3 * time.Second
	// failCost is what a certain failure costs, in expected time.
	failCost = 2 * time.Second
	// failuresOut in a row take a target out.
	failuresOut = 2
	poolMinBack = 100 * time.Millisecond
	poolMaxBack = 2 * time.Second
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
	memory   memory
	cold     coldLimit

	report   Report
	reportAt time.Duration

	speed   float64 // logarithm of its running times relative to typical ones
	speedAt time.Duration
	fail    float64 // share of its requests that fail, lately
	failAt  time.Duration

	failures int // in a row
	backoff  time.Duration
	outUntil time.Duration
}

// use takes over what is known of the target.
func (b *backend) use(at time.Duration, info TargetInfo) {
	anew := b.info.Incarnation != info.Incarnation || b.info.Addr != info.Addr
	if anew && b.info.ID != "" {
		b.memory.clear()
		b.speed, b.fail, b.failures, b.outUntil, b.backoff = 0, 0, 0, 0, 0
	}
	b.cold.note(at, info)
	if b.listed && b.info.State != Active && info.State == Active {
		// It got no requests for a while and may have become cold meanwhile.
		b.memory.clear()
		b.cold.begin(at, info.ColdTime)
	}
	b.info, b.listed = info, true
}

// open reports whether the target takes new requests, now or later.
func (b *backend) open() bool { return b.listed && b.info.State == Active }

// usable reports whether the target may get requests now. After a back-off it
// gets one at a time until one succeeds.
func (b *backend) usable(at time.Duration) bool {
	trial := b.failed() && len(b.running) > 0
	return b.open() && b.info.Slots > 0 && at >= b.outUntil && !trial
}

// failed reports whether the target was taken out and has answered no request
// since.
func (b *backend) failed() bool { return b.backoff > 0 }

func (b *backend) slots() int { return b.info.Slots }

func (b *backend) begin(at time.Duration, r *Request) {
	r.whileCold = b.cold.cold(at)
	b.cold.spend(at)
	b.memory.touch(at, r.work.Object)
	b.untried = false
	r.pos = len(b.running)
	b.running = append(b.running, r)
}

// end takes over how a request ended.
func (b *backend) end(at time.Duration, r *Request, o Outcome) {
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
	b.judge(at, r, o)
}

// judge updates speed and failures.
func (b *backend) judge(at time.Duration, r *Request, o Outcome) {
	switch o.Result {
	case OK:
		b.failures, b.backoff = 0, 0
		b.noteFailure(at, 0)
		if r.expected > 0 {
			b.noteSpeed(at, float64(o.Latency)/float64(r.expected))
		}
	case CancelledByCaller:
		if r.expected > 0 && o.Latency > r.expected {
			b.noteSpeed(at, float64(o.Latency)/float64(r.expected))
		}
	case Unreachable:
		b.noteFailure(at, 1)
		b.takeOut(at)
	case Shed:
		b.noteFailure(at, shedFailure)
	case Failed, ServerError:
		b.noteFailure(at, 1)
		if b.failures++; b.failures >= failuresOut {
			b.takeOut(at)
		}
	}
}

// shedFailure is what a refusal counts as: the request did not run and may
// still be answered elsewhere.
const shedFailure = 0.3

func (b *backend) noteFailure(at time.Duration, v float64) {
	b.fail = b.failing(at)
	b.fail += (v - b.fail) * failWeight
	b.failAt = at
}

// failing returns the share of the target's requests that fail.
func (b *backend) failing(at time.Duration) float64 {
	return b.fail * halved(at-b.failAt, failForget)
}

func (b *backend) noteSpeed(at time.Duration, ratio float64) {
	// The ratio was seen on top of what the speed of that time had predicted.
	b.speed = b.logSpeed(at)
	b.speed += math.Log(min(max(ratio, 1/longestOverdue), longestOverdue)) * poolSpeedWeight
	b.speedAt = at
}

func (b *backend) logSpeed(at time.Duration) float64 {
	return b.speed * halved(at-b.speedAt, speedForget)
}

// halved returns how much counts of something after a time.
func halved(passed, half time.Duration) float64 {
	return math.Exp2(-passed.Seconds() / half.Seconds())
}

// takeOut starts a back-off. Failures of requests that were sent before it
// began do not lengthen it.
func (b *backend) takeOut(at time.Duration) {
	if at < b.outUntil {
		return
	}
	b.memory.clear() // it has most likely started anew
	b.backoff = min(max(2*b.backoff, poolMinBack), poolMaxBack)
	b.outUntil = at + b.backoff
}

// failedFor after a back-off, a target that got no request since no longer counts
// as failed: with few requests it may wait for a trial although it works.
const failedFor = 2 * time.Second

// failedLately reports whether the target is out, or was lately and has answered
// no request since.
func (b *backend) failedLately(at time.Duration) bool {
	return b.failed() && at < b.outUntil+failedFor
}

// slowness returns how long work takes at the target now by its own report.
func (b *backend) slowness(at time.Duration) float64 {
	if b.report.Slowness <= 1 || at-b.reportAt > slownessFor {
		return 1
	}
	return b.report.Slowness
}

// factor returns how much longer than typical a request that starts now is
// expected to run.
func (b *backend) factor(at time.Duration) float64 {
	f := math.Exp(b.logSpeed(at))
	f = max(f, b.overdue(at))
	f *= 1 + (b.slowness(at)-1)*slownessLasts
	if b.cold.cold(at) {
		f *= coldFactor
	}
	return f
}

// overdue returns how slow the target is at least by the requests that run.
func (b *backend) overdue(at time.Duration) float64 {
	first, second := 1.0, 1.0
	for _, r := range b.running {
		if r.expected <= 0 {
			continue
		}
		x := float64(at-r.started) / float64(r.expected)
		switch {
		case x > first:
			first, second = x, first
		case x > second:
			second = x
		}
	}
	return min(second, longestOverdue)
}

// waitFor returns how long a request waits for a slot behind others that prefer
// this target.
func (b *backend) waitFor(at time.Duration, ahead int, typical time.Duration) time.Duration {
	free := b.slots() - len(b.running)
	if free > ahead {
		if b.cold.allows(at) {
			return 0
		}
		return time.Duration((1 - b.cold.tokens) / b.cold.rate * float64(time.Second))
	}
	left := make([]time.Duration, 0, len(b.running))
	for _, r := range b.running {
		expected := max(r.expected, typical/4)
		left = append(left, max(expected-(at-r.started), expected/8))
	}
	if len(left) == 0 {
		return max(typical, time.Millisecond)
	}
	slices.Sort(left)
	k := max(ahead-max(free, 0), 0)
	rounds := time.Duration(k / len(left))
	return max(left[k%len(left)]+rounds*typical, time.Millisecond)
}
