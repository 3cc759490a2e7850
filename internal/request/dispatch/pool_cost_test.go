package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// poolLoad is an open-loop load on a Pool in virtual time.
type poolLoad struct {
	targets, slots, objects int
	perSecond               float64
	cached, uncached        time.Duration // running times
	objective, deadline     time.Duration
}

// poolLoadResult counts what became of the requests.
type poolLoadResult struct {
	requests, inTime, refused int
	forecasts                 uint64
}

// pendingEnd is the end of a running request.
type pendingEnd struct {
	at time.Duration
	r  *Request
}

type pendingEnds []pendingEnd

func (e pendingEnds) Len() int           { return len(e) }
func (e pendingEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e pendingEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *pendingEnds) Push(x any)        { *e = append(*e, x.(pendingEnd)) }
func (e *pendingEnds) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// run plays the load for a virtual duration.
func (l poolLoad) run(duration time.Duration) poolLoadResult {
	random := rand.New(rand.NewPCG(1, 2))
	var infos []TargetInfo
	for i := range l.targets {
		infos = append(infos, TargetInfo{ID: fmt.Sprintf("t%02d", i), Slots: l.slots, DataCentre: fmt.Sprint(i % 2)})
	}
	p := NewPool(epoch, Settings{})
	p.SetTargets(epoch, infos)
	var res poolLoadResult
	var ends pendingEnds
	arrivals := map[*Request]time.Duration{}
	start := func(at time.Duration, r *Request) {
		took := l.uncached
		if r.reuseDistance >= 0 && r.reuseDistance < 46 {
			took = l.cached
		}
		took = time.Duration(float64(took) * (0.85 + 0.3*random.Float64()))
		heap.Push(&ends, pendingEnd{at + took, r})
	}
	decided := func(at time.Duration) {
		for _, r := range p.Decided() {
			if r.state == running {
				start(at, r)
			} else {
				res.refused++
			}
		}
	}
	next, tick := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < duration; {
		switch {
		case len(ends) > 0 && ends[0].at <= min(next, tick):
			e := heap.Pop(&ends).(pendingEnd)
			at = e.at
			if at-arrivals[e.r] <= l.objective {
				res.inTime++
			}
			delete(arrivals, e.r)
			p.Done(epoch.Add(at), e.r, Outcome{Result: OK})
		case next <= tick:
			at = next
			next += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second))
			now, r := epoch.Add(at), &Request{}
			arrivals[r] = at
			res.requests++
			err := p.Submit(now, r, Work{
				Route: "r", Object: fmt.Sprint(random.IntN(l.objects)), FromDataCentre: "0", Safe: true,
				Objective: now.Add(l.objective), Deadline: now.Add(l.deadline),
			})
			switch {
			case err != nil:
				res.refused++
			case r.state == running:
				start(at, r)
			}
			_ = p.Load(now)
		default:
			at = tick
			tick += 25 * time.Millisecond
			if len(p.queue) > 0 {
				tick = at + queuedTick
			}
			p.Tick(epoch.Add(at))
		}
		decided(at)
	}
	res.forecasts = p.forecasts
	return res
}

// regionLoad is the load on the pool of a region with 30 targets.
func regionLoad(perSecond float64) poolLoad {
	return poolLoad{
		targets: 30, slots: 9, objects: 230, perSecond: perSecond, cached: 195 * time.Millisecond, uncached: 780 * time.Millisecond,
		objective: 600 * time.Millisecond, deadline: 1200 * time.Millisecond,
	}
}

// Guards against a dispatcher that has too little processor time to answer because the
// work for each request grows with the number of queued requests.
func TestPoolWorkPerRequestIsBounded(t *testing.T) {
	l := regionLoad(1200)
	res := l.run(5 * time.Second)
	if res.refused == 0 {
		t.Fatal("the load does not fill the queue")
	}
	perRequest := float64(res.forecasts) / float64(res.requests)
	if most := 5 * float64(l.targets); perRequest > most {
		t.Errorf("%.0f forecasts for each request, want at most %.0f with %d targets", perRequest, most, l.targets)
	}
}

// Guards against a request that stays queued although a target is usable again: the end
// of a request starts only requests at its own target.
func TestPoolStartsQueuedRequestsAfterBackoff(t *testing.T) {
	w := newPoolHarness(t, poolTargetInfo("1", 1), poolTargetInfo("2", 1))
	for range 8 {
		w.serve("", 3*time.Second, 3*time.Second)
	}
	work := w.work("")
	work.Objective, work.Deadline = w.now.Add(10*time.Second), w.now.Add(20*time.Second)
	failed, busy := w.mustStart(work), w.mustStart(work)
	w.pool.Done(w.now, failed, Outcome{Result: Unreachable})
	r, err := w.submit(work)
	if err != nil || r.state != queued {
		t.Fatalf("request in state %v, error %v; want it queued for target %s", r.state, err, busy.info.ID)
	}
	for range 40 {
		w.now = w.now.Add(queuedTick)
		w.pool.Tick(w.now)
	}
	if r.state != running || r.info.ID != failed.info.ID {
		t.Errorf("request in state %v at %q after 200 ms, want it running at %s", r.state, r.info.ID, failed.info.ID)
	}
}

// BenchmarkPoolUnderLoad reports the processor time of a pool per second of load.
func BenchmarkPoolUnderLoad(b *testing.B) {
	for _, perSecond := range []float64{200, 400, 600, 1200} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) {
			l := regionLoad(perSecond)
			const seconds = 20
			var res poolLoadResult
			for b.Loop() {
				res = l.run(seconds * time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/seconds, "us/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(res.requests), "us/request")
			b.ReportMetric(float64(res.inTime)/float64(res.requests), "intime")
			b.ReportMetric(float64(res.refused)/float64(res.requests), "refused")
		})
	}
}
