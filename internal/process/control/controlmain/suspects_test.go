package controlmain

import (
	"slices"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
)

// Guards against a quarantine that never ends, against one that ends before its time
// after it was renewed, and against suspects that are remembered for ever.
func TestSuspectKeeper(t *testing.T) {
	k := &suspectKeeper{}
	start := time.Unix(1e9, 0)
	single := &fescuepb.Suspect{Id: "single", Crashes: []string{"a"}, ChangedVersion: 1}
	fallen := &fescuepb.Suspect{Id: "fallen", Crashes: []string{"a", "b", "c"}, ChangedVersion: 2}
	renewed := &fescuepb.Suspect{Id: "renewed", Crashes: []string{"a", "b", "c"}, ChangedVersion: 3}
	exhausted := &fescuepb.Suspect{Id: "exhausted", Crashes: []string{"a", "b", "c"}, Trials: quarantine.MaxTrials, ChangedVersion: 4}
	all := []*fescuepb.Suspect{single, fallen, renewed, exhausted}
	check := func(after time.Duration, due, forgotten []string) {
		t.Helper()
		c := k.due(all, start.Add(after))
		if !slices.Equal(c.TrialsDue, due) || !slices.Equal(c.Cleared, forgotten) {
			t.Errorf("after %v: trials due %v, forgotten %v", after, c.TrialsDue, c.Cleared)
		}
	}
	check(0, nil, nil)
	renewed.ChangedVersion = 5
	check(time.Minute, nil, nil)
	check(quarantine.Period-time.Second, nil, nil)
	check(quarantine.Period, []string{"fallen"}, []string{"single"})
	all = all[2:]
	check(quarantine.Period+time.Minute, []string{"renewed"}, nil)
	renewed.TrialDue, renewed.ChangedVersion = true, 6
	check(quarantine.MaxAge, nil, []string{"exhausted"})
	k.seen = nil // a new leader
	check(quarantine.MaxAge+time.Second, nil, nil)
}
