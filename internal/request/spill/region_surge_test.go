package spill

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// surge models the entries of a region whose traffic rises while the dispatcher of the
// region has slots for a part of the requests only. It refuses the others after a wait.
type surge struct {
	entries       int
	before, after float64 // requests a second at each entry, before and from surgeAt
	slots         float64 // requests a second that the own region runs, for each entry
	wait          time.Duration
}

const (
	surgeAt  = 8 * time.Second
	surgeEnd = 16 * time.Second
)

// event is a step of the model that runs at a time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run returns the largest share of the requests that moved to another region from one
// window to the next, and the share of the requests that ran nowhere.
func (s surge) run(seed uint64, maxShare float64) (moved, refused float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	type ran struct {
		at   time.Duration
		away bool
	}
	var all []ran
	var queue events
	requests, refusals, tokens, filledAt := 0, 0, 0.0, time.Duration(0)
	after := func(at time.Duration, do func()) { heap.Push(&queue, event{at, do}) }
	for range s.entries {
		l := NewRegionShiftLimiter("north", maxShare, DefaultRegionShiftWindow)
		var arrive func(at time.Duration)
		decide := func(at time.Duration) {
			now := epoch.Add(at)
			tokens = min(tokens+(at-filledAt).Seconds()*s.slots*float64(s.entries), float64(s.entries))
			filledAt = at
			if tokens >= 1 {
				tokens--
				l.RecordRun(now, "north", false)
				all = append(all, ran{at, false})
				return
			}
			if l.Allows(now, "south") {
				l.RecordRun(now, "south", false)
				all = append(all, ran{at, true})
				return
			}
			refusals++
		}
		arrive = func(at time.Duration) {
			requests++
			wait := time.Duration(random.Float64() * float64(s.wait))
			after(at+wait, func() { decide(at + wait) })
			rate := s.before
			if at >= surgeAt {
				rate = s.after
			}
			next := at + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
			if next < surgeEnd {
				after(next, func() { arrive(next) })
			}
		}
		first := time.Duration(random.Float64() * float64(time.Second))
		after(first, func() { arrive(first) })
	}
	for queue.Len() > 0 {
		heap.Pop(&queue).(event).do()
	}
	share := func(from, to time.Duration) float64 {
		away, n := 0.0, 0.0
		for _, r := range all {
			if r.at >= from && r.at < to {
				n++
				if r.away {
					away++
				}
			}
		}
		return away / max(n, 1)
	}
	for end := 5 * time.Second; end <= surgeEnd; end += 100 * time.Millisecond {
		moved = max(moved, share(end-2*time.Second, end)-share(end-4*time.Second, end-2*time.Second))
	}
	return moved, float64(refusals) / float64(requests)
}

// Guards against a share of moved requests above the limit when the traffic of a region
// rises and its dispatcher refuses requests after they have waited.
func TestRegionShiftLimiterDuringSurge(t *testing.T) {
	const maxShare = 0.15
	for name, s := range map[string]surge{
		"grown site":      {21, 13, 34, 13, 400 * time.Millisecond},
		"few requests":    {27, 5, 12, 5, 400 * time.Millisecond},
		"many requests":   {9, 40, 100, 45, 400 * time.Millisecond},
		"almost no slots": {21, 13, 34, 3, 600 * time.Millisecond},
	} {
		for seed := range uint64(5) {
			moved, refused := s.run(seed, maxShare)
			t.Logf("%s, seed %d: %.3f moved, %.3f refused", name, seed, moved, refused)
			if moved > maxShare {
				t.Errorf("%s, seed %d: %.3f of the requests moved from one window to the next", name, seed, moved)
			}
		}
	}
}
