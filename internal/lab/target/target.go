package target

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// Target is one stand-in target.
type Target struct {
	spec    Spec
	run     int64 // start time of the process, nanoseconds
	journal *journal.Writer
	swap    *swapper

	mu            sync.Mutex
	behaviour     Behaviour
	inProgress    int
	waiting       []*waiter // in order of arrival
	maxInProgress int       // highest value of inProgress so far
	seq           int64
	served        int64
	shed          int64
	coldSince     time.Time
	latencyMs     float64
	history       []Report // oldest first; source of delayed load reports
	connections   int
	refused       int64
	pauseUntil    time.Time // end of the longest pause that was announced
}

// waiter is a request that waits for a slot.
type waiter struct {
	rec   *journal.Target
	ready chan struct{} // closed when the request has the slot
}

// New returns a target that writes its records to j. run is the start time of
// the process in nanoseconds.
func New(spec Spec, run int64, j *journal.Writer) *Target {
	return &Target{
		spec:      spec,
		run:       run,
		journal:   j,
		swap:      newSwapper(),
		coldSince: time.Now(),
		behaviour: Behaviour{SlowFactor: 1, ReportLagMs: spec.ReportLag.AsDuration().Milliseconds()},
	}
}

// admit takes a slot, waiting for one if the target has a queue, and reports
// whether it got one. The journal record is written under the lock, so that
// the order of the records is the order of the events.
func (t *Target) admit(ctx context.Context, rec *journal.Target) (Behaviour, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	rec.Seq = t.seq
	rec.Fault = t.behaviour.faultName()
	if t.behaviour.Pause != "" {
		t.recordPause(*rec)
		return t.behaviour, false
	}
	if t.inProgress < t.spec.Slots {
		t.takeSlot(rec)
		return t.behaviour, true
	}
	if len(t.waiting) < t.spec.Queue {
		return t.behaviour, t.awaitSlot(ctx, rec)
	}
	t.shed++
	t.appendRecord(*rec, journal.Shed)
	return t.behaviour, false
}

// recordPause records a request that is turned away with an announced pause. The
// caller holds the lock.
func (t *Target) recordPause(rec journal.Target) {
	if ms, err := strconv.ParseInt(t.behaviour.Pause, 10, 64); err == nil && ms > 0 {
		rec.PauseMs = ms
		if until := time.Now().Add(time.Duration(ms) * time.Millisecond); until.After(t.pauseUntil) {
			t.pauseUntil = until
		}
	}
	t.appendRecord(rec, journal.Pause)
}

// recordProbe records a probe that arrives within an announced pause.
func (t *Target) recordProbe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.pauseUntil) {
		t.appendRecord(journal.Target{}, journal.Probe)
	}
}

// awaitSlot queues the request until it gets a slot or ctx ends, and reports
// whether it got one. The caller holds the lock, which is released while the
// request waits.
func (t *Target) awaitSlot(ctx context.Context, rec *journal.Target) bool {
	w := &waiter{rec: rec, ready: make(chan struct{})}
	t.waiting = append(t.waiting, w)
	t.mu.Unlock()
	select {
	case <-w.ready:
	case <-ctx.Done():
	}
	t.mu.Lock()
	if i := slices.Index(t.waiting, w); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return false
	}
	return true
}

func (t *Target) takeSlot(rec *journal.Target) {
	t.inProgress++
	t.maxInProgress = max(t.maxInProgress, t.inProgress)
	t.recordSample()
	t.appendRecord(*rec, journal.Start)
}

// releaseSlot frees the slot of a finished request, or passes it to the request
// that has waited longest. It runs before the answer is written; otherwise a
// caller that already has the answer could be rejected because the slot still
// counts as taken.
func (t *Target) releaseSlot(rec journal.Target, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inProgress--
	t.served++
	t.updateLatency(took)
	t.recordSample()
	t.appendRecord(rec, journal.Finish)
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.takeSlot(next.rec)
		close(next.ready)
	}
}

func (t *Target) appendRecord(rec journal.Target, event journal.Event) {
	rec.Event = event
	rec.Time = journal.Now()
	rec.Target = t.spec.ID
	rec.Run = t.run
	rec.InProgress = t.inProgress
	rec.Slots = t.spec.Slots
	t.journal.Append(rec)
}

// latencyWeight is the weight of a new sample in the exponentially weighted
// moving average of the service time.
const latencyWeight = 0.1

func (t *Target) updateLatency(took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	if t.latencyMs == 0 {
		t.latencyMs = ms
		return
	}
	t.latencyMs += latencyWeight * (ms - t.latencyMs)
}

// workTime returns the service time of a request that starts now. asked is
// the time that the caller requested; if it is negative, the time is drawn
// from the log-normal distribution of the target.
func (t *Target) workTime(asked time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := asked
	if asked < 0 {
		work = time.Duration(float64(t.spec.Work) * math.Exp(t.spec.WorkSigma*rand.NormFloat64()))
	}
	work = time.Duration(float64(work) * t.behaviour.SlowFactor)
	return work + t.coldPenalty()
}

func (t *Target) coldPenalty() time.Duration {
	left := t.spec.ColdFor.AsDuration() - time.Since(t.coldSince)
	if left <= 0 {
		return 0
	}
	return time.Duration(float64(t.spec.ColdPenalty) * float64(left) / float64(t.spec.ColdFor))
}

// historyLength bounds the number of samples kept for delayed load reports.
const historyLength = 4096

// recordSample appends the present state to the history from which delayed
// load reports are answered. The caller holds the lock.
func (t *Target) recordSample() {
	if t.behaviour.ReportLagMs == 0 {
		return
	}
	if len(t.history) == historyLength {
		t.history = append(t.history[:0], t.history[historyLength/2:]...)
	}
	t.history = append(t.history, t.currentReport())
}

func (t *Target) currentReport() Report {
	return Report{
		ID:         t.spec.ID,
		Status:     t.status(),
		InProgress: t.inProgress,
		Slots:      t.spec.Slots,
		LatencyMs:  t.latencyMs,
		Time:       time.Now().UnixMilli(),
	}
}

func (t *Target) status() string {
	switch {
	case t.behaviour.Leaving:
		return "leaving"
	case t.coldPenalty() > 0:
		return "cold"
	}
	return "ok"
}

// loadReport returns the answer to GET /-/load: the configured false report if
// there is one, or else the latest state that is at least as old as the lag.
func (t *Target) loadReport() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behaviour.FalseReport != nil {
		return *t.behaviour.FalseReport
	}
	if t.behaviour.ReportLagMs == 0 {
		return t.currentReport()
	}
	limit := time.Now().UnixMilli() - t.behaviour.ReportLagMs
	out := Report{ID: t.spec.ID, Status: "ok", Slots: t.spec.Slots, Time: limit}
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].Time <= limit {
			return t.history[i]
		}
	}
	return out
}

// apply changes the behaviour and returns the new one.
func (t *Target) apply(c controlRequest) Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := c.MarkLeaving || c.leaves() && !t.behaviour.leaves()
	back := c.MarkBack || !c.leaves() && t.behaviour.leaves()
	t.behaviour = c.Behaviour
	if c.Cold {
		t.coldSince = time.Now()
		t.appendRecord(journal.Target{}, journal.Cold)
	}
	if left {
		t.appendRecord(journal.Target{}, journal.Leaving)
	}
	if back {
		t.appendRecord(journal.Target{}, journal.Returned)
	}
	t.recordSample()
	return t.behaviour
}

func (t *Target) currentBehaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}
