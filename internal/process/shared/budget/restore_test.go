package budget

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
)

// Guards against a cap that is exceeded by a holder that became unreachable when
// the cap was higher or fewer entries shared it, if the leader has restored its
// state from a snapshot and so has not observed the earlier versions.
func TestRestoredLeaderChargesEarlierShares(t *testing.T) {
	joined := func(s *snapshot.Snapshot, versions map[string]uint64) *snapshot.Snapshot {
		for _, m := range s.Members() {
			m.JoinedVersion = versions[m.Instance]
		}
		return s
	}
	both := map[string]uint64{"e1": 1, "e2": 2}
	for name, c := range map[string]struct {
		before, after *snapshot.Snapshot
		earlier       []state.EarlierCap
	}{
		"cap was lowered": {
			joined(buildSnapshot(3, map[string]int{"a": 40}, both), both),
			joined(buildSnapshot(4, map[string]int{"a": 12}, both), both),
			[]state.EarlierCap{{Shift: "a", Cap: 40, Until: 4}},
		},
		"entry was added": {
			joined(buildSnapshot(2, map[string]int{"a": 12}, map[string]uint64{"e1": 1}), both),
			joined(buildSnapshot(4, map[string]int{"a": 12}, map[string]uint64{"e1": 1, "e2": 4}), map[string]uint64{"e1": 1, "e2": 4}),
			nil,
		},
	} {
		now := time.Unix(1000, 0)
		old, restored := NewGranter(), NewGranter()
		old.Observe(c.before)
		old.BecomeLeader(1, now)
		now = now.Add(time.Minute)
		silent := NewHolder("e1", 1)
		silent.ApplySnapshot(c.before)
		talk := func(g *Granter, h *Holder) {
			for range 20 { // longer than the longest deadline
				now = now.Add(100 * time.Millisecond)
				reply, err := g.Lease(h.NextRequest(now), now)
				if err != nil {
					t.Fatal(name, err)
				}
				h.ApplyReply(reply)
			}
		}
		talk(old, silent)
		restored.Observe(c.after)
		restored.RestoreEarlierCaps(c.earlier)
		restored.BecomeLeader(2, now)
		now = now.Add(time.Minute)
		other := NewHolder("e2", c.after.Member("e2").Incarnation)
		other.ApplySnapshot(c.after)
		for range 20 {
			other.Acquire("a", now) // most are refused, so that the holder requests the whole cap
		}
		talk(restored, other)
		limit := restored.CapInForce("a", now)
		if sum := silent.Limit("a", now) + other.Limit("a", now); sum > limit || silent.Limit("a", now) == 0 {
			t.Errorf("%s: %d+%d units may be in use, cap in force %d", name, silent.Limit("a", now), other.Limit("a", now), limit)
		}
		if got := len(restored.PendingCaps(now)); got != len(c.earlier) {
			t.Errorf("%s: %d pending caps", name, got)
		}
	}
}
