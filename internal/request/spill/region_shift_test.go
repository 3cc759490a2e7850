package spill

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more than the permitted share of requests moving to another
// region, or back, from one window to the next.
func TestRegionShiftLimiter(t *testing.T) {
	const maxShare = 0.15
	rapid.Check(t, func(t *rapid.T) {
		s := NewRegionShiftLimiter("north", maxShare, DefaultRegionShiftWindow)
		now := epoch
		type ran struct {
			at     time.Time
			region string
		}
		var all []ran
		regions := []string{"north", "south", "east"}
		wanted := "north"
		gap := time.Duration(rapid.IntRange(2, 25).Draw(t, "gap in ms")) * time.Millisecond
		lasts, refusals := 0, rapid.IntRange(0, 3).Draw(t, "refused of four")
		for i := range 600 {
			if lasts--; lasts < 0 {
				wanted = rapid.SampledFrom(regions).Draw(t, "wanted")
				lasts = rapid.IntRange(0, 300).Draw(t, "requests")
			}
			now = now.Add(gap)
			if i%4 < refusals {
				continue
			}
			for _, region := range append([]string{wanted}, regions...) {
				if !s.Allows(now, region) {
					continue
				}
				undo := s.RecordRun(now, region, false)
				if i%7 == 0 && region == wanted {
					undo(now)
					continue
				}
				all = append(all, ran{now, region})
				break
			}
		}
		share := func(from, to time.Time) (map[string]float64, float64) {
			counts, n := map[string]float64{}, 0.0
			for _, r := range all {
				if !r.at.Before(from) && r.at.Before(to) {
					counts[r.region]++
					n++
				}
			}
			for region := range counts {
				counts[region] /= n
			}
			return counts, n
		}
		for end := epoch.Add(4 * time.Second); end.Before(now); end = end.Add(200 * time.Millisecond) {
			before, _ := share(end.Add(-4*time.Second), end.Add(-2*time.Second))
			after, m := share(end.Add(-2*time.Second), end)
			moved := 0.0
			for region, v := range after {
				moved += max(0, v-before[region])
			}
			if moved > maxShare+2*maxAllowance/m { // up to maxAllowance extra at each end
				t.Fatalf("%.3f of %.0f requests moved within %v", moved, m, DefaultRegionShiftWindow)
			}
		}
	})
}

// Guards against a limit that never lets all requests move to another region,
// and against an entry that exceeds the limit with a burst after idle time.
func TestRegionShiftLimiterLetsAllMove(t *testing.T) {
	s := NewRegionShiftLimiter("north", 0.15, DefaultRegionShiftWindow)
	now, inTime := epoch, 0
	for range 30 * 50 {
		now = now.Add(20 * time.Millisecond)
		region := "north"
		if s.Allows(now, "south") {
			region, inTime = "south", inTime+1
		}
		s.RecordRun(now, region, false)
	}
	if share := s.recentRuns["south"] / (s.recentRuns["south"] + s.recentRuns["north"]); share < 0.95 || inTime < 500 {
		t.Errorf("after 30 s %.2f of the recent requests run in the wanted region, %d in total", share, inTime)
	}
	now = now.Add(time.Minute)
	moved := 0
	for range 50 {
		if s.Allows(now, "south") {
			s.RecordRun(now, "south", false)
			moved++
			continue
		}
		s.RecordRun(now, "north", false)
	}
	if moved > 10 {
		t.Errorf("%d of a burst of 50 requests moved after a minute without requests", moved)
	}
}

// Guards against several entries with few requests each that together move more
// than the permitted share.
func TestRegionShiftLimiterManyEntries(t *testing.T) {
	const maxShare = 0.15
	for _, tc := range []struct {
		count    int
		perEntry float64 // requests a second
	}{{3, 20}, {9, 20}, {27, 20}, {9, 10}, {9, 39}, {9, 41}, {3, 60}, {3, 200}} {
		count := tc.count
		entries := make([]*RegionShiftLimiter, count)
		for i := range entries {
			entries[i] = NewRegionShiftLimiter("north", maxShare, DefaultRegionShiftWindow)
		}
		now, gap := epoch, time.Duration(float64(time.Second)/tc.perEntry/float64(count))
		type ran struct {
			at    time.Time
			moved bool
		}
		var all []ran
		for n := 0; now.Before(epoch.Add(14 * time.Second)); n++ {
			now = now.Add(gap)
			s := entries[n%count]
			region := "north"
			if now.Sub(epoch) > 8*time.Second && s.Allows(now, "south") { // every entry prefers the other region from now on
				region = "south"
			}
			s.RecordRun(now, region, false)
			all = append(all, ran{now, region == "south"})
		}
		share := func(from, to time.Time) float64 {
			movedCount, n := 0.0, 0.0
			for _, r := range all {
				if !r.at.Before(from) && r.at.Before(to) {
					n++
					if r.moved {
						movedCount++
					}
				}
			}
			return movedCount / n
		}
		worst := 0.0
		for end := epoch.Add(8 * time.Second); end.Before(now); end = end.Add(100 * time.Millisecond) {
			worst = max(worst, share(end.Add(-2*time.Second), end)-share(end.Add(-4*time.Second), end.Add(-2*time.Second)))
		}
		t.Logf("%d entries, %.0f requests a second each: at most %.3f of the requests moved", count, tc.perEntry, worst)
		if worst > maxShare {
			t.Errorf("%d entries, %.0f requests a second each: %.3f of the requests moved from one window to the next", count, tc.perEntry, worst)
		}
	}
}
