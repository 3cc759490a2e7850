package membership

import (
	"testing"
	"time"
)

// listedTable returns a table with one listed instance, whose process answered a
// probe at the given time.
func listedTable(at time.Time, incarnation string) (*Table, Key) {
	k := testKeys[0]
	table := New()
	table.ApplyList([]ListedInstance{{ID: k.ID, Address: k.Address, Role: RoleTarget, Status: StatusLive}})
	table.ApplyProbe(Probe{Key: k, Sent: at, Outcome: Answered, Incarnation: incarnation})
	return table, k
}

// Guards against a process that is taken for its predecessor at the same address, with
// and without an incarnation that it reports, and against one that is taken for another
// because it was probed again.
func TestProcessNumbers(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, named := range []string{"a", ""} {
		table, k := listedTable(now, named)
		seen := map[int64]bool{}
		expectNew := func(when string, want bool) {
			t.Helper()
			n := table.View(now)[0].Process
			if seen[n] == want || n == 0 {
				t.Errorf("incarnation %q, %s: process %d, seen before: %t", named, when, n, seen[n])
			}
			seen[n] = true
		}
		expectNew("first", true)
		table.ApplyProbe(Probe{Key: k, Sent: now.Add(1), Outcome: Answered, Incarnation: named})
		expectNew("probed again", false)
		next := ""
		if named != "" {
			next = "b"
		}
		table.ApplyProbe(Probe{Key: k, Sent: now.Add(2), Outcome: Refused})
		table.ApplyProbe(Probe{Key: k, Sent: now.Add(3), Outcome: Answered, Incarnation: next})
		expectNew("restarted", true)
		table.ApplyList(nil)
		table.ApplyProbe(Probe{Key: k, Sent: now.Add(4), Outcome: Refused})
		table.View(now)
		table.View(now.Add(2 * departedRetention))
		table.ApplyList([]ListedInstance{{ID: k.ID, Address: k.Address, Role: RoleTarget, Status: StatusLive}})
		expectNew("forgotten and listed again", true)
	}
}

// Guards against an instance that turns silent because it is not probed on purpose, and
// against one that is kept although it was silent before.
func TestHold(t *testing.T) {
	now := time.Unix(1000, 0)
	table, k := listedTable(now, "")
	for range 5 {
		now = now.Add(AnswerTTL - time.Millisecond)
		table.Hold(k, now)
	}
	if s := table.View(now)[0].State; s != Live {
		t.Errorf("state %s while held", s)
	}
	now = now.Add(AnswerTTL)
	table.Hold(k, now)
	if s := table.View(now)[0].State; s != Silent {
		t.Errorf("state %s, want silent: it was held too late", s)
	}
}
