package state

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/protobuf/proto"
)

const platformYAML = "team: platform\nregions:\n  - name: south\n    data_centres: [dc1]\n  - name: north\n    data_centres: [dc2]\n"

// shiftYAML returns the YAML of a section with one shift.
func shiftYAML(team, shift string) string {
	return fmt.Sprintf("team: %s\nshifts:\n  - {name: %s, cap: 5}\n", team, shift)
}

// applyCommand applies cmd as log entry index and returns the decoded result.
func applyCommand(t testing.TB, m *Machine, index uint64, cmd *fescuepb.Command) *fescuepb.CommandResult {
	t.Helper()
	data, err := proto.Marshal(cmd)
	if err != nil {
		t.Fatal(err)
	}
	var res fescuepb.CommandResult
	if err := proto.Unmarshal(m.Apply(index, data), &res); err != nil {
		t.Fatal(err)
	}
	return &res
}

// changeCmd returns the command for a change. An empty yaml deletes the section.
func changeCmd(team string, revision uint64, id, yaml string) *fescuepb.Command {
	return &fescuepb.Command{Body: &fescuepb.Command_Apply{Apply: &fescuepb.ApplyCommand{
		Author: "author-of-" + id,
		Request: &fescuepb.ApplyRequest{
			Team: team, ExpectedRevision: revision, ChangeId: id, Yaml: []byte(yaml), Delete: yaml == "",
		},
	}}}
}

func joinCmd(instance string, incarnation uint64) *fescuepb.Command {
	return &fescuepb.Command{Body: &fescuepb.Command_Join{Join: &fescuepb.JoinRequest{Member: &fescuepb.Member{
		Instance: instance, Incarnation: incarnation, DataCentre: "dc1", Role: fescuepb.Role_ROLE_ENTRY,
	}}}}
}

func leaveCmd(instance string, incarnation uint64, gone bool) *fescuepb.Command {
	return &fescuepb.Command{Body: &fescuepb.Command_Leave{Leave: &fescuepb.LeaveRequest{
		Instance: instance, Incarnation: incarnation, Gone: gone,
	}}}
}

