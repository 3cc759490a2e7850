package spill

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

var epoch = time.Unix(1000, 0)

const platformSection = `
team: platform
regions:
  - {name: north, data_centres: [n1, n2]}
  - {name: south, data_centres: [s1, s2]}
links:
  - {from: north, to: south, bytes_per_second: 1000000, delay_ms: 35}
drains:
  - {data_centre: s2}
`

const teamSection = `
team: kerala
services:
  - name: rota
    data_centres: [s2, s1, n2, n1]
    slots_per_target: 7
    routes: [{path: /, safe: true}]
`

func buildSnapshot(t *testing.T) *snapshot.Snapshot {
	t.Helper()
	s, err := snapshot.Build(1, []*fescuepb.Section{
		{Team: "platform", Yaml: []byte(platformSection)}, {Team: "kerala", Yaml: []byte(teamSection)}}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against candidates that are drained, in back-off after a refusal,
// draining or too slow for the deadline, and against a wrong order.
func TestChoose(t *testing.T) {
	s := buildSnapshot(t)
	in := func(d time.Duration) time.Time { return epoch.Add(d) }
	cases := []struct {
		name     string
		seen     func(c *Chooser)
		at       time.Duration
		deadline time.Duration
		load     dispatch.Load
		want     string
	}{
		{"order", func(*Chooser) {}, 0, time.Second, dispatch.Load{}, "n1 n2 s1 "},
		{"deadline", func(*Chooser) {}, 0, 50 * time.Millisecond, dispatch.Load{}, "n1 n2 "},
		{"local queue too long", func(*Chooser) {}, 0, time.Second, dispatch.Load{ExpectedWait: 2 * time.Second}, "n2 s1 "},
		{"local draining", func(*Chooser) {}, 0, time.Second, dispatch.Load{Draining: true}, "n2 s1 "},
		{"refused", func(c *Chooser) { c.Observe(epoch, "n2", "rota", Outcome{Result: Refused}) }, 0, time.Second, dispatch.Load{}, "n1 s1 "},
		{"back-off over", func(c *Chooser) { c.Observe(epoch, "n2", "rota", Outcome{Result: Refused}) }, 80 * time.Millisecond, time.Second, dispatch.Load{}, "n1 n2 s1 "},
		{"RetryAfter", func(c *Chooser) {
			c.Observe(epoch, "n2", "rota", Outcome{Result: Refused, RetryAfter: time.Second})
		}, time.Second, 3 * time.Second, dispatch.Load{}, "n1 s1 "},
		{"success clears", func(c *Chooser) {
			c.Observe(epoch, "n2", "rota", Outcome{Result: Refused})
			c.Observe(epoch, "n2", "rota", Outcome{Result: Completed})
		}, 0, time.Second, dispatch.Load{}, "n1 n2 s1 "},
		{"remembered wait", func(c *Chooser) {
			c.Observe(epoch, "n2", "rota", Outcome{Load: &dispatch.Load{ExpectedWait: 3 * time.Second}})
		}, 0, time.Second, dispatch.Load{}, "n1 s1 "},
		{"old wait", func(c *Chooser) {
			c.Observe(epoch, "n2", "rota", Outcome{Load: &dispatch.Load{ExpectedWait: 3 * time.Second}})
		}, loadLifetime, loadLifetime + time.Second, dispatch.Load{}, "n1 n2 s1 "},
	}
	for _, tc := range cases {
		c := NewChooser(nil, func() float64 { return 0.5 })
		tc.seen(c)
		got := ""
		for _, cand := range c.Choose(in(tc.at), s, "rota", "n1", in(tc.deadline), tc.load) {
			got += cand.DataCentre + " "
		}
		if got != tc.want {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}

// Guards against a sudden move of traffic to the group: more remote requests in
// flight than slots, growth of the limit faster than e-fold per second, and slots
// lost because the ramp counts requests in flight wrongly.
// It also checks that the limit reaches 84 within 6 s of completions in time,
// is halved on overload, and returns to the initial limit when idle.
func TestRemoteRamp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, r := epoch, NewRemoteRamp(epoch)
		slots, flight := rapid.IntRange(1, 80).Draw(t, "slots"), 0
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 9), 100, 400).Draw(t, "steps") {
			switch {
			case step < 5:
				if r.Admit(now, slots) {
					flight++
				}
			case step < 9 && flight > 0:
				r.Done(now, RampResult(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2}).Draw(t, "result")))
				flight--
			default:
				now = now.Add(20 * time.Millisecond)
			}
			most := min(rampInitialLimit*math.Exp(rampGrowthRate*now.Sub(epoch).Seconds()), float64(slots))
			if float64(flight) > max(most, 1) || r.inFlight != flight {
				t.Fatalf("%d in flight, ramp counts %d, at most %.1f allowed", flight, r.inFlight, most)
			}
		}
	})
	now, r := epoch, NewRemoteRamp(epoch)
	for r.Limit() < 84 && now.Sub(epoch) < 6*time.Second {
		n := 0
		for r.Admit(now, 84) {
			n++
		}
		now = now.Add(10 * time.Millisecond)
		for range n {
			r.Done(now, OnTime)
		}
	}
	t.Logf("limit %d after %v of completions in time", r.Limit(), now.Sub(epoch))
	if r.Limit() < 84 {
		t.Errorf("limit %d after 6 s of completions in time", r.Limit())
	}
	r.Admit(now, 84)
	r.Done(now, Overloaded)
	if r.Limit() > 42 {
		t.Errorf("limit %d after an overload", r.Limit())
	}
	r.Admit(now.Add(time.Minute), 84)
	if r.Limit() != rampInitialLimit {
		t.Errorf("limit %d after a minute without requests", r.Limit())
	}
}

