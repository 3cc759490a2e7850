package spill

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a region with too few targets whose requests are refused although
// other regions have free slots: with few requests for each entry, chance used up what
// may move, and the share that moved never grew.
func TestRegionShiftLimiterFewRequestsReachTheirShare(t *testing.T) {
	const entries, ownShare = 20, 0.3 // the own region serves three of ten requests
	for _, perEntry := range []float64{6, 9, 18} {
		random := rand.New(rand.NewPCG(1, 2))
		limiters := make([]*RegionShiftLimiter, entries)
		for i := range limiters {
			limiters[i] = NewRegionShiftLimiter("north", 0.15, DefaultRegionShiftWindow)
		}
		requests, refused := 0, 0
		for now := epoch; now.Before(epoch.Add(60 * time.Second)); {
			now = now.Add(time.Duration(random.ExpFloat64() / perEntry / entries * float64(time.Second)))
			order := []string{"south", "east"}
			if random.IntN(2) == 0 {
				order = []string{"east", "south"}
			}
			if random.Float64() < ownShare {
				order = append([]string{"north"}, order...)
			}
			ran := runInFirst(limiters[random.IntN(entries)], now, order, random)
			if now.After(epoch.Add(40 * time.Second)) {
				requests++
				if !ran {
					refused++
				}
			}
		}
		if share := float64(refused) / float64(requests); share > 0.4 {
			t.Errorf("%v requests a second and entry: after 40 s, %.2f of the requests are refused, want at most 0.4", perEntry, share)
		}
	}
}

// runInFirst runs a request in the first region that the limiter allows, and reports whether there
// was one. Another region refuses one request of ten.
func runInFirst(l *RegionShiftLimiter, now time.Time, order []string, random *rand.Rand) bool {
	for _, region := range order {
		if !l.Allows(now, region) {
			continue
		}
		undo := l.RecordRun(now, region, false)
		if region == "north" || random.Float64() >= 0.1 {
			return true
		}
		undo(now)
	}
	return false
}