// Guards against a change that is applied twice when it is sent again, a change
// that overwrites a concurrent one, and two changes to different sections that
// together make the document invalid.
func TestChanges(t *testing.T) {
	type step struct {
		cmd      *fescuepb.Command
		revision uint64 // in the reply
		repeated bool
		conflict string // identifier of the change that was accepted before
		problem  string
		kind     errkind.Kind
		advances bool
	}
	first := changeCmd("a", 0, "c1", shiftYAML("a", "s1"))
	for name, steps := range map[string][]step{
		"accepted in order": {
			{cmd: first, revision: 1, advances: true},
			{cmd: changeCmd("a", 1, "c2", shiftYAML("a", "s2")), revision: 2, advances: true},
		},
		"same revision twice: one winner, and the loser sees it": {
			{cmd: first, revision: 1, advances: true},
			{cmd: changeCmd("a", 0, "c2", shiftYAML("a", "s2")), revision: 1, conflict: "c1"},
		},
		"revision from the future": {
			{cmd: changeCmd("a", 4, "c1", shiftYAML("a", "s1")), revision: 0, conflict: ""},
		},
		"resent change returns the first outcome after later changes": {
			{cmd: first, revision: 1, advances: true},
			{cmd: changeCmd("a", 1, "c2", shiftYAML("a", "s2")), revision: 2, advances: true},
			{cmd: first, revision: 1, repeated: true},
		},
		"resent conflict stays a conflict with the first winner": {
			{cmd: first, revision: 1, advances: true},
			{cmd: changeCmd("a", 0, "c2", shiftYAML("a", "s2")), revision: 1, conflict: "c1"},
			{cmd: changeCmd("a", 1, "c3", shiftYAML("a", "s3")), revision: 2, advances: true},
			{cmd: changeCmd("a", 0, "c2", shiftYAML("a", "s2")), revision: 1, conflict: "c1", repeated: true},
		},
		"identifier reused for other content": {
			{cmd: first, revision: 1, advances: true},
			{cmd: changeCmd("a", 1, "c1", shiftYAML("a", "s2")), kind: errkind.KeyReused},
		},
		"same identifier of two teams": {
			{cmd: first, revision: 1, advances: true},
			{cmd: changeCmd("b", 0, "c1", shiftYAML("b", "s2")), revision: 1, advances: true},
		},
		"race between sections: the second would make the document invalid": {
			{cmd: first, revision: 1, advances: true},
			{cmd: changeCmd("b", 0, "c2", shiftYAML("b", "s1")), problem: "already exists"},
			{cmd: changeCmd("a", 1, "c3", shiftYAML("a", "s9")), revision: 2, advances: true},
			{cmd: changeCmd("b", 0, "c2", shiftYAML("b", "s1")), problem: "already exists", repeated: true},
		},
		"data centre in use by another team is removed": {
			{cmd: changeCmd("a", 0, "c1", "team: a\nservices: [{name: x, data_centres: [dc2], slots_per_target: 1, routes: [{path: /}]}]\n"), revision: 1, advances: true},
			{cmd: changeCmd("platform", 1, "c2", strings.Replace(platformYAML, "dc2", "dc3", 1)), revision: 1, problem: "does not exist"},
		},
		"section of another team in the YAML": {
			{cmd: changeCmd("a", 0, "c1", shiftYAML("b", "s1")), problem: "is not the team"},
		},
		"deletion keeps the revision count": {
			{cmd: first, revision: 1, advances: true},
			{cmd: changeCmd("a", 1, "c2", ""), revision: 2, advances: true},
			{cmd: changeCmd("a", 0, "c3", shiftYAML("a", "s1")), revision: 2, conflict: "c2"},
			{cmd: changeCmd("a", 2, "c4", shiftYAML("a", "s1")), revision: 3, advances: true},
		},
		"no change identifier": {
			{cmd: changeCmd("a", 0, "", shiftYAML("a", "s1")), kind: errkind.BadRequest},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			applyCommand(t, m, 1, changeCmd("platform", 0, "p", platformYAML))
			for i, s := range steps {
				index, before := uint64(10+i), m.Version()
				res := applyCommand(t, m, index, s.cmd)
				r := res.GetApply()
				if errkind.Kind(res.ErrorKind) != s.kind || r.GetRevision() != s.revision || r.GetRepeatedChange() != s.repeated {
					t.Fatalf("step %d: got %v", i, res)
				}
				if r.GetConflict().GetChangeId() != s.conflict || (s.conflict != "" && r.Conflict.Author != "author-of-"+s.conflict) {
					t.Fatalf("step %d: conflict %v", i, r.Conflict)
				}
				if (s.problem != "") != (len(r.GetProblems()) > 0) || (s.problem != "" && !strings.Contains(r.Problems[0].Message, s.problem)) {
					t.Fatalf("step %d: problems %v", i, r.GetProblems())
				}
				if want := map[bool]uint64{true: index, false: before}[s.advances]; m.Version() != want {
					t.Fatalf("step %d: version %d, want %d", i, m.Version(), want)
				}
			}
		})
	}
}

