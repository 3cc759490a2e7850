package controlmain

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// Guards against a change of a listed target that is not committed, and against a
// commit at each read because the remaining time for which a target is cold is lower
// each time.
func TestTargetChanges(t *testing.T) {
	target := func(change func(*fescuepb.Target)) *fescuepb.Target {
		t := &fescuepb.Target{Id: "t1", Service: "rota", Address: "10.0.0.1:80", DataCentre: "a", Slots: 3, ColdMs: 2000, BornUnixMs: 5}
		change(t)
		return t
	}
	for name, tc := range map[string]struct {
		listed       []*fescuepb.Target
		set, removed int
	}{
		"unchanged":                 {[]*fescuepb.Target{target(func(*fescuepb.Target) {})}, 0, 0},
		"no longer listed":          {nil, 0, 1},
		"listed twice":              {[]*fescuepb.Target{target(func(*fescuepb.Target) {}), target(func(*fescuepb.Target) {})}, 0, 0},
		"remaining cold time lower": {[]*fescuepb.Target{target(func(t *fescuepb.Target) { t.ColdMs = 1500 })}, 0, 0},
		"no longer cold":            {[]*fescuepb.Target{target(func(t *fescuepb.Target) { t.ColdMs = 0 })}, 1, 0},
		"cold again":                {[]*fescuepb.Target{target(func(t *fescuepb.Target) { t.ColdMs = 3000 })}, 1, 0},
		"leaving":                   {[]*fescuepb.Target{target(func(t *fescuepb.Target) { t.Leaving = true })}, 1, 0},
		"different address":         {[]*fescuepb.Target{target(func(t *fescuepb.Target) { t.Address = "10.0.0.2:80" })}, 1, 0},
		"different service":         {[]*fescuepb.Target{target(func(t *fescuepb.Target) { t.Service = "swaps" })}, 1, 0},
		"restarted":                 {[]*fescuepb.Target{target(func(t *fescuepb.Target) { t.BornUnixMs = 9 })}, 1, 0},
		"different ID":              {[]*fescuepb.Target{target(func(t *fescuepb.Target) { t.Id = "t2" })}, 1, 1},
	} {
		change := targetChanges([]*fescuepb.Target{target(func(*fescuepb.Target) {})}, &targetList{targets: tc.listed})
		if len(change.Set) != tc.set || len(change.Removed) != tc.removed {
			t.Errorf("%s: %d set and %d removed, want %d and %d", name, len(change.Set), len(change.Removed), tc.set, tc.removed)
		}
	}
}

// Guards against a data centre that cannot be read and loses its targets, or keeps the
// changes of the other data centres from being committed.
func TestTargetChangesOfReadDataCentres(t *testing.T) {
	committed := []*fescuepb.Target{
		{Id: "a1", DataCentre: "a"}, {Id: "a2", DataCentre: "a"}, {Id: "b1", DataCentre: "b"}, {Id: "moved", DataCentre: "b"},
	}
	list := &targetList{
		targets:     []*fescuepb.Target{{Id: "a1", DataCentre: "a", Leaving: true}, {Id: "moved", DataCentre: "a"}},
		dataCentres: map[string]bool{"a": true},
	}
	change := targetChanges(committed, list)
	if len(change.Set) != 2 || len(change.Removed) != 1 || change.Removed[0] != "a2" {
		t.Errorf("set %v, removed %v", change.Set, change.Removed)
	}
}

// Guards against a long list that is read as often as a short one: with 27 pages that is 54
// calls a second, for which the platform charges. A leaving target must still be known in
// time: the interval, the reading and the news to all entries fit into two seconds.
func TestLongListsAreReadLessOften(t *testing.T) {
	for pages, want := range map[int]time.Duration{
		0: targetsInterval, 1: targetsInterval, 4: targetsInterval, 20: 800 * time.Millisecond, 27: maxTargetsInterval, maxListPages: maxTargetsInterval,
	} {
		if got := readInterval(pages); got != want {
			t.Errorf("%d pages: read every %v, want %v", pages, got, want)
		}
	}
	if perSecond := 27 / readInterval(27).Seconds(); perSecond > 30 {
		t.Errorf("%.0f calls a second for 27 pages", perSecond)
	}
}
