package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an object that counts as cached beyond the limit, or not within it,
// in any order of uses, changes of the limit and restarts of the target.
func TestObjectLRUWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m objectLRU
		limit := 1
		m.setLimit(limit)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			at := time.Duration(i) * time.Second
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				limit = rapid.IntRange(1, 8).Draw(t, "limit")
				m.setLimit(limit)
			case 1:
				m.clear()
			default:
				m.touch(at, fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "object")))
			}
			for object := range 13 {
				recent, known := m.within(fmt.Sprint(object))
				distance, wantKnown := m.reuseDistance(fmt.Sprint(object))
				if want := wantKnown && distance < limit; recent != want || known != wantKnown {
					t.Fatalf("object %d at distance %d (known %v): within %d is %v, known %v", object, distance, wantKnown, limit, recent, known)
				}
			}
			since := at - time.Duration(rapid.IntRange(0, 10).Draw(t, "age"))*time.Second
			n := 0
			for e := m.order.Front(); e != nil && useOf(e).at >= since; e = e.Next() {
				n++
			}
			if got := m.fullSince(since); got != (n >= limit) {
				t.Fatalf("%d objects since %v with limit %d: full %v", n, since, limit, got)
			}
		}
	})
}