// Guards against a departed process that becomes a member again, and against
// joins and leaves of one incarnation that affect another.
func TestMembers(t *testing.T) {
	for name, c := range map[string]struct {
		cmds []*fescuepb.Command
		want string // instance/incarnation of the member, followed by " leaving" if it is leaving
		last errkind.Kind
	}{
		"join":                         {[]*fescuepb.Command{joinCmd("e", 1)}, "e/1", ""},
		"join again":                   {[]*fescuepb.Command{joinCmd("e", 1), joinCmd("e", 1)}, "e/1", ""},
		"gone":                         {[]*fescuepb.Command{joinCmd("e", 1), leaveCmd("e", 1, true)}, "", ""},
		"late join after gone":         {[]*fescuepb.Command{joinCmd("e", 1), leaveCmd("e", 1, true), joinCmd("e", 1)}, "", errkind.Conflict},
		"leave overtakes join":         {[]*fescuepb.Command{leaveCmd("e", 1, true), joinCmd("e", 1)}, "", errkind.Conflict},
		"replaced":                     {[]*fescuepb.Command{joinCmd("e", 1), joinCmd("e", 2)}, "e/2", ""},
		"late join of a replaced run":  {[]*fescuepb.Command{joinCmd("e", 1), joinCmd("e", 2), joinCmd("e", 1)}, "e/2", errkind.Conflict},
		"late leave of a replaced run": {[]*fescuepb.Command{joinCmd("e", 1), joinCmd("e", 2), leaveCmd("e", 1, true)}, "e/2", ""},
		"leaving stays after a join":   {[]*fescuepb.Command{joinCmd("e", 1), leaveCmd("e", 1, false), joinCmd("e", 1)}, "e/1 leaving", ""},
		"leaving of an unknown run":    {[]*fescuepb.Command{joinCmd("e", 1), leaveCmd("e", 2, false)}, "e/1", errkind.NotFound},
		"no incarnation":               {[]*fescuepb.Command{joinCmd("e", 0)}, "", errkind.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			var last *fescuepb.CommandResult
			for i, cmd := range c.cmds {
				last = applyCommand(t, m, uint64(i+1), cmd)
			}
			got := ""
			for _, member := range m.Members() {
				got += incarnationKey(member.Instance, member.Incarnation)
				if member.Leaving {
					got += " leaving"
				}
			}
			if got != c.want || errkind.Kind(last.ErrorKind) != c.last {
				t.Fatalf("members %q, result %v", got, last)
			}
		})
	}
}

func claimCmd(epoch uint64, home string, incarnation uint64) *fescuepb.Command {
	return &fescuepb.Command{Body: &fescuepb.Command_Claim{Claim: &fescuepb.GroupClaim{
		Group: &fescuepb.GroupId{Service: "rota", DataCentre: "dc1"}, Epoch: epoch, Home: home, HomeIncarnation: incarnation,
	}}}
}

// Guards against two dispatchers whose claims of the same group are both
// accepted, and against a repeated claim whose reply names another previous
// claim than the first reply.
func TestClaims(t *testing.T) {
	m := New()
	for i, c := range []struct {
		cmd      *fescuepb.Command
		accepted bool
		previous string
		kind     errkind.Kind
	}{
		{claimCmd(1, "a", 1), true, "", ""},
		{claimCmd(1, "a", 1), true, "", ""},
		{claimCmd(1, "b", 1), false, "a", ""},
		{claimCmd(3, "b", 1), true, "a", ""},
		{claimCmd(3, "b", 1), true, "a", ""},
		{claimCmd(3, "b", 2), false, "b", ""},
		{claimCmd(2, "a", 1), false, "b", ""},
		{leaveCmd("a", 1, true), false, "", ""},
		{claimCmd(4, "a", 1), false, "", errkind.Conflict},
		{claimCmd(0, "b", 1), false, "", errkind.BadRequest},
	} {
		res := applyCommand(t, m, uint64(i+1), c.cmd)
		if res.GetClaim().GetAccepted() != c.accepted || res.GetClaim().GetPrevious().GetHome() != c.previous || errkind.Kind(res.ErrorKind) != c.kind {
			t.Errorf("step %d: %v", i, res)
		}
	}
	if m.Version() != 0 {
		t.Errorf("claims changed the version to %d", m.Version())
	}
}

