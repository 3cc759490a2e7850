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
	operations                int // calls of the pool
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
		res.operations++
		decided(at)
	}
	return res
}

// BenchmarkPoolUnderLoad reports the processor time of a pool per second of load.
func BenchmarkPoolUnderLoad(b *testing.B) {
	for _, perSecond := range []float64{200, 400, 600, 1200} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) {
			l := poolLoad{
				targets: 30, slots: 9, objects: 230, perSecond: perSecond, cached: 195 * time.Millisecond, uncached: 780 * time.Millisecond,
				objective: 600 * time.Millisecond, deadline: 1200 * time.Millisecond,
			}
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
