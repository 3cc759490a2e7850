package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// poolHarness drives a Pool with a manual clock.
type poolHarness struct {
	*testing.T
	pool *Pool
	now  time.Time
}

func newPoolHarness(t *testing.T, targets ...TargetInfo) *poolHarness {
	w := &poolHarness{T: t, pool: NewPool(epoch, Settings{}), now: epoch}
	w.pool.SetTargets(w.now, targets)
	return w
}

func poolTargetInfo(id string, slots int) TargetInfo {
	return TargetInfo{ID: id, Slots: slots, DataCentre: "a"}
}

// work returns a request with an objective 300 ms and a deadline 2 s from now.
func (w *poolHarness) work(object string) Work {
	return Work{
		Route: "r", Object: object, FromDataCentre: "a", Safe: true,
		Objective: w.now.Add(300 * time.Millisecond), Deadline: w.now.Add(2 * time.Second),
	}
}

func (w *poolHarness) submit(work Work) (*Request, error) {
	r := &Request{}
	return r, w.pool.Submit(w.now, r, work)
}

// mustStart submits a request and fails the test unless it starts at once.
func (w *poolHarness) mustStart(work Work) *Request {
	w.Helper()
	r, err := w.submit(work)
	if err != nil || r.state != running {
		w.Fatalf("request in state %v, error %v; want it running", r.state, err)
	}
	return r
}

// serve runs a request for an object to its end and returns the ID of its
// target. The request takes uncachedRun if the target has not handled the object
// before, and cachedRun otherwise.
func (w *poolHarness) serve(object string, cachedRun, uncachedRun time.Duration) string {
	w.Helper()
	r := w.mustStart(w.work(object))
	took := uncachedRun
	if r.reuseDistance >= 0 {
		took = cachedRun
	}
	w.now = w.now.Add(took)
	w.pool.Done(w.now, r, Outcome{Result: OK, Latency: took})
	return r.info.ID
}

// warmUp serves the objects until each is cached at one target, and returns the
// target ID of each object.
func (w *poolHarness) warmUp(objects ...string) map[string]string {
	w.Helper()
	at := map[string]string{}
	for range 6 {
		for _, o := range objects {
			at[o] = w.serve(o, 100*time.Millisecond, 300*time.Millisecond)
		}
	}
	return at
}

// Guards against requests for an object that move between targets, since each
// move costs a run without the object in the cache.
func TestPoolKeepsObjectAffinity(t *testing.T) {
	w := newPoolHarness(t, poolTargetInfo("1", 4), poolTargetInfo("2", 4))
	at := w.warmUp("x", "y", "z", "u")
	used := map[string]bool{}
	for o, id := range at {
		used[id] = true
		for range 3 {
			if got := w.serve(o, 100*time.Millisecond, 300*time.Millisecond); got != id {
				t.Errorf("object %s moved from %s to %s", o, id, got)
			}
		}
	}
	if len(used) != 2 {
		t.Errorf("all objects are cached at one target: %v", at)
	}
}

// Guards against a request that takes a free slot of a target without its object
// although the target that has it cached would answer sooner after a wait.
func TestPoolWaitsForCachedObject(t *testing.T) {
	w := newPoolHarness(t, poolTargetInfo("1", 1), poolTargetInfo("2", 1))
	at := w.warmUp("x", "y", "z", "u")
	first := w.mustStart(w.work("x"))
	second, err := w.submit(w.work("x"))
	if err != nil || second.state != queued {
		t.Fatalf("request in state %v, error %v; want it queued for the busy target", second.state, err)
	}
	w.now = w.now.Add(100 * time.Millisecond)
	w.pool.Done(w.now, first, Outcome{Result: OK, Latency: 100 * time.Millisecond})
	if second.state != running || second.info.ID != at["x"] {
		t.Errorf("request in state %v at %q, want it running at %q", second.state, second.info.ID, at["x"])
	}
}

// Guards against requests that stay queued although they can no longer meet
// their objective. They would delay others and still be late.
func TestPoolRefusesUnmeetableObjectives(t *testing.T) {
	w := newPoolHarness(t, poolTargetInfo("1", 1))
	w.warmUp("x")
	w.mustStart(w.work("x"))
	waiting := 0
	for range 5 {
		r, err := w.submit(w.work("x"))
		switch {
		case err == nil && r.state == queued:
			waiting++
		case errkind.Of(err) != errkind.DeadlineUnmeetable:
			t.Fatalf("request refused with %v, want a missed objective", err)
		}
	}
	if waiting < 1 || waiting > 2 { // runs of 100 ms, an objective of 300 ms
		t.Errorf("%d requests queued for one slot, want 1 or 2", waiting)
	}
	w.now = w.now.Add(250 * time.Millisecond) // the slot is still in use
	w.pool.Tick(w.now)
	if queued, _ := w.pool.counts(); queued != 0 {
		t.Errorf("%d requests queued although they cannot meet their objective", queued)
	}
}

