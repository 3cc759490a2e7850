package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// step is the longest time that passes at once in the model. Reports and versions
// arrive within it.
const step = time.Minute

// model is a system of entries with their tables, the replicated state and the control
// leader that keeps the suspects.
type model struct {
	t       testing.TB
	now     time.Time
	index   uint64
	state   *state.Machine
	entries []*quarantine.Table
	reports []*fescuepb.SuspectsChange // on their way to the state
	changed map[string]time.Time       // when a suspect was first seen as it is, by fingerprint and version
	crashes int
}

func newModel(t testing.TB, entries int) *model {
	m := &model{t: t, now: time.Unix(1e9, 0), state: state.New(), changed: map[string]time.Time{}}
	for i := range entries {
		m.entries = append(m.entries, quarantine.NewTable(fmt.Sprint("e", i)))
	}
	return m
}

// commit applies a change to the replicated state.
func (m *model) commit(c *fescuepb.SuspectsChange) {
	m.index++
	data, err := proto.Marshal(&fescuepb.Command{Body: &fescuepb.Command_Suspects{Suspects: c}})
	if err != nil {
		m.t.Fatal(err)
	}
	m.state.Apply(m.index, data)
}

// exchange delivers the reports and gives the entries the newest version.
func (m *model) exchange() {
	for _, c := range m.reports {
		m.commit(c)
	}
	m.reports = nil
	for _, e := range m.entries {
		e.Apply(m.now, m.state.Suspects())
	}
}

// pass lets time pass, with the work of the control leader.
func (m *model) pass(d time.Duration) {
	m.now = m.now.Add(d)
	c := &fescuepb.SuspectsChange{}
	for _, s := range m.state.Suspects() {
		key := fmt.Sprint(s.Id, "/", s.ChangedVersion)
		if m.changed[key].IsZero() {
			m.changed[key] = m.now
		}
		switch quarantine.Next(s, m.now.Sub(m.changed[key])) {
		case quarantine.Due:
			c.TrialsDue = append(c.TrialsDue, s.Id)
		case quarantine.Forget:
			c.Cleared = append(c.Cleared, s.Id)
		}
	}
	m.commit(c)
}

// request lets a request arrive at an entry and reports whether it is sent. A sent
// one crashes its target or is answered.
func (m *model) request(entry int, f quarantine.Fingerprint, crashes bool) (sent bool) {
	e, c := m.entries[entry], &fescuepb.SuspectsChange{Instance: fmt.Sprint("e", entry)}
	m.reports = append(m.reports, c)
	if e.Check(m.now, f).Refused && e.Claim(m.now, f) {
		m.commit(&fescuepb.SuspectsChange{Instance: c.Instance, Claims: []string{f.String()}})
		e.Apply(m.now, m.state.Suspects()) // the request waits for this version
	}
	if e.Send(m.now, f).Refused {
		return false
	}
	switch {
	case crashes:
		m.crashes++
		target := fmt.Sprint("t", m.crashes, "/1")
		e.Crashed(m.now, f, target)
		c.Crashes = []*fescuepb.TargetCrash{{Target: target, Suspects: []string{f.String()}}}
	case e.Answered(f):
		c.Cleared = []string{f.String()}
	}
	return true
}

// Guards against a request that crashes targets and is sent more often than MaxTrials
// times after all entries know that it crashed three, however long it keeps coming.
func TestDeadlyRequestIsSentAtMostOnTrial(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(t, 3)
		const deadly = quarantine.Fingerprint(7)
		for i := range quarantine.CrashesToQuarantine {
			m.request(i, deadly, true)
		}
		m.exchange()
		sent := 0
		for start := m.now; m.now.Sub(start) < 6*quarantine.Period; {
			for _, entry := range rapid.SliceOfN(rapid.IntRange(0, 2), 0, 4).Draw(rt, "entries") {
				if m.request(entry, deadly, true) {
					sent++
				}
			}
			m.exchange()
			m.pass(rapid.SampledFrom([]time.Duration{time.Second, step / 2, step, step, step}).Draw(rt, "time"))
			m.exchange()
		}
		if sent > quarantine.MaxTrials {
			rt.Fatalf("sent %d times after it was quarantined, at most %d are allowed", sent, quarantine.MaxTrials)
		}
	})
}

