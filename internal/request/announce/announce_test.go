package announce

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1_000_000, 0)
	first = dispatch.Process{ID: "t1", Addr: "h:1", Incarnation: 7}
)

// Guards against a shorter pause that replaces a longer one, and against a pause that
// outlives its end or its process.
func TestOverlappingPauses(t *testing.T) {
	var s State
	after := func(d time.Duration) time.Time { return start.Add(d) }
	s.Pause(start, "rota", first, 5*time.Second)
	if added := s.Pause(after(time.Second), "rota", first, 2*time.Second); added != 0 {
		t.Errorf("a shorter pause added %v", added)
	}
	if added := s.Pause(after(time.Second), "rota", first, 6*time.Second); added != 2*time.Second {
		t.Errorf("a longer pause added %v, want 2s", added)
	}
	for at, want := range map[time.Duration]time.Duration{time.Second: 6 * time.Second, 6 * time.Second: time.Second, 7 * time.Second: 0, time.Hour: 0} {
		if left := s.PauseLeft(after(at), first); left != want {
			t.Errorf("after %v, %v left, want %v", at, left, want)
		}
	}
	next := first
	next.Incarnation++
	other := dispatch.Process{ID: "t2", Addr: first.Addr, Incarnation: first.Incarnation}
	for _, p := range []dispatch.Process{next, other} {
		if left := s.PauseLeft(after(time.Second), p); left != 0 {
			t.Errorf("%v pauses for %v, want 0", p, left)
		}
	}
	if got := s.Pauses(after(time.Second), "rota"); len(got) != 1 || got[0] != (dispatch.Pause{Target: first, Left: 6 * time.Second}) {
		t.Errorf("pauses %v", got)
	}
	if got := s.Pauses(after(time.Second), "swap"); got != nil {
		t.Errorf("pauses of another service: %v", got)
	}
}

// Guards against memory that grows with the number of targets that ever paused or
// left, and against the loss of a pause that lasts longer than others.
func TestStateIsBounded(t *testing.T) {
	var s State
	s.Pause(start, "rota", first, time.Hour)
	for i := range 3 * maxPauses {
		p := dispatch.Process{ID: fmt.Sprint("x", i), Addr: "h:2", Incarnation: 1}
		s.Pause(start, "rota", p, time.Minute)
		s.Leave(p)
	}
	if len(s.pauses) > maxPauses || s.PauseLeft(start, first) != time.Hour {
		t.Errorf("%d pauses, %v left of the longest", len(s.pauses), s.PauseLeft(start, first))
	}
}

// Guards against a request within a pause beyond the two that the users' rule allows,
// for any pauses, restarts and requests: an entry that asks before each request sends
// none from the answer on, and it sends again at the end of the longest pause.
func TestNoRequestWithinPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		now, end := start, map[dispatch.Process]time.Time{}
		draw := func() dispatch.Process {
			i := rapid.IntRange(0, 5).Draw(t, "process")
			return dispatch.Process{ID: fmt.Sprint("t", i%2), Addr: "h:1", Incarnation: int64(1 + i/2)}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"answer": func(t *rapid.T) {
				p, length := draw(), time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond
				s.Pause(now, "rota", p, length)
				if until := now.Add(length); until.After(end[p]) {
					end[p] = until
				}
			},
			"request": func(t *rapid.T) {
				p := draw()
				if sends, pauses := s.PauseLeft(now, p) == 0, now.Before(end[p]); sends == pauses {
					t.Fatalf("request sent: %t, %v before the end of the pause", sends, end[p].Sub(now))
				}
			},
		})
	})
}

// Guards against an announcement without a log line that explains it, against a line
// for each answer that repeats it, and against bad values that are not counted.
func TestAnnouncementsAreLoggedAndCounted(t *testing.T) {
	logger, lines := test.NewNullLogger()
	metrics := tally.NewTestScope("", nil)
	now := start
	r := New(func() time.Time { return now }, logrus.NewEntry(logger), metrics)
	for range 3 {
		r.Observe("rota", first, "id-1", dialect.Answer{Leaving: true})
		r.Observe("rota", first, "id-2", dialect.Answer{Pause: dialect.Pause{For: 2 * time.Second}})
		now = now.Add(time.Millisecond)
	}
	if n := r.Of(first); !n.Leaving || n.PauseLeft != 2*time.Second-time.Millisecond {
		t.Errorf("%+v", n)
	}
	for _, fault := range []dialect.PauseFault{dialect.PauseDate, dialect.PauseNegative, dialect.PauseNotANumber, dialect.PauseNotANumber} {
		r.Observe("rota", first, "id-3", dialect.Answer{Pause: dialect.Pause{Fault: fault}})
	}
	all := lines.AllEntries()
	if len(all) != 2 || all[0].Data["request_id"] != "id-1" || all[1].Data["request_id"] != "id-2" || all[1].Data["pause_ms"] != int64(2000) {
		t.Errorf("log lines %v", all)
	}
	counts := map[string]int64{}
	for _, c := range metrics.Snapshot().Counters() {
		counts[c.Name()+c.Tags()["fault"]] += c.Value()
	}
	want := map[string]int64{
		"announcements.leaving": 1, "announcements.pauses": 1, "announcements.pause_faultsdate": 1,
		"announcements.pause_faultsnegative": 1, "announcements.pause_faultsnot_a_number": 2,
	}
	for name, n := range want {
		if counts[name] != n {
			t.Errorf("%s is %d, want %d", name, counts[name], n)
		}
	}
}

// Guards against a registry that forgets what another entry has told, and against a
// missing registry that ends the process.
func TestLearn(t *testing.T) {
	r := New(func() time.Time { return start }, logging.Discard(), tally.NoopScope)
	r.Learn("rota", []dispatch.Process{first})
	var none *Registry
	none.Learn("rota", []dispatch.Process{first})
	if !r.Of(first).Leaving || none.Of(first).Withdrawn() || none.Pauses("rota") != nil {
		t.Error("the announcement was lost, or is known to a missing registry")
	}
}