// Guards against queued requests that are already late, since requests that can
// still be in time would wait behind them.
func TestPoolLateRequestsDoNotWait(t *testing.T) {
	w := newPoolHarness(t, poolTargetInfo("1", 4))
	w.warmUp("x")
	late := w.work("x")
	late.Objective, late.AnySlot = w.now.Add(-time.Second), true
	for range 3 {
		w.mustStart(late)
	}
	inTime := w.mustStart(w.work("x"))
	if r, err := w.submit(late); err == nil {
		t.Errorf("late request in state %v with no slot free, want it refused", r.state)
	}
	if queued, _ := w.pool.counts(); queued != 0 {
		t.Errorf("%d late requests queued", queued)
	}
	w.pool.Done(w.now, inTime, Outcome{Result: OK, Latency: 100 * time.Millisecond})
	w.mustStart(w.work("x"))
}

// Guards against requests that are still sent to a target that became slow,
// reports that it is slow, or fails, while another target is free.
func TestPoolAvoidsSlowAndFailingTargets(t *testing.T) {
	bad := map[string]Outcome{
		"slow":    {Result: OK, Latency: time.Second},
		"reports": {Result: OK, Latency: 100 * time.Millisecond, Report: Report{Slots: 4, Slowness: 4}},
		"fails":   {Result: ServerError, Latency: 10 * time.Millisecond},
		"resets":  {Result: Failed, Latency: 10 * time.Millisecond},
		"refuses": {Result: Unreachable, Latency: time.Millisecond},
	}
	for name, o := range bad {
		w := newPoolHarness(t, poolTargetInfo("1", 4), poolTargetInfo("2", 4))
		w.warmUp("x", "y")
		hits := 0
		for range 40 {
			r := w.mustStart(w.work(""))
			w.now = w.now.Add(5 * time.Millisecond)
			if r.info.ID == "1" {
				hits++
				w.pool.Done(w.now, r, o)
				continue
			}
			w.pool.Done(w.now, r, Outcome{Result: OK, Latency: 100 * time.Millisecond, Report: Report{Slots: 4, Slowness: 1}})
		}
		if hits > 6 {
			t.Errorf("%s: %d of 40 requests went to the bad target", name, hits)
		}
	}
}

// Guards against a target that, after a back-off, gets as many requests as it has
// slots before its first answer shows whether it works.
func TestPoolTriesFailedTargetWithOneRequest(t *testing.T) {
	w := newPoolHarness(t, poolTargetInfo("1", 4))
	w.warmUp("x")
	w.pool.Done(w.now, w.mustStart(w.work("x")), Outcome{Result: Unreachable})
	if got := w.pool.Load(w.now).FailedPercent; got != 100 {
		t.Errorf("%d percent of the slots failed, want 100", got)
	}
	if got := w.pool.Load(w.now.Add(poolMinBackoff + failedStatusTTL)).FailedPercent; got != 0 {
		t.Errorf("%d percent of the slots failed long after the back-off, want 0", got)
	}
	w.now = w.now.Add(poolMinBackoff)
	trial := w.mustStart(w.work("x"))
	if r, err := w.submit(w.work("x")); err == nil && r.state == running {
		t.Error("a second request started beside the trial")
	}
	w.now = w.now.Add(10 * time.Millisecond)
	w.pool.Done(w.now, trial, Outcome{Result: OK})
	w.mustStart(w.work("x"))
	w.mustStart(w.work("x"))
	if got := w.pool.Load(w.now).FailedPercent; got != 0 {
		t.Errorf("%d percent of the slots failed after a success, want 0", got)
	}
}

// Guards against a target that stops answering and is detected only when the
// deadlines of its requests expire.
func TestPoolNoticesSilentTarget(t *testing.T) {
	w := newPoolHarness(t, poolTargetInfo("1", 4), poolTargetInfo("2", 4))
	w.warmUp("x", "y")
	hits := 0
	for range 60 {
		r := w.mustStart(w.work(""))
		w.now = w.now.Add(20 * time.Millisecond)
		if r.info.ID == "1" {
			hits++
			continue // no answer
		}
		w.pool.Done(w.now, r, Outcome{Result: OK, Latency: 100 * time.Millisecond})
	}
	if hits > 4 {
		t.Errorf("%d requests went to a silent target", hits)
	}
}

