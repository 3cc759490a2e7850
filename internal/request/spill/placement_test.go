package spill

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// placedShares returns the share of 2,000 objects that a chooser asks each region for
// first.
func placedShares(t *testing.T, c *Chooser, now time.Time, s *snapshot.Snapshot, load dispatch.Load, objective time.Duration) map[string]float64 {
	t.Helper()
	const objects = 2000
	out := map[string]float64{}
	for i := range objects {
		out[firstRegion(t, c, now, s, fmt.Sprint("object", i), load, objective)] += 1.0 / objects
	}
	return out
}

// firstRegion returns the region that is asked first for a request about an object.
func firstRegion(t *testing.T, c *Chooser, now time.Time, s *snapshot.Snapshot, object string, load dispatch.Load, objective time.Duration) string {
	t.Helper()
	step, ok := c.NextAttempt(now, s, RegionQuery{
		Service: "rota", Region: "north", Objective: objective, Deadline: 4 * objective, Object: object, HasObject: true, RouteObjective: objective, Load: load,
		Allowed: func(string) bool { return true }, Tried: map[AttemptKey]bool{}, ShiftAllowed: func(region string) bool { return region == "north" },
	})
	if !ok {
		t.Fatalf("no region for %s", object)
	}
	return step.Region
}

func newTestChooser() *Chooser { return NewChooser(nil, func() float64 { return 0.5 }) }

var shortOfTargets = map[string]int{"n1": 2, "n2": 1, "s1": 12, "e1": 15}

var evenEntries = map[string]int{"n1": 2, "n2": 2, "s1": 4, "e1": 4}

var busy = dispatch.Load{InFlight: 27, ExpectedWait: 50 * time.Millisecond, Run: 200 * time.Millisecond}

// Guards against an object that is cached in no region for long, because the entries of a region
// that is short of targets move requests at random: each region that runs it finds it
// uncached.
func TestObjectRunsInOneRegion(t *testing.T) {
	s := roomSnapshot(t, shortOfTargets, evenEntries, "")
	a, b := newTestChooser(), newTestChooser()
	for i := range 200 {
		object, now := fmt.Sprint("object", i), epoch.Add(time.Duration(i)*10*time.Millisecond)
		want := firstRegion(t, a, now, s, object, busy, time.Second)
		for range 3 {
			if got := firstRegion(t, b, now, s, object, busy, time.Second); got != want {
				t.Fatalf("%s runs in %s for one entry and in %s for another", object, want, got)
			}
		}
	}
	for region, want := range map[string]float64{"north": 0.3, "south": 0.2, "east": 0.5} {
		if got := placedShares(t, newTestChooser(), epoch, s, busy, time.Second)[region]; math.Abs(got-want) > 0.04 {
			t.Errorf("%.3f of the objects run in %s, want %.2f", got, region, want)
		}
	}
}

// Guards against requests whose latency objective the way to another region takes up, and
// which are placed there all the same.
func TestTightObjectiveStaysAtHome(t *testing.T) {
	s := roomSnapshot(t, shortOfTargets, evenEntries, "")
	c := newTestChooser()
	c.Observe(epoch, "south", "rota", Outcome{Result: Completed, RoundTrip: 70 * time.Millisecond})
	c.Observe(epoch, "east", "rota", Outcome{Result: Completed, RoundTrip: 70 * time.Millisecond})
	if got := placedShares(t, c, epoch, s, busy, 150*time.Millisecond)["north"]; got < 0.999 {
		t.Errorf("%.3f of the requests with an objective of 150 ms are placed at home, want all", got)
	}
}

// Guards against objects that stay elsewhere while the own region has free slots, and against
// more of them that change their region within a window than the rate permits.
func TestPlacementFollowsRoomAndLoad(t *testing.T) {
	short, even := roomSnapshot(t, shortOfTargets, evenEntries, ""), roomSnapshot(t, map[string]int{"n1": 5, "n2": 5, "s1": 10, "e1": 10}, evenEntries, "")
	eastShrinks := roomSnapshot(t, map[string]int{"n1": 2, "n2": 1, "s1": 12, "e1": 5}, evenEntries, "")
	free := dispatch.Load{InFlight: 2, FreeSlots: 25}
	half := dispatch.Load{InFlight: 19, FreeSlots: 8}
	for name, tc := range map[string]struct {
		before, after *snapshot.Snapshot
		load          dispatch.Load
		windows       int     // for which the load lasts
		want          float64 // share placed at home in the end
	}{
		"busy":            {short, short, busy, 30, 0.3},
		"free":            {short, short, free, 125, 1}, // 0.7 at returnRate take 233 s
		"half used":       {short, short, half, 30, 0.3},
		"room is added":   {short, even, busy, 30, 1},
		"another shrinks": {short, eastShrinks, busy, 30, 0.45},
		"load unknown":    {short, short, dispatch.Load{Run: time.Second}, 30, 0.3},
	} {
		c := newTestChooser()
		last := placedShares(t, c, epoch, tc.before, busy, time.Second)
		for i := range tc.windows {
			var now time.Time
			for step := range 10 {
				now = epoch.Add(time.Duration(i)*DefaultRegionShiftWindow + time.Duration(step+1)*DefaultRegionShiftWindow/10)
				firstRegion(t, c, now, tc.after, "x", tc.load, time.Second)
			}
			shares, moved := placedShares(t, c, now, tc.after, tc.load, time.Second), 0.0
			for region, share := range shares {
				moved += max(0, share-last[region])
			}
			if moved > 0.08 { // placementRate and the number of objects
				t.Errorf("%s: %.3f of the objects moved from one window to the next", name, moved)
			}
			last = shares
		}
		if math.Abs(last["north"]-tc.want) > 0.04 {
			t.Errorf("%s: in the end %.3f of the objects are placed at home, want %.2f", name, last["north"], tc.want)
		}
	}
}

