package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Guards against the use of targets that is kept for ever: pools come and go with the
// number of parts, and targets with each release.
func TestSharedUseForgetsTargets(t *testing.T) {
	var shared SharedUse
	start := time.Now()
	var pools []*Pool
	for range 2 {
		pools = append(pools, NewPool(start, Settings{Service: "rota", Shared: &shared}))
	}
	for i := range 100 {
		infos := []TargetInfo{{ID: fmt.Sprint(i), Slots: 3}}
		pools[0].SetTargets(start, infos)
		pools[1].SetTargets(start, infos)
	}
	var r Request
	if err := pools[0].Submit(start, &r, Work{Route: "r"}); err != nil {
		t.Fatal(err)
	}
	pools[0].Stop()
	if n := len(shared.targets); n != 1 {
		t.Errorf("%d targets known, want the one that is listed", n)
	}
	if free := pools[1].Load(start).FreeSlots; free != 2 {
		t.Errorf("%d of 3 slots free with one request of the stopped pool", free)
	}
	pools[0].Done(start.Add(time.Second), &r, Outcome{Result: OK})
	pools[1].SetTargets(start, nil)
	if n := len(shared.targets); n != 0 {
		t.Errorf("%d targets known, none is listed", n)
	}
}
