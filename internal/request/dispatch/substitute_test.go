package dispatch

import (
	"slices"
	"testing"
	"time"
)

// sharedTarget is a target that several pools send requests to. It runs as many as it
// has slots, queues some more and sheds the rest. A request that its sender gives up is
// dropped.
type sharedTarget struct {
	slots, queue int
	requests     []*sharedRequest // in the order of their arrival; the first slots of them run
}

type sharedRequest struct {
	pool     *Pool
	req      *Request
	left     time.Duration // running time left
	started  time.Time
	deadline time.Time
}

// admit takes in a request, or sheds it.
func (t *sharedTarget) admit(now time.Time, r *sharedRequest) {
	if len(t.requests) >= t.slots+t.queue {
		r.pool.Done(now, r.req, Outcome{Result: Shed})
		return
	}
	t.requests = append(t.requests, r)
}

// advance lets the running requests run for step and ends those that are done or late.
func (t *sharedTarget) advance(now time.Time, step time.Duration) (answered int) {
	for _, r := range t.requests[:min(t.slots, len(t.requests))] {
		r.left -= step
	}
	t.requests = slices.DeleteFunc(t.requests, func(r *sharedRequest) bool {
		took := now.Sub(r.started)
		switch {
		case r.left <= 0:
			answered++
			r.pool.Done(now, r.req, Outcome{Result: OK, Latency: took})
		case !now.Before(r.deadline):
			r.pool.Done(now, r.req, Outcome{Result: TimedOut, Latency: took})
		default:
			return false
		}
		return true
	})
	return answered
}

// Guards against a full region whose targets count as failed, because entries decide in
// place of a dispatcher that does not answer: each sees a few requests, all of which
// time out in the queues of the targets. Half of a region's slots failed lifts the limit
// on moves to other regions.
func TestBusyTargetsAreNotFailedForSubstitutes(t *testing.T) {
	const (
		entries, targets = 20, 6
		run, timeout     = 780 * time.Millisecond, 1200 * time.Millisecond
		step             = 10 * time.Millisecond
		gap              = 120 * time.Millisecond // between two requests of an entry; all send about 2.4 times what the targets can run
	)
	now := epoch
	var infos []TargetInfo
	shared := map[string]*sharedTarget{}
	for i := range targets {
		id := string(rune('a' + i))
		infos = append(infos, TargetInfo{ID: id, Slots: 9, DataCentre: "a"})
		shared[id] = &sharedTarget{slots: 9, queue: 27}
	}
	pools := make([]*Pool, entries)
	for i := range pools {
		pools[i] = NewPool(now, Settings{Substitute: true})
		pools[i].SetTargets(now, infos)
	}
	worst, answered := make([]int, entries), 0
	for n := range int(20 * time.Second / step) {
		now = now.Add(step)
		for i, p := range pools {
			if (n+i*7)%int(gap/step) == 0 {
				r := &Request{}
				w := Work{Route: "r", FromDataCentre: "a", AnySlot: true, Objective: now.Add(run), Deadline: now.Add(timeout)}
				if p.Submit(now, r, w) == nil {
					shared[r.info.ID].admit(now, &sharedRequest{pool: p, req: r, left: run, started: now, deadline: now.Add(timeout)})
				}
			}
			worst[i] = max(worst[i], p.Load(now).FailedPercent)
		}
		for _, target := range shared {
			answered += target.advance(now, step)
		}
	}
	t.Logf("%d requests answered; failed percent of the entries %v", answered, worst)
	if most := slices.Max(worst); most >= 50 {
		t.Errorf("%d percent of the slots counted as failed", most)
	}
}

// Guards against a lost region that keeps its requests, because a substitute counts no
// target as failed, and against a silent target that a substitute sends requests to as
// if it answered.
func TestSubstituteNoticesFailedTargets(t *testing.T) {
	w := newPoolHarness(t, poolTargetInfo("1", 4))
	w.pool.Configure(w.now, Settings{Substitute: true})
	w.warmUp("x")
	for range timeoutsBeforeBackoff {
		r := w.mustStart(w.work("x"))
		w.now = w.now.Add(600 * time.Millisecond)
		w.pool.Done(w.now, r, Outcome{Result: TimedOut})
	}
	if r, err := w.submit(w.work("x")); err == nil && r.state == running {
		t.Error("a request started in the back-off of a silent target")
	}
	w.now = w.now.Add(poolMinBackoff)
	w.pool.Done(w.now, w.mustStart(w.work("x")), Outcome{Result: Unreachable})
	if got := w.pool.Load(w.now).FailedPercent; got != 100 {
		t.Errorf("%d percent of the slots of an unreachable target failed, want 100", got)
	}
}

// Guards against a target that counts as failed because requests time out, although it
// answers others by shedding them: it is full, not silent.
func TestSheddingTargetIsNotSilent(t *testing.T) {
	const timeout = 600 * time.Millisecond
	w := newPoolHarness(t, poolTargetInfo("1", 4))
	w.warmUp("x")
	end := func(result Result) {
		r := w.mustStart(w.work("x"))
		w.now = w.now.Add(timeout)
		w.pool.Done(w.now, r, Outcome{Result: result})
	}
	for range 3 {
		for range timeoutsBeforeBackoff - 1 {
			end(TimedOut)
		}
		end(Shed)
		if got := w.pool.Load(w.now).FailedPercent; got != 0 {
			t.Fatalf("%d percent of the slots of a full target failed", got)
		}
	}
	// A request that is shed after the back-off ends the silence.
	for range timeoutsBeforeBackoff {
		end(TimedOut)
	}
	if got := w.pool.Load(w.now).FailedPercent; got != 100 {
		t.Errorf("%d percent of the slots of a silent target failed, want 100", got)
	}
	w.now = w.now.Add(poolMinBackoff)
	end(Shed)
	if got := w.pool.Load(w.now).FailedPercent; got != 0 {
		t.Errorf("%d percent of the slots failed after the target shed a request", got)
	}
	w.mustStart(w.work("x"))
	w.mustStart(w.work("x"))
}
