package spill

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

const threeRegions = `team: platform
regions: [{name: north, data_centres: [n1, n2]}, {name: south, data_centres: [s1]}, {name: east, data_centres: [e1]}]
services: [{name: rota, guarded_slots: true, health_path: /health}]
`

// roomSnapshot returns a snapshot with targets of nine slots and entries in the given
// data centres.
func roomSnapshot(t *testing.T, targets, entries map[string]int, drains string) *snapshot.Snapshot {
	t.Helper()
	c := snapshot.Content{Version: 1, Sections: []*fescuepb.Section{{Team: "platform", Yaml: []byte(threeRegions + drains)}}}
	for dc, n := range targets {
		for i := range n {
			c.Targets = append(c.Targets, &fescuepb.Target{Id: fmt.Sprint(dc, i), Service: "rota", DataCentre: dc, Slots: 9})
		}
	}
	for dc, n := range entries {
		region := map[byte]string{'n': "north", 's': "south", 'e': "east"}[dc[0]]
		for i := range n {
			c.Members = append(c.Members, &fescuepb.Member{Instance: fmt.Sprint(dc, i), Role: fescuepb.Role_ROLE_ENTRY, DataCentre: dc, Region: region})
		}
	}
	s, err := new(snapshot.Builder).Build(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a region that is short of targets and whose entries assume, until
// requests have been refused, that it can serve all of its callers.
func TestRoomShares(t *testing.T) {
	even := map[string]int{"n1": 2, "n2": 2, "s1": 4, "e1": 4}
	for name, tc := range map[string]struct {
		targets, entries map[string]int
		drains           string
		want             map[string]float64
	}{
		"equal room":              {map[string]int{"n1": 5, "n2": 5, "s1": 10, "e1": 10}, even, "", map[string]float64{"north": 1}},
		"short of targets":        {map[string]int{"n1": 2, "n2": 1, "s1": 12, "e1": 15}, even, "", map[string]float64{"north": 0.3, "south": 0.2, "east": 0.5}},
		"more room than callers":  {map[string]int{"n1": 10, "n2": 10, "s1": 5, "e1": 5}, even, "", map[string]float64{"north": 1}},
		"few callers need little": {map[string]int{"n1": 3, "s1": 12, "e1": 15}, map[string]int{"n1": 1, "s1": 4, "e1": 5}, "", map[string]float64{"north": 1}},
		"drained data centre":     {map[string]int{"n1": 7, "n2": 3, "s1": 12, "e1": 15}, even, "drains: [{data_centre: n1}]\n", map[string]float64{"north": 0.3, "south": 0.2, "east": 0.5}},
		"no target at home":       {map[string]int{"s1": 15, "e1": 15}, even, "", map[string]float64{"north": 0, "south": 0.5, "east": 0.5}},
		"no target at all":        {nil, even, "", nil},
		"no entry known":          {map[string]int{"n1": 5}, nil, "", nil},
	} {
		got := RoomShares(roomSnapshot(t, tc.targets, tc.entries, tc.drains), "north")
		for _, region := range []string{"north", "south", "east"} {
			if math.Abs(got[region]-tc.want[region]) > 1e-9 {
				t.Errorf("%s: %s has a share of %.3f, want %.3f", name, region, got[region], tc.want[region])
			}
		}
	}
	if got := RoomShares(nil, "north"); got != nil {
		t.Errorf("shares %v without a snapshot", got)
	}
}

// shortRegion models the entries of a region with slots for a part of its callers, from
// the first request on, while two other regions have room for all.
type shortRegion struct {
	entries int
	rate    float64 // requests a second at each entry
	slots   float64 // requests a second that the own region runs
	shares  map[string]float64
	restart time.Duration // when half of the entries start again; 0: never
}

// run returns the share of the requests that ran nowhere in the first four seconds, and
// the largest share that moved from one window to the next afterwards.
func (s shortRegion) run(seed uint64) (refused, moved float64) {
	const lasts = 16 * time.Second
	random := rand.New(rand.NewPCG(seed, 2))
	limiters := make([]*RegionShiftLimiter, s.entries)
	start := func(i int) {
		limiters[i] = NewRegionShiftLimiter("north", 0.15, DefaultRegionShiftWindow)
		limiters[i].StartWith(func() map[string]float64 { return s.shares })
	}
	for i := range limiters {
		start(i)
	}
	type ran struct {
		at     time.Duration
		region string
	}
	var all []ran
	early, earlyRefused, tokens, filledAt, restarted := 0.0, 0.0, 0.0, time.Duration(0), false
	for at := time.Duration(0); at < lasts; at += time.Duration(random.ExpFloat64() / s.rate / float64(s.entries) * float64(time.Second)) {
		if s.restart > 0 && at > s.restart && !restarted {
			restarted = true
			for i := range s.entries / 2 {
				start(i)
			}
		}
		tokens = min(tokens+(at-filledAt).Seconds()*s.slots, 10)
		filledAt = at
		order := []string{"south", "east"}
		random.Shuffle(2, func(i, j int) { order[i], order[j] = order[j], order[i] })
		if tokens >= 1 {
			order = append([]string{"north"}, order...)
		}
		region := ""
		l := limiters[random.IntN(s.entries)]
		for _, r := range order {
			if l.Allows(epoch.Add(at), r) {
				region = r
				l.RecordRun(epoch.Add(at), r, false)
				all = append(all, ran{at, r})
				break
			}
		}
		if region == "north" {
			tokens--
		}
		if at < 4*time.Second {
			early++
			if region == "" {
				earlyRefused++
			}
		}
	}
	shares := func(from, to time.Duration) map[string]float64 {
		out, n := map[string]float64{}, 0.0
		for _, r := range all {
			if r.at >= from && r.at < to {
				out[r.region]++
				n++
			}
		}
		for region := range out {
			out[region] /= n
		}
		return out
	}
	for end := 4 * time.Second; end <= lasts; end += 100 * time.Millisecond {
		before, after, change := shares(end-4*time.Second, end-2*time.Second), shares(end-2*time.Second, end), 0.0
		for region, share := range after {
			change += max(0, share-before[region])
		}
		moved = max(moved, change)
	}
	return earlyRefused / early, moved
}

// Guards against callers of a region short of targets who are refused in the first seconds
// of traffic although other regions have room, and against a jump when entries start again.
func TestShortRegionFromTheFirstSecond(t *testing.T) {
	shares := map[string]float64{"north": 0.3, "south": 0.35, "east": 0.35}
	for name, s := range map[string]shortRegion{
		"grown site":             {entries: 22, rate: 15, slots: 100, shares: shares},
		"few entries":            {entries: 3, rate: 60, slots: 55, shares: shares},
		"few requests each":      {entries: 22, rate: 5, slots: 33, shares: shares},
		"more room than assumed": {entries: 22, rate: 15, slots: 160, shares: shares},
		"half start again":       {entries: 22, rate: 15, slots: 100, shares: shares, restart: 9 * time.Second},
	} {
		for seed := range uint64(5) {
			refused, moved := s.run(seed)
			if refused > 0.15 || moved > 0.15 {
				t.Errorf("%s, seed %d: %.3f refused in the first 4 s, want at most 0.15; %.3f moved from one window to the next, want at most 0.15", name, seed, refused, moved)
			}
			s.shares = nil
			if without, _ := s.run(seed); without < 0.3 && s.slots < s.rate*float64(s.entries)/2 {
				t.Errorf("%s, seed %d: only %.3f refused if all requests begin at home; the model shows no shortage", name, seed, without)
			}
			s.shares = shares
		}
	}
}