// Guards against short requests that may run nowhere but in the full own region, because another
// route of their service takes long.
func TestRunningTimesOfRoutesAreToldApart(t *testing.T) {
	s := regionsSnapshot(t)
	c := newTestChooser()
	for range 20 {
		c.ObserveRun("north", "archive", 2*time.Second)
		c.ObserveRun("north", "check", 40*time.Millisecond)
	}
	for route, want := range map[string]string{"check": "south in time, north in time, south any slot, ", "archive": "north in time, "} {
		q := RegionQuery{
			Service: "rota", Route: route, Region: "north", Objective: 250 * time.Millisecond, Deadline: 1200 * time.Millisecond, HasObject: true,
			Load: dispatch.Load{ExpectedWait: 400 * time.Millisecond, Run: 2 * time.Second}, Allowed: func(string) bool { return true }, Tried: map[AttemptKey]bool{},
		}
		got := ""
		for step, ok := c.NextAttempt(epoch, s, q); ok; step, ok = c.NextAttempt(epoch, s, q) {
			got += step.Region + " " + step.Mode.String() + ", "
			q.Tried[step.AttemptKey] = true
		}
		if got != want {
			t.Errorf("%s: asked %q, want %q", route, got, want)
		}
	}
}

// Guards against objects that move to and fro with callers that come in waves: each move is a
// run without the cached object, which takes four times as long and, on a route whose
// timeout is shorter, is lost.
func TestWavesOfCallersMoveFewObjects(t *testing.T) {
	const (
		objects = 1000
		mean    = 200.0 // requests a second of the callers of north
		swing   = 0.55
		period  = 36 * time.Second
		warm    = 12 * time.Second
		lasts   = warm + period
		hit     = 80 * time.Millisecond // 27 slots serve all callers at their mean, if all objects are cached
		miss    = 4 * hit
		step    = 100 * time.Millisecond
	)
	s, c := roomSnapshot(t, shortOfTargets, evenEntries, ""), newTestChooser()
	random := rand.New(rand.NewPCG(7, 7))
	cachedIn := map[string]string{} // regions, by object
	inUse, requests, moved := 0.0, 0.0, 0.0
	for at := time.Duration(0); at < lasts; at += step {
		load := dispatch.Load{InFlight: int(min(inUse, 27)), FreeSlots: int(27 - min(inUse, 27))}
		rate := mean * (1 + swing*math.Sin(2*math.Pi*at.Seconds()/period.Seconds()))
		work := time.Duration(0) // of the requests that run at home
		for range int(rate * step.Seconds()) {
			object := fmt.Sprint(random.IntN(objects))
			region := firstRegion(t, c, epoch.Add(at), s, object, load, time.Second)
			uncached := !strings.Contains(cachedIn[object], region)
			if at >= warm {
				requests++
				if uncached && cachedIn[object] != "" {
					moved++
				}
			}
			if uncached {
				cachedIn[object] = region // the others forget what they do not run
			}
			switch {
			case region != "north":
			case uncached:
				work += miss
			default:
				work += hit
			}
		}
		inUse += (work.Seconds()/step.Seconds() - inUse) * 0.2
	}
	if share := moved / requests; share > 0.05 {
		t.Errorf("%.3f of the requests find their object in another region than the one that runs them, want at most 0.05", share)
	}
}

// Guards against entries that start again and place objects otherwise than those that have run
// for a while: their requests change the region at once, and the objects run uncached.
func TestRestartedEntryPlacesObjectsLikeTheOthers(t *testing.T) {
	const (
		objects  = 2000
		maxShare = 0.15 // of the requests, which may change their region from one window to the next
		runs     = 40 * time.Second
	)
	s := roomSnapshot(t, shortOfTargets, evenEntries, "")
	for name, load := range map[string]dispatch.Load{"free slots": {InFlight: 2, FreeSlots: 25}, "busy": busy} {
		running, restarted := newTestChooser(), newTestChooser()
		now := epoch
		for ; now.Before(epoch.Add(runs)); now = now.Add(200 * time.Millisecond) {
			firstRegion(t, running, now, s, "x", load, time.Second)
		}
		differ := 0
		for i := range objects {
			object := fmt.Sprint("object", i)
			if firstRegion(t, running, now, s, object, load, time.Second) != firstRegion(t, restarted, now, s, object, load, time.Second) {
				differ++
			}
		}
		if share := float64(differ) / objects; share > maxShare {
			t.Errorf("%s: an entry that has just started places %.3f of the objects in another region than the others, want at most %.2f", name, share, maxShare)
		}
	}
}