// Guards against state that grows without bound with the number of changes and
// restarts.
func TestBounds(t *testing.T) {
	m := New()
	for i := range maxOutcomes + 10 {
		m.recordOutcome(&fescuepb.ChangeOutcome{Team: "a", ChangeId: fmt.Sprint(i)})
		m.recordDeparture("e", uint64(i))
	}
	if len(m.outcomes) != maxOutcomes || len(m.outcomeOrder) != maxOutcomes || m.outcomes[outcomeKey{"a", "9"}] != nil || m.outcomes[outcomeKey{"a", "10"}] == nil {
		t.Fatalf("%d outcomes", len(m.outcomes))
	}
	if len(m.departed) != maxDeparted || len(m.departedOrder) != maxDeparted || m.departed["e/9"] || !m.departed["e/10"] {
		t.Fatalf("%d departed", len(m.departed))
	}
	for i := range uint64(maxHistory + 5) {
		applyCommand(t, m, i+1, changeCmd("a", i, fmt.Sprintf("h%d", i), shiftYAML("a", "s")))
	}
	if got := m.History("a", 0); len(got) != maxHistory || got[0].Revision != maxHistory+5 {
		t.Fatalf("%d revisions, newest %d", len(got), got[0].Revision)
	}
}

// Guards against a restored machine that lacks earlier caps, including those of
// deleted sections, and against an observer that is not told that a version was
// restored.
func TestEarlierCapsAfterRestore(t *testing.T) {
	m := New()
	applyCommand(t, m, 1, changeCmd("platform", 0, "p", platformYAML))
	applyCommand(t, m, 2, changeCmd("a", 0, "1", shiftYAML("a", "old")))
	applyCommand(t, m, 3, changeCmd("a", 1, "2", shiftYAML("a", "new")))
	applyCommand(t, m, 4, changeCmd("a", 2, "3", ""))
	applyCommand(t, m, 5, changeCmd("a", 3, "4", shiftYAML("a", "present")))
	image, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	back, restored := New(), false
	back.Observe(func(_ *fescuepb.Update, r bool) { restored = r })
	if err := back.Restore(image); err != nil {
		t.Fatal(err)
	}
	want := []EarlierCap{{"old", 5, 3}, {"new", 5, 4}}
	if got := back.EarlierCaps(); fmt.Sprint(got) != fmt.Sprint(want) || !restored {
		t.Fatalf("restored %t with %v, want %v", restored, got, want)
	}
	if applyCommand(t, back, 6, joinCmd("e", 1)); restored {
		t.Fatal("the version after the restored one was reported as restored")
	}
}

// Guards against replicas that disagree about a log with targets that no list should
// name, and against one that cannot restore them.
func TestOddTargetsInTheLog(t *testing.T) {
	log := []*fescuepb.TargetsChange{
		{Set: []*fescuepb.Target{
			{Id: "a", Slots: math.MaxUint32, ColdMs: math.MaxUint64, BornUnixMs: math.MinInt64, Address: "10.0.0.1:808080"},
			{Id: "b", Address: "\x00", Service: strings.Repeat("s", 1<<20)},
		}},
		{Set: []*fescuepb.Target{{Id: "c"}, {Id: strings.Repeat("d", MaxNameBytes+1)}}},
		{Set: []*fescuepb.Target{{Id: "a", Slots: math.MaxUint32 - 1}, {Id: "a", ColdMs: 1}}, Removed: []string{"b", "b", "none"}},
	}
	var images []string
	for range 2 {
		m := New()
		for i, c := range log {
			res := applyCommand(t, m, uint64(i)+1, &fescuepb.Command{Body: &fescuepb.Command_Targets{Targets: proto.Clone(c).(*fescuepb.TargetsChange)}})
			if refused := i == 1; refused != (res.GetError() != "") {
				t.Errorf("command %d: %v", i, res)
			}
		}
		image, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := New()
		if err := restored.Restore(image); err != nil {
			t.Fatal(err)
		}
		again, err := restored.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		images = append(images, string(image), string(again))
		if targets := restored.Targets(); len(targets) != 1 || targets[0].ColdMs != 1 {
			t.Errorf("targets %v", targets)
		}
	}
	if slices.ContainsFunc(images, func(s string) bool { return s != images[0] }) {
		t.Error("replicas that applied or restored the same log differ")
	}
}