// Guards against a target that never answers and does not count as failed, so that its
// requests stay in the region: also where the timeouts are short, so that the target does
// not look much slower than usual.
func TestPoolBacksOffFromSilentTarget(t *testing.T) {
	for _, timeout := range []time.Duration{600 * time.Millisecond, 130 * time.Millisecond} {
		w := newPoolHarness(t, poolTargetInfo("1", 4))
		w.warmUp("x")
		timeOut := func() {
			r := w.mustStart(w.work("x"))
			w.now = w.now.Add(timeout)
			w.pool.Done(w.now, r, Outcome{Result: TimedOut, Latency: timeout})
		}
		for end := w.now.Add(silentBeforeBackoff + 2*timeout); w.now.Before(end) && w.pool.Load(w.now).FailedPercent == 0; {
			timeOut()
		}
		if got := w.pool.Load(w.now).FailedPercent; got != 100 {
			t.Errorf("timeout %v: %d percent of the slots failed, want 100", timeout, got)
			continue
		}
		w.now = w.now.Add(poolMinBackoff)
		timeOut()
		if r, err := w.submit(w.work("x")); err == nil && r.state == running {
			t.Errorf("timeout %v: a request started right after a trial that timed out", timeout)
		}
	}
}

// Guards against targets that join and never get a request, because all objects
// are cached at other targets.
func TestPoolUsesNewTargets(t *testing.T) {
	w := newPoolHarness(t, poolTargetInfo("1", 4))
	w.warmUp("x", "y")
	w.pool.SetTargets(w.now, []TargetInfo{poolTargetInfo("1", 4), poolTargetInfo("2", 4)})
	used := false
	for range 40 {
		used = used || w.serve("x", 100*time.Millisecond, 300*time.Millisecond) == "2"
	}
	if !used {
		t.Error("the new target got none of 40 requests in 4 s")
	}
}

// Guards against objects that, in a service with few requests, move from the
// target that has them cached to one that was idle for a while.
func TestPoolKeepsObjectAffinityOfIdleTargets(t *testing.T) {
	w := newPoolHarness(t, poolTargetInfo("1", 3), poolTargetInfo("2", 3), poolTargetInfo("3", 3))
	at := w.warmUp("x", "y")
	for range 10 {
		for object, id := range at {
			w.now = w.now.Add(700 * time.Millisecond)
			if got := w.serve(object, 100*time.Millisecond, 300*time.Millisecond); got != id {
				t.Fatalf("request for object %s went to %s, but the object is cached at %s", object, got, id)
			}
		}
	}
}

// Guards against a request that goes to another data centre although a target in
// its own data centre is as good. The request has no object, because an object
// goes to the target that is first in its rendezvous order.
func TestPoolPrefersOwnDataCentre(t *testing.T) {
	other := poolTargetInfo("1", 4)
	other.DataCentre = "b"
	w := newPoolHarness(t, other, poolTargetInfo("2", 4))
	if r := w.mustStart(w.work("")); r.info.ID != "2" {
		t.Errorf("request sent to %s, want the target in its own data centre", r.info.ID)
	}
}

// Guards against urgent work that waits behind less urgent work.
func TestPoolServesUrgentWorkFirst(t *testing.T) {
	w := newPoolHarness(t, poolTargetInfo("1", 1))
	w.warmUp("x")
	first := w.mustStart(w.work("x"))
	low, high := w.work("x"), w.work("x")
	low.Priority = 2
	a, errA := w.submit(low)
	b, errB := w.submit(high)
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	w.now = w.now.Add(60 * time.Millisecond)
	w.pool.Done(w.now, first, Outcome{Result: OK, Latency: 60 * time.Millisecond})
	if b.state != running || a.state == running {
		t.Errorf("urgent request in state %v, other one in state %v; want only the urgent one running", b.state, a.state)
	}
}

