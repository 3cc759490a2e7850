package target

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
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

	mu          sync.Mutex
	behaviour   Behaviour
	inProgress  int
	waiting     []*waiter // in order of arrival
	most        int       // highest inProgress so far
	seq         int64
	served      int64
	shed        int64
	coldSince   time.Time
	latencyMs   float64
	history     []Report // oldest first, for reports that lag
	connections int
	refused     int64
}

// waiter is a request that waits for a slot.
type waiter struct {
	rec   *journal.Target
	ready chan struct{} // closed when the request has the slot
}

// New returns a target that writes to j.
func New(spec Spec, run int64, j *journal.Writer) *Target {
	return &Target{
		spec:      spec,
		run:       run,
		journal:   j,
		swap:      newSwapper(),
		coldSince: time.Now(),
		behaviour: Behaviour{SlowFactor: 1, LagMs: spec.ReportLag.AsDuration().Milliseconds()},
	}
}

// admit takes a slot, waiting for it if the target has a queue. The journal
// record is written under the lock, so that the records are in the order of
// the events.
func (t *Target) admit(ctx context.Context, rec *journal.Target) (Behaviour, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	rec.Seq = t.seq
	rec.Fault = t.behaviour.faultName()
	if t.inProgress < t.spec.Slots {
		t.begin(rec)
		return t.behaviour, true
	}
	if len(t.waiting) < t.spec.Queue {
		return t.behaviour, t.wait(ctx, rec)
	}
	t.shed++
	t.write(*rec, journal.Shed)
	return t.behaviour, false
}

// wait queues for a slot. The lock is held on entry and on return.
func (t *Target) wait(ctx context.Context, rec *journal.Target) bool {
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

func (t *Target) begin(rec *journal.Target) {
	t.inProgress++
	t.most = max(t.most, t.inProgress)
	t.sample()
	t.write(*rec, journal.Start)
}

// release gives the slot back, or to the request that has waited longest. It
// runs before the answer is written, so that a caller that has the answer
// never finds the slot still taken.
func (t *Target) release(rec journal.Target, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inProgress--
	t.served++
	t.average(took)
	t.sample()
	t.write(rec, journal.Finish)
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.begin(next.rec)
		close(next.ready)
	}
}

func (t *Target) write(rec journal.Target, event journal.Event) {
	rec.Event = event
	rec.Time = journal.Now()
	rec.Target = t.spec.ID
	rec.Run = t.run
	rec.InProgress = t.inProgress
	rec.Slots = t.spec.Slots
	t.journal.Append(rec)
}

// latencyWeight is the weight of a new sample in the moving average.
const latencyWeight = 0.1

func (t *Target) average(took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	if t.latencyMs == 0 {
		t.latencyMs = ms
		return
	}
	t.latencyMs += latencyWeight * (ms - t.latencyMs)
}

// workTime returns the service time of a request that starts now. asked is
// the time that the caller asked for, or negative.
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

// historyLength bounds the samples kept for reports that lag.
const historyLength = 4096

// sample records the present state for reports that lag.
func (t *Target) sample() {
	if t.behaviour.LagMs == 0 {
		return
	}
	if len(t.history) == historyLength {
		t.history = append(t.history[:0], t.history[historyLength/2:]...)
	}
	t.history = append(t.history, t.present())
}

func (t *Target) present() Report {
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

// report returns what /-/load answers: the latest state that is at least as
// old as the lag, or the lie.
func (t *Target) report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behaviour.Lie != nil {
		return *t.behaviour.Lie
	}
	if t.behaviour.LagMs == 0 {
		return t.present()
	}
	limit := time.Now().UnixMilli() - t.behaviour.LagMs
	out := Report{ID: t.spec.ID, Status: "ok", Slots: t.spec.Slots, Time: limit}
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].Time <= limit {
			return t.history[i]
		}
	}
	return out
}

// apply changes the behaviour and returns the new one.
func (t *Target) apply(c control) Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := c.MarkLeaving || c.Leaving && !t.behaviour.Leaving
	back := c.MarkBack || !c.Leaving && t.behaviour.Leaving
	t.behaviour = c.Behaviour
	if c.Cold {
		t.coldSince = time.Now()
		t.write(journal.Target{}, journal.Cold)
	}
	if left {
		t.write(journal.Target{}, journal.Leaving)
	}
	if back {
		t.write(journal.Target{}, journal.Back)
	}
	t.sample()
	return t.behaviour
}

func (t *Target) current() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}