const regionsDocument = `team: platform
regions: [{name: north, data_centres: [n1]}, {name: south, data_centres: [s1]}]
services: [{name: rota, guarded_slots: true, health_path: /health}]
`

// regionsSnapshot returns the snapshot of regionsDocument with a target in each region.
func regionsSnapshot(t *testing.T) *snapshot.Snapshot {
	t.Helper()
	s, err := new(snapshot.Builder).Build(snapshot.Content{
		Version:  1,
		Sections: []*fescuepb.Section{{Team: "platform", Yaml: []byte(regionsDocument)}},
		Targets:  []*fescuepb.Target{{Id: "1", Service: "rota", DataCentre: "n1"}, {Id: "2", Service: "rota", DataCentre: "s1"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against attempts in a region that the shift limit excludes, for moves
// to another region and back to the own one, and against a shift limit that
// still applies when the own region has failed.
func TestNextAttemptRespectsShiftLimit(t *testing.T) {
	s := regionsSnapshot(t)
	for _, tc := range []struct {
		name   string
		wait   time.Duration // expected wait in the own region
		failed int           // percentage of the own region's slots
		bar    map[string]bool
		want   string
	}{
		{"own region free", 0, 0, nil, "north south north south "},
		{"own region busy", time.Second, 0, nil, "south north south "},
		{"other region barred", time.Second, 0, map[string]bool{"south": true}, "north "},
		{"own region barred", 0, 0, map[string]bool{"north": true}, "south north south north "},
		{"own region failed", time.Second, 50, map[string]bool{"south": true}, "south north south "},
		{"some of the own region failed", time.Second, 49, map[string]bool{"south": true}, "north "},
	} {
		q := RegionQuery{
			Service: "rota", Region: "north", Objective: 500 * time.Millisecond, Deadline: 2 * time.Second,
			Load: dispatch.Load{ExpectedWait: tc.wait, FailedPercent: tc.failed}, Allowed: func(string) bool { return true }, Tried: map[AttemptKey]bool{},
			ShiftAllowed: func(region string) bool { return !tc.bar[region] },
		}
		c, got := NewChooser(nil, func() float64 { return 0.5 }), ""
		for {
			step, ok := c.NextAttempt(epoch, s, q)
			if !ok {
				break
			}
			got += step.Region + " "
			q.Tried[step.AttemptKey] = true
		}
		if got != tc.want {
			t.Errorf("%s: asked %q, want %q", tc.name, got, tc.want)
		}
	}
}

// Guards against requests that leave a region which can answer them in time, and against
// requests for objects that move to a region where they would be late, because their
// objects are not cached there: both slow down the requests of the other region.
func TestNextAttemptKeepsObjectsAtHome(t *testing.T) {
	s := regionsSnapshot(t)
	const objective = 600 * time.Millisecond
	for _, tc := range []struct {
		name      string
		wait, run time.Duration // in the own region
		object    bool
		want      string
	}{
		{"in time here after a wait", 350 * time.Millisecond, 200 * time.Millisecond, true, "north in time"},
		{"late here, in time there", 450 * time.Millisecond, 200 * time.Millisecond, true, "south in time"},
		{"late here, late there without the object", 450 * time.Millisecond, 300 * time.Millisecond, true, "north in time"},
		{"late here, no object", 450 * time.Millisecond, 300 * time.Millisecond, false, "south in time"},
	} {
		step, ok := NewChooser(nil, func() float64 { return 0.5 }).NextAttempt(epoch, s, RegionQuery{
			Service: "rota", Region: "north", Objective: objective, Deadline: 2 * time.Second, HasObject: tc.object,
			Load: dispatch.Load{ExpectedWait: tc.wait, Run: tc.run}, Allowed: func(string) bool { return true },
		})
		if got := step.Region + " " + step.Mode.String(); !ok || got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
	}
}