// Guards against objects that count as cached long after the target has evicted
// them.
func TestPoolEstimatesObjectCapacity(t *testing.T) {
	const capacity = 12
	w := newPoolHarness(t, poolTargetInfo("1", 4))
	var order []string // the cache of the target, most recently used first
	handle := func(o string) time.Duration {
		i := slices.Index(order, o)
		if i >= 0 {
			order = slices.Delete(order, i, i+1)
		}
		order = append([]string{o}, order...)
		order = order[:min(len(order), capacity)]
		if i >= 0 {
			return 100 * time.Millisecond
		}
		return 300 * time.Millisecond
	}
	for i := range 400 {
		o := fmt.Sprint(i % 8)
		if i%10 > 6 {
			o = fmt.Sprint(i % 40)
		}
		r := w.mustStart(w.work(o))
		took := handle(o)
		w.now = w.now.Add(took)
		w.pool.Done(w.now, r, Outcome{Result: OK, Latency: took})
	}
	if got := w.pool.capacity.objects(); got < capacity-4 || got > capacity+8 {
		t.Errorf("estimated %d cached objects, the target caches %d", got, capacity)
	}
}

// Guards, in any order of steps, against more requests in flight than slots, more
// requests to a cold target than it tolerates, requests that are lost in the
// queue, and requests that start after they were refused.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := NewPool(epoch, Settings{QueueLimit: 8}), epoch
		slots := map[string]int{}
		starts := map[string][]time.Time{} // start times on cold targets
		coldUntil := map[string]time.Time{}
		var live []*Request
		recordStart := func(r *Request) {
			if r.state == running && now.Before(coldUntil[r.info.ID]) {
				starts[r.info.ID] = append(starts[r.info.ID], now)
			}
		}
		settle := func() {
			for _, r := range p.Decided() {
				recordStart(r)
			}
			live = slices.DeleteFunc(live, func(r *Request) bool { return r.state != queued && r.state != running })
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				var infos []TargetInfo
				for i := range rapid.IntRange(0, 4).Draw(t, "targets") {
					info := poolTargetInfo(fmt.Sprint(i), rapid.IntRange(1, 3).Draw(t, "slots"))
					info.State = TargetState(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "state"))
					if i == 0 {
						info.Incarnation, info.ColdRemaining, info.ColdRate = 1, 3*time.Second, 5
						if coldUntil[info.ID].IsZero() {
							coldUntil[info.ID] = now.Add(info.ColdRemaining)
						}
					}
					infos = append(infos, info)
					slots[info.ID] = max(slots[info.ID], info.Slots)
				}
				p.SetTargets(now, infos)
			case 1, 2:
				r := &Request{}
				w := Work{Route: "r", Object: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "object"), Deadline: now.Add(time.Second)}
				w.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				w.AnySlot = rapid.Bool().Draw(t, "any")
				if rapid.Bool().Draw(t, "timed") {
					w.Objective = now.Add(time.Duration(rapid.IntRange(-50, 300).Draw(t, "objective")) * time.Millisecond)
				}
				if p.Submit(now, r, w) == nil {
					recordStart(r)
					live = append(live, r)
				}
			case 3:
				if len(live) > 0 {
					r := rapid.SampledFrom(live).Draw(t, "request")
					result := Result(rapid.IntRange(0, 5).Draw(t, "result"))
					if r.state == running {
						p.Done(now, r, Outcome{Result: result})
					} else {
						p.Cancel(now, r)
					}
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				p.Tick(now)
			default:
				p.Tick(now)
			}
			settle()
			checkPool(t, p, live, slots)
		}
		for id, times := range starts {
			for _, end := range times {
				n := 0
				for _, at := range times {
					if at.After(end.Add(-time.Second)) && !at.After(end) {
						n++
					}
				}
				if n > 5 {
					t.Fatalf("%d requests within a second to the cold target %s, which tolerates 5", n, id)
				}
			}
		}
	})
}

func checkPool(t *rapid.T, p *Pool, live []*Request, slots map[string]int) {
	waiting, inFlight := map[*backend]int{}, 0
	for _, r := range live {
		if r.state == queued {
			if !slices.Contains(p.queue, r) {
				t.Fatal("request in state queued is not in the queue")
			}
			waiting[r.choice.target]++
		}
		if r.state == running {
			inFlight++
		}
	}
	if q, f := p.counts(); q != len(live)-inFlight || f != inFlight {
		t.Fatalf("pool counts %d queued and %d running, want %d requests of which %d run", q, f, len(live), inFlight)
	}
	for _, b := range p.targets {
		if len(b.running) > slots[b.info.ID] {
			t.Fatalf("target %s has %d in flight on %d slots", b.info.ID, len(b.running), slots[b.info.ID])
		}
		if b.waiting != waiting[b] {
			t.Fatalf("target %s is preferred by %d queued requests, but counts %d", b.info.ID, waiting[b], b.waiting)
		}
	}
	if !slices.IsSortedFunc(p.queue, moreUrgent) {
		t.Fatal("the queue is not in order")
	}
}
