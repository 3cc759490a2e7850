package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testProcess is the simulated process at an address.
type testProcess struct {
	alive   bool
	number  int
	leaving bool
}

func (p testProcess) incarnation(named bool) string {
	if !named {
		return ""
	}
	return fmt.Sprint(p.number)
}

var testKeys = []Key{{"t1", "10.0.0.1:80"}, {"t2", "10.0.0.2:80"}}

// Guards against a lagging list that restores an instance that has left or
// removes one that answers, and against an instance that gets requests after a
// probe found it leaving.
func TestListLagsBehindProbes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := New()
		processes := map[Key]*testProcess{}
		probedLeaving := map[Key]int{}    // number of the process that a probe last found leaving
		lastAnswer := map[Key]time.Time{} // send time of the last answered probe
		listedLeaving := map[Key]bool{}
		var lists [][]ListedInstance
		named := rapid.Bool().Draw(t, "processes name their incarnation")
		for _, k := range testKeys {
			processes[k] = &testProcess{alive: true, number: 1}
		}
		publish := func() {
			var l []ListedInstance
			for _, k := range testKeys {
				if p := processes[k]; p.alive {
					status := StatusLive
					if p.leaving {
						status = StatusLeaving
					}
					l = append(l, ListedInstance{ID: k.ID, Address: k.Address, Role: RoleTarget, Status: status})
				}
			}
			lists = append(lists, l)
		}
		publish()
		table.ApplyList(lists[0])
		probe := func(k Key) {
			p := processes[k]
			res := Probe{Key: k, Sent: now, Outcome: Refused}
			if p.alive {
				res.Outcome, res.Incarnation, res.Leaving = Answered, p.incarnation(named), p.leaving
				lastAnswer[k] = now
				if p.leaving {
					probedLeaving[k] = p.number
				}
			} else {
				delete(lastAnswer, k)
			}
			table.ApplyProbe(res)
		}
		key := func(t *rapid.T) Key { return rapid.SampledFrom(testKeys).Draw(t, "key") }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"probe": func(t *rapid.T) { probe(key(t)) },
			"lost":  func(t *rapid.T) { table.ApplyProbe(Probe{Key: key(t), Sent: now, Outcome: NoAnswer}) },
			"late": func(t *rapid.T) {
				table.ApplyProbe(Probe{Key: key(t), Sent: now.Add(-time.Hour), Outcome: Answered, Incarnation: "old"})
			},
			"leave": func(t *rapid.T) { processes[key(t)].leaving = true; publish() },
			"exit":  func(t *rapid.T) { processes[key(t)].alive = false; publish() },
			"start": func(t *rapid.T) {
				k := key(t)
				if processes[k].alive {
					t.Skip("runs already")
				}
				probe(k) // a probe finds that no process runs
				processes[k] = &testProcess{alive: true, number: processes[k].number + 1}
				publish()
			},
			"list": func(t *rapid.T) {
				l := lists[rapid.IntRange(0, len(lists)-1).Draw(t, "list")]
				for _, e := range l {
					if e.Status == StatusLeaving {
						listedLeaving[Key{e.ID, e.Address}] = true
					}
				}
				table.ApplyList(l)
			},
			"": func(t *rapid.T) {
				for _, i := range table.View(now) {
					k := Key{i.ID, i.Address}
					p, at := processes[k], lastAnswer[k]
					answers := !at.IsZero() && now.Sub(at) < AnswerTTL
					if i.State == Live && (!answers || probedLeaving[k] == p.number) {
						t.Fatalf("%v is live: answered within AnswerTTL %t, found leaving by a probe %t", k, answers, probedLeaving[k] == p.number)
					}
					if answers && i.State != Live && probedLeaving[k] != p.number && !listedLeaving[k] {
						t.Fatalf("%v answers and never reported that it is leaving, but is %s", k, i.State)
					}
				}
			},
		})
	})
}

func stateOf(t *testing.T, table *Table, now time.Time, id string) State {
	t.Helper()
	for _, i := range table.View(now) {
		if i.ID == id {
			return i.State
		}
	}
	return Gone
}

// Guards against a leaving instance that becomes live again because of an older
// list or another answer of the same process, and against a new process at the
// address that inherits the state of the earlier one.
func TestLeavingIsSticky(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	entry := ListedInstance{ID: "t1", Address: "a:1", Role: RoleTarget, Status: StatusLive}
	leaving := entry
	leaving.Status = StatusLeaving
	answer := func(inc string) func() {
		return func() { table.ApplyProbe(Probe{Key: Key{"t1", "a:1"}, Sent: now, Outcome: Answered, Incarnation: inc}) }
	}
	list := func(l ...ListedInstance) func() { return func() { table.ApplyList(l) } }
	for i, step := range []struct {
		do   func()
		want State
	}{
		{list(entry), Silent},
		{answer("1"), Live},
		{list(), Live}, // unlisted, but it answers
		{list(leaving), Leaving},
		{list(entry), Leaving}, // an older list
		{answer("1"), Leaving},
		{func() { table.ApplyProbe(Probe{Key: Key{"t1", "a:1"}, Sent: now, Outcome: Refused}) }, Gone},
		{list(entry), Gone},
		{list(leaving), Gone},
		{answer("2"), Live},   // a new process
		{list(leaving), Live}, // still refers to the first process
		{func() {
			table.ApplyProbe(Probe{Key: Key{"t1", "a:1"}, Sent: now, Outcome: Answered, Incarnation: "1", Leaving: true})
		}, Live}, // a late answer of the first process
		{list(entry), Live},
		{list(leaving), Leaving}, // refers to the second process
		{func() {
			table.ApplyProbe(Probe{Key: Key{"t1", "a:1"}, Sent: now, Outcome: Answered, Incarnation: "3", Leaving: true})
		}, Leaving},
		{answer("3"), Leaving},
	} {
		now = now.Add(100 * time.Millisecond)
		step.do()
		if got := stateOf(t, table, now, "t1"); got != step.want {
			t.Fatalf("step %d: %s, want %s", i, got, step.want)
		}
	}
}