// Guards against a request that did not crash the targets beside whose crash it was,
// and that is refused for longer than Period and the time of a trial.
func TestInnocentRequestIsServedAfterPeriod(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(t, 3)
		const innocent = quarantine.Fingerprint(9)
		for i := range quarantine.CrashesToQuarantine {
			m.request(i, innocent, true)
		}
		m.exchange()
		start, served := m.now, false
		for !served && m.now.Sub(start) <= quarantine.Period+5*step {
			for range rapid.IntRange(1, 3).Draw(rt, "requests") {
				served = m.request(rapid.IntRange(0, 2).Draw(rt, "entry"), innocent, false) || served
			}
			m.exchange()
			m.pass(time.Duration(rapid.IntRange(int(step)/2, int(step)).Draw(rt, "time")))
			m.exchange()
		}
		for i := range m.entries {
			served = m.request(i, innocent, false) && served
		}
		if !served || len(m.state.Suspects()) != 0 {
			rt.Fatalf("still refused %v after the quarantine began", m.now.Sub(start))
		}
	})
}

// Guards against an entry without contact to control that never sends a quarantined
// request again, or sends one that crashes targets more often than MaxTrials times.
func TestEntryWithoutControl(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		for _, replicated := range []bool{true, false} {
			m := newModel(t, 1)
			for range quarantine.CrashesToQuarantine {
				m.request(0, 5, true)
			}
			if replicated {
				m.exchange()
			}
			sent := 0
			for range 200 {
				m.now = m.now.Add(step)
				if m.request(0, 5, crashes) {
					sent++
				}
			}
			if crashes && sent != quarantine.MaxTrials || !crashes && sent < 100 {
				t.Errorf("sent %d of 200 times (crashes targets %v, replicated %v)", sent, crashes, replicated)
			}
		}
	}
}

// Guards against a trial that is lost when nothing of its request was sent.
func TestTrialIsReturned(t *testing.T) {
	table := quarantine.NewTable("e0")
	s := &fescuepb.Suspect{Id: quarantine.Fingerprint(1).String(), Crashes: []string{"a", "b", "c"}, Trials: 1, Trial: "e0", ChangedVersion: 3}
	now := time.Unix(1e9, 0)
	table.Apply(now, []*fescuepb.Suspect{s})
	for range 2 {
		if v := table.Send(now, 1); !v.Trial {
			t.Fatalf("got %+v, want a trial", v)
		}
		if v := table.Send(now, 1); !v.Refused {
			t.Fatalf("got %+v, want one trial only", v)
		}
		table.ReturnTrial(1)
	}
}

// Guards against suspects that fill the memory when many targets crash together, and
// that displace quarantined requests.
func TestSuspectsAreBounded(t *testing.T) {
	m := newModel(t, 1)
	for range quarantine.CrashesToQuarantine {
		m.request(0, 1, true)
	}
	m.exchange()
	for f := range quarantine.Fingerprint(8 * quarantine.MaxSuspects) {
		m.request(0, f+2, true)
		if f%100 == 0 {
			m.exchange()
		}
	}
	if n := m.entries[0].Len(); n > 2*quarantine.MaxSuspects {
		t.Errorf("the entry holds %d suspects", n)
	}
	m.exchange()
	if n := len(m.state.Suspects()); n != quarantine.MaxSuspects {
		t.Errorf("the state holds %d suspects, want %d", n, quarantine.MaxSuspects)
	}
	if !m.entries[0].Check(m.now, 1).Refused {
		t.Error("the quarantined request was displaced")
	}
	cutOff := quarantine.NewTable("e0")
	for f := range quarantine.Fingerprint(8 * quarantine.MaxSuspects) {
		cutOff.Crashed(m.now, f, "t/1")
	}
	if n := cutOff.Len(); n != 2*quarantine.MaxSuspects {
		t.Errorf("an entry without control holds %d suspects", n)
	}
}

// Guards against evidence of two entries about the crash of one process that counts as
// two crashes, and against a restarted target that counts as the same.
func TestDistinctProcesses(t *testing.T) {
	m := newModel(t, 2)
	report := func(entry int, target string) {
		m.entries[entry].Crashed(m.now, 4, target)
		m.reports = append(m.reports, &fescuepb.SuspectsChange{Crashes: []*fescuepb.TargetCrash{{Target: target, Suspects: []string{quarantine.Fingerprint(4).String()}}}})
		m.exchange()
	}
	report(0, "t/1")
	report(1, "t/1")
	report(0, "u/1")
	if v := m.entries[0].Check(m.now, 4); v.Refused || v.Crashes != 2 {
		t.Errorf("got %+v after two crashes", v)
	}
	report(1, "t/2")
	if v := m.entries[0].Check(m.now, 4); !v.Refused || v.Crashes != 3 {
		t.Errorf("got %+v after three crashes", v)
	}
}

