package state

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// drawCommand draws a command from a small range of names, so that it often
// conflicts with earlier commands.
func drawCommand(t *rapid.T, m *Machine) *fescuepb.Command {
	instance := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "instance"))
	incarnation := uint64(rapid.IntRange(1, 4).Draw(t, "incarnation"))
	switch rapid.IntRange(0, 6).Draw(t, "command") {
	case 6:
		return drawSuspects(t, instance)
	case 5:
		return claimCmd(incarnation, instance, 1)
	case 0:
		return joinCmd(instance, incarnation)
	case 1:
		return leaveCmd(instance, incarnation, rapid.Bool().Draw(t, "gone"))
	case 2:
		return &fescuepb.Command{Body: &fescuepb.Command_BlockTable{BlockTable: &fescuepb.BlockTable{Blocks: incarnation}}}
	}
	team := rapid.SampledFrom([]string{"a", "b", "platform"}).Draw(t, "team")
	revision := m.view.Sections[team].GetRevision()
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 && revision > 0 {
		revision--
	}
	id := fmt.Sprintf("c%d", rapid.IntRange(0, 40).Draw(t, "id"))
	yaml := shiftYAML(team, fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(t, "shift")))
	if team == "platform" {
		yaml = platformYAML
	}
	if rapid.IntRange(0, 5).Draw(t, "delete") == 0 {
		yaml = ""
	}
	return changeCmd(team, revision, id, yaml)
}

// drawSuspects draws a change of the suspects that adds a crash, removes a suspect,
// allows trials or claims them.
func drawSuspects(t *rapid.T, instance string) *fescuepb.Command {
	var ids []string
	for range rapid.IntRange(1, 3).Draw(t, "suspects") {
		ids = append(ids, quarantine.Fingerprint(rapid.IntRange(0, 2).Draw(t, "suspect")).String())
	}
	c := &fescuepb.SuspectsChange{Instance: instance}
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		c.Cleared = ids
	case 1:
		c.TrialsDue = ids
	case 2:
		c.Claims = ids
	default:
		target := fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target"))
		c.Crashes = []*fescuepb.TargetCrash{{Target: target, Suspects: ids}}
	}
	return &fescuepb.Command{Body: &fescuepb.Command_Suspects{Suspects: c}}
}

// Guards against replicas that diverge when they apply the same commands, in
// particular after one of them was restored from a snapshot or has checked a command
// before, and parses sections on from others than the other replica.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		for index := uint64(1); index < 25; index++ {
			cmd := drawCommand(t, a)
			if rapid.Bool().Draw(t, "routes") {
				cmd = drawRoutesChange(t, a)
			}
			if r := cmd.GetApply().GetRequest(); r != nil && rapid.Bool().Draw(t, "check") {
				_, _ = a.Check(r)
			}
			data, _ := proto.Marshal(cmd)
			if !bytes.Equal(a.Apply(index, data), b.Apply(index, data)) {
				t.Fatalf("results differ at index %d", index)
			}
			image, err := a.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				b = New()
				if err := b.Restore(image); err != nil {
					t.Fatal(err)
				}
			}
			if other, _ := b.Snapshot(); !bytes.Equal(image, other) {
				t.Fatalf("states differ at index %d", index)
			}
		}
	})
}

// Guards against a follower whose version decreases, or whose content differs
// from the full state at its version, when it gets updates from the control
// replica and from a relay that are lost, repeated, reordered or old.
func TestDeltasMatchFullState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		full := map[uint64]*fescuepb.Update{}
		relay, follower := view.New(), view.New()
		var inFlight []*fescuepb.Update
		for index := uint64(1); index < 40; index++ {
			data, _ := proto.Marshal(drawCommand(t, m))
			m.Apply(index, data)
			full[m.Version()] = m.Since(0)
			switch rapid.IntRange(0, 5).Draw(t, "relay") {
			case 0, 1, 2:
				relay.Apply(m.Since(relay.Version))
			case 3:
				relay.Apply(m.Since(0))
			}
			base := uint64(rapid.IntRange(0, int(m.Version())).Draw(t, "base"))
			if rapid.Bool().Draw(t, "source") {
				inFlight = append(inFlight, m.Since(base))
			} else {
				inFlight = append(inFlight, relay.Since(base))
			}
			for range rapid.IntRange(0, 3).Draw(t, "deliveries") {
				u := rapid.SampledFrom(inFlight).Draw(t, "update")
				before := follower.Version
				outcome := follower.Apply(u)
				if outcome == view.Gap && u.Base <= before {
					t.Fatalf("update with base %d rejected at version %d", u.Base, before)
				}
				if follower.Version < before || (outcome == view.Advanced) != (follower.Version > before) {
					t.Fatalf("version %d after version %d, which does not match the outcome", follower.Version, before)
				}
				requireSameContent(t, follower, full)
			}
		}
	})
}

// requireSameContent fails the test unless v equals the full update at its
// version.
func requireSameContent(t *rapid.T, v *view.View, full map[uint64]*fescuepb.Update) {
	if v.Version == 0 {
		return
	}
	want := full[v.Version]
	got := &fescuepb.Update{Version: v.Version, Sections: v.LiveSections(), Members: v.MemberList(), Suspects: v.SuspectList(), BlockTable: v.Blocks}
	if want == nil || !proto.Equal(got, want) {
		t.Fatalf("version %d has the content\n%v\nwant\n%v", v.Version, got, want)
	}
}

// Guards against a delta that omits a removal because its record was deleted. A
// follower that is older than the deleted record must get a full update.
func TestTrimmedRemovalsForceFullUpdates(t *testing.T) {
	v, follower := view.New(), view.New()
	for i := range uint64(6000) {
		v.SetMember(&fescuepb.Member{Instance: fmt.Sprint(i), ChangedVersion: i + 1})
	}
	follower.Apply(v.Since(0))
	for i := range uint64(5000) {
		v.RemoveMember(fmt.Sprint(i), 10_000+i)
	}
	if len(v.RemovedMembers) > 4096 {
		t.Fatalf("%d removals recorded", len(v.RemovedMembers))
	}
	follower.Apply(v.Since(follower.Version))
	if len(follower.Members) != 1000 {
		t.Fatalf("%d members after the update", len(follower.Members))
	}
}