// Guards against an instance that stays live after its last answer is older than
// AnswerTTL.
func TestAnswersExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	table.ApplyList([]ListedInstance{{ID: "t1", Address: "a:1", Status: StatusLive}})
	table.ApplyProbe(Probe{Key: Key{"t1", "a:1"}, Sent: now, Outcome: Answered})
	if got := stateOf(t, table, now.Add(2900*time.Millisecond), "t1"); got != Live {
		t.Errorf("%s after 2.9 s, want live", got)
	}
	if got := stateOf(t, table, now.Add(3*time.Second), "t1"); got != Silent {
		t.Errorf("%s after 3 s, want silent", got)
	}
}

// Guards against a record that is deleted as soon as a list no longer names the
// instance, which would make the table ignore its next answer, and against a
// record that is never deleted.
func TestDepartedInstanceExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	table.ApplyList([]ListedInstance{{ID: "t1", Address: "a:1", Status: StatusLive}})
	table.ApplyList(nil)
	table.View(now)
	table.ApplyProbe(Probe{Key: Key{"t1", "a:1"}, Sent: now, Outcome: Answered})
	if got := stateOf(t, table, now, "t1"); got != Live {
		t.Errorf("%s after its answer, want live", got)
	}
	table.View(now.Add(AnswerTTL))
	if left := table.View(now.Add(AnswerTTL + departedRetention + 1)); len(left) != 0 {
		t.Errorf("records after the retention time: %v", left)
	}
}

// Guards against two instances at one address that are both in use, so that the
// slots of one process are counted twice.
func TestAddressReused(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	old := ListedInstance{ID: "t1", Address: "a:1", Status: StatusLive}
	next := ListedInstance{ID: "t2", Address: "a:1", Status: StatusLive}
	table.ApplyList([]ListedInstance{old})
	table.ApplyProbe(Probe{Key: Key{"t1", "a:1"}, Sent: now, Outcome: Answered})
	table.ApplyList([]ListedInstance{next})
	table.ApplyProbe(Probe{Key: Key{"t2", "a:1"}, Sent: now, Outcome: Answered})
	table.ApplyList([]ListedInstance{old}) // an older list
	if a, b := stateOf(t, table, now, "t1"), stateOf(t, table, now, "t2"); a != Gone || b != Live {
		t.Errorf("t1 is %s and t2 %s, want gone and live", a, b)
	}
}

// Guards against two addresses of one identifier that are in use at the same
// time, and against a lagging list that withdraws the address that answers.
func TestIdentifierMovesToAnotherAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	at := func(addr string) ListedInstance { return ListedInstance{ID: "t1", Address: addr, Status: StatusLive} }
	answer := func(addr string) func() {
		return func() { table.ApplyProbe(Probe{Key: Key{"t1", addr}, Sent: now, Outcome: Answered}) }
	}
	list := func(l ...ListedInstance) func() { return func() { table.ApplyList(l) } }
	for i, step := range []struct {
		do   func()
		want string // address that is not gone
	}{
		{list(at("a:1")), "a:1"},
		{answer("a:1"), "a:1"},
		{list(at("b:1")), "a:1"}, // still answers
		{answer("b:1"), "b:1"},
		{list(at("a:1")), "b:1"}, // an older list
		{answer("a:1"), "b:1"},
		{func() { table.ApplyProbe(Probe{Key: Key{"t1", "b:1"}, Sent: now, Outcome: Refused}) }, "a:1"},
	} {
		now = now.Add(100 * time.Millisecond)
		step.do()
		var got []string
		for _, in := range table.View(now) {
			if in.State != Gone {
				got = append(got, in.Address)
			}
		}
		if len(got) != 1 || got[0] != step.want {
			t.Fatalf("step %d: %v, want only %s", i, got, step.want)
		}
	}
}

// Guards against a target that gets requests while it reports that it cannot
// serve them, and against one that is taken out of use by a transient fault.
func TestFailingAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	table.ApplyList([]ListedInstance{{ID: "t1", Address: "a:1", Status: StatusLive}})
	probe := func(o ProbeOutcome, want State) {
		t.Helper()
		now = now.Add(100 * time.Millisecond)
		table.ApplyProbe(Probe{Key: Key{"t1", "a:1"}, Sent: now, Outcome: o})
		if got := stateOf(t, table, now, "t1"); got != want {
			t.Fatalf("%s, want %s", got, want)
		}
	}
	for range failuresUntilSilent {
		probe(Answered, Live)
		probe(Failing, Live)
	}
	probe(Failing, Live)
	probe(Failing, Silent)
	probe(Answered, Live)
}

// Guards against a process that gets no requests because the list stated that
// its predecessor was leaving, when neither has answered this table before.
func TestLeavingBeforeFirstAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	table.ApplyList([]ListedInstance{{ID: "t1", Address: "a:1", Status: StatusLeaving}})
	table.ApplyProbe(Probe{Key: Key{"t1", "a:1"}, Sent: now, Outcome: Refused})
	table.ApplyProbe(Probe{Key: Key{"t1", "a:1"}, Sent: now, Outcome: Answered})
	if got := stateOf(t, table, now, "t1"); got != Live {
		t.Errorf("%s, want live", got)
	}
}