// crashBeside records that requests were in flight together when a target crashed.
func (m *model) crashBeside(fs ...quarantine.Fingerprint) {
	m.crashes++
	crash := &fescuepb.TargetCrash{Target: fmt.Sprint("t", m.crashes, "/1")}
	for i, f := range fs {
		m.entries[i%len(m.entries)].Crashed(m.now, f, crash.Target)
		crash.Suspects = append(crash.Suspects, f.String())
	}
	m.reports = append(m.reports, &fescuepb.SuspectsChange{Crashes: []*fescuepb.TargetCrash{crash}})
	m.exchange()
}

// Guards against a request that is quarantined because it was beside another one at
// three crashes, while that one was at more, and against one that crashes targets and
// is not quarantined because another one explains its first crashes.
func TestCrashesExplainedByAnother(t *testing.T) {
	const deadly, innocent, other = quarantine.Fingerprint(1), quarantine.Fingerprint(2), quarantine.Fingerprint(3)
	m := newModel(t, 3)
	refused := func(f quarantine.Fingerprint) (n int) {
		for _, e := range m.entries {
			if e.Check(m.now, f).Refused {
				n++
			}
		}
		return n
	}
	for range quarantine.CrashesToQuarantine {
		m.crashBeside(deadly, innocent, other)
	}
	if refused(deadly) != 3 || refused(innocent) != 3 || refused(other) != 3 {
		t.Error("of requests with the same crashes, some are not refused by all entries")
	}
	m.crashBeside(deadly) // a copy that was in flight
	if refused(deadly) != 3 || refused(innocent) != 0 || refused(other) != 0 {
		t.Errorf("refused by %d entries; by %d and %d although their crashes are explained", refused(deadly), refused(innocent), refused(other))
	}
	m.entries[0].Crashed(m.now, other, "t9/1")
	if refused(other) != 1 {
		t.Errorf("refused by %d entries before the evidence of one of them is replicated", refused(other))
	}
	m.crashBeside(other)
	if refused(deadly) != 3 || refused(innocent) != 0 || refused(other) != 3 {
		t.Errorf("refused by %d, %d and %d entries after a crash that nothing explains", refused(deadly), refused(innocent), refused(other))
	}
	const apart = quarantine.Fingerprint(4)
	for range quarantine.CrashesToQuarantine {
		m.crashBeside(apart)
	}
	if refused(apart) != 3 {
		t.Errorf("refused by %d entries, although no other request was in flight at the crashes", refused(apart))
	}
	m.pass(0)
	m.pass(quarantine.Period)
	m.exchange()
	for _, s := range m.state.Suspects() {
		if s.Id == innocent.String() {
			t.Error("a suspect whose crashes are explained is not forgotten")
		}
	}
	m.request(0, deadly, false) // on trial
	m.exchange()
	if refused(deadly) != 0 || refused(other) != 3 {
		t.Errorf("refused by %d and %d entries after the trial was answered", refused(deadly), refused(other))
	}
}

// Guards against different requests with the same fingerprint and against a fingerprint
// that depends on more than the request.
func TestFingerprint(t *testing.T) {
	base := quarantine.Request{Method: "GET", Destination: "h", Path: "/a?b", Caller: "c", Object: "o", Body: []byte("x")}
	same := base
	if base.Fingerprint() != same.Fingerprint() {
		t.Error("the same request has two fingerprints")
	}
	seen := map[quarantine.Fingerprint]bool{base.Fingerprint(): true}
	for _, change := range []func(*quarantine.Request){
		func(r *quarantine.Request) { r.Method = "PUT" }, func(r *quarantine.Request) { r.Destination = "g" },
		func(r *quarantine.Request) { r.Path = "/a" }, func(r *quarantine.Request) { r.Caller = "d" },
		func(r *quarantine.Request) { r.Object = "p" }, func(r *quarantine.Request) { r.Body = []byte("y") },
		func(r *quarantine.Request) { r.Method, r.Destination = "GETh", "" },
	} {
		r := base
		change(&r)
		if seen[r.Fingerprint()] {
			t.Errorf("%+v has the fingerprint of another request", r)
		}
		seen[r.Fingerprint()] = true
	}
	if f, ok := quarantine.ParseFingerprint(base.Fingerprint().String()); !ok || f != base.Fingerprint() {
		t.Errorf("%s is parsed as %s", base.Fingerprint(), f)
	}
	if n := testing.AllocsPerRun(10, func() { base.Fingerprint() }); n != 0 {
		t.Errorf("a fingerprint allocates %v times", n)
	}
}
