package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// schedulers holds the constructors of both schedulers.
var schedulers = map[string]func() scheduler{
	"pool":  func() scheduler { return NewPool(epoch, Settings{}) },
	"group": func() scheduler { return NewGroup(epoch, Settings{Slots: 2}) },
}

// processInfo returns an active target with two slots.
func processInfo(id, addr string, incarnation int64) TargetInfo {
	return TargetInfo{ID: id, Addr: addr, Incarnation: incarnation, Slots: 2, DataCentre: "a", ReportedLoad: -1}
}

// submitTo submits a request and returns the ID of its target, "" if it did not start.
func submitTo(s scheduler, now time.Time, w Work) (*Request, string, error) {
	w.Route, w.Deadline = "r", now.Add(time.Second)
	r := &Request{ready: make(chan struct{})}
	err := s.Submit(now, r, w)
	if r.state != running {
		return r, "", err
	}
	return r, r.info.ID, err
}

// Guards against a request for a target after the dispatcher has learned that the
// target leaves: with the list still naming it, after it was listed again, and while
// requests are queued. Another process of the target, or another target at its
// address, gets requests.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	for name, newScheduler := range schedulers {
		s := newScheduler()
		first, other := processInfo("t1", "h:1", 7), processInfo("t2", "h:2", 8)
		s.SetTargets(epoch, []TargetInfo{first})
		r, _, _ := submitTo(s, epoch, Work{})
		kept, _, _ := submitTo(s, epoch, Work{})
		waiting, _, err := submitTo(s, epoch, Work{})
		if err != nil || waiting.state != queued {
			t.Fatalf("%s: request in state %v, error %v; want it queued", name, waiting.state, err)
		}
		s.SetTargets(epoch, []TargetInfo{first, other})
		s.Cancel(epoch, waiting)
		s.Done(epoch, r, Outcome{Result: OK, Latency: time.Millisecond, Leaving: true})
		if kept.state != running {
			t.Errorf("%s: the request under way ended", name)
		}
		expect := func(when, want string) {
			t.Helper()
			r, id, err := submitTo(s, epoch, Work{})
			if id != want {
				t.Errorf("%s, %s: request sent to %q (%v), want %q", name, when, id, err, want)
			}
			if id != "" {
				s.Done(epoch, r, Outcome{Result: OK, Latency: time.Millisecond})
			}
		}
		expect("announced", "t2")
		s.SetTargets(epoch, []TargetInfo{other})
		s.Done(epoch, kept, Outcome{Result: OK, Latency: time.Millisecond})
		s.SetTargets(epoch, []TargetInfo{first, other})
		expect("listed again", "t2")
		s.SetTargets(epoch, []TargetInfo{first})
		expect("no other target", "")
		s.SetTargets(epoch, []TargetInfo{processInfo("t1", "h:1", 9)})
		expect("restarted", "t1")
		s.SetTargets(epoch, []TargetInfo{processInfo("t3", "h:1", 7)})
		expect("address taken over", "t3")
	}
}

// Guards against queued requests that stay queued for targets that all leave, and
// against an announcement of an earlier process that takes out its successor.
func TestQueuedRequestsOfLeavingTarget(t *testing.T) {
	for name, newScheduler := range schedulers {
		s := newScheduler()
		s.SetTargets(epoch, []TargetInfo{processInfo("t1", "h:1", 7)})
		r, _, _ := submitTo(s, epoch, Work{})
		late, _, _ := submitTo(s, epoch, Work{})
		waiting, _, _ := submitTo(s, epoch, Work{})
		s.Done(epoch, r, Outcome{Result: OK, Latency: time.Millisecond, Leaving: true})
		if waiting.state != refused || errkind.Of(waiting.refusal) != errkind.NoTarget {
			t.Errorf("%s: queued request in state %v with %v, want it refused", name, waiting.state, waiting.refusal)
		}
		s.SetTargets(epoch, []TargetInfo{processInfo("t1", "h:1", 8)})
		s.Done(epoch, late, Outcome{Result: OK, Latency: time.Millisecond, Leaving: true})
		if _, id, err := submitTo(s, epoch, Work{}); id != "t1" {
			t.Errorf("%s: the successor got no request: %v", name, err)
		}
	}
}

// Guards against a request for a target that wants none from the entry that asks,
// against a request that waits for the end of the pause, and against a Retry-After
// that names another time. Requests of other entries go on.
func TestPausingTargetGetsNoRequests(t *testing.T) {
	for name, newScheduler := range schedulers {
		s := newScheduler()
		a, b := processInfo("t1", "h:1", 7), processInfo("t2", "h:2", 8)
		s.SetTargets(epoch, []TargetInfo{a, b})
		paused := Work{Pauses: []Pause{{a.Process(), 20 * time.Second}, {a.Process(), 3 * time.Second}, {b.Process(), 8 * time.Second}}}
		_, _, err := submitTo(s, epoch, paused)
		after, _ := RetryAfter(err)
		if errkind.Of(err) != errkind.NoTarget || after != 8*time.Second {
			t.Errorf("%s: %v, retry after %v; want no target before 8 s", name, err, after)
		}
		_, _, err = submitTo(s, epoch, Work{Pauses: paused.Pauses, Exclude: []string{"t2", "t1"}})
		if after, _ := RetryAfter(err); after != 8*time.Second {
			t.Errorf("%s: a request that has tried both is told to come back after %v, want 8 s", name, after)
		}
		for range 2 {
			if _, id, err := submitTo(s, epoch, Work{Pauses: paused.Pauses[:2]}); id != "t2" {
				t.Errorf("%s: request sent to %q (%v), want t2", name, id, err)
			}
		}
		waiting, id, _ := submitTo(s, epoch, Work{Pauses: paused.Pauses[:2]})
		if waiting.state != queued {
			t.Errorf("%s: request in state %v at %q, want it to wait for t2", name, waiting.state, id)
		}
		other, _, err := submitTo(s, epoch, Work{Exclude: []string{"t2"}})
		s.Tick(epoch)
		if other.state != running || other.info.ID != "t1" {
			t.Errorf("%s: request of another entry in state %v (%v), want it running at t1", name, other.state, err)
		}
		s.SetTargets(epoch, []TargetInfo{a})
		s.Tick(epoch)
		if waiting.state != refused {
			t.Errorf("%s: request in state %v, want it refused as only a pausing target is left", name, waiting.state)
		}
		s.SetTargets(epoch, []TargetInfo{processInfo("t1", "h:1", 9)})
		if _, id, err := submitTo(s, epoch, paused); id != "t1" {
			t.Errorf("%s: the next process got no request: %v", name, err)
		}
	}
}

// Guards against a target that counts as failed because it asked for a pause, or
// because a slot of it was given back unused.
func TestPauseIsNoFailure(t *testing.T) {
	for name, newScheduler := range schedulers {
		s := newScheduler()
		s.SetTargets(epoch, []TargetInfo{processInfo("t1", "h:1", 7)})
		for i := range 20 {
			r, id, err := submitTo(s, epoch, Work{})
			if id != "t1" {
				t.Fatalf("%s: request %d: %v", name, i, err)
			}
			s.Done(epoch, r, Outcome{Result: []Result{Pausing, NotUsed}[i%2], Latency: time.Millisecond})
		}
		if l := s.Load(epoch); l.FailedPercent != 0 || l.FreeSlots != 2 {
			t.Errorf("%s: %+v", name, l)
		}
	}
}

// announcementModel drives a scheduler with random steps and checks what it grants.
type announcementModel struct {
	s           scheduler
	now         time.Time
	incarnation [3]int64
	left        map[Process]bool
	live        []*Request
	started     map[*Request]bool
}

func (m *announcementModel) target(i int) TargetInfo {
	return processInfo(fmt.Sprint("t", i), "h:1", m.incarnation[i]+1)
}

// check is called after each step, so a request that has just started was granted
// in that step.
func (m *announcementModel) check(t *rapid.T) {
	m.s.Decided()
	for _, r := range m.live {
		p := r.info.Process()
		if r.state != running || m.started[r] {
			continue
		}
		m.started[r] = true
		if m.left[p] {
			t.Fatalf("request sent to %v, which leaves", p)
		}
		for _, pause := range r.work.Pauses {
			if early := r.arrived + pause.Left - r.started; pause.Target == p && early > 0 {
				t.Fatalf("request sent to %v %v before the end of its pause", p, early)
			}
		}
	}
}

func (m *announcementModel) setTargets(t *rapid.T) {
	var infos []TargetInfo
	for i := range m.incarnation {
		if rapid.IntRange(0, 3).Draw(t, "listed") > 0 {
			infos = append(infos, m.target(i))
		}
	}
	m.s.SetTargets(m.now, infos)
}

func (m *announcementModel) restart(t *rapid.T) {
	m.incarnation[rapid.IntRange(0, len(m.incarnation)-1).Draw(t, "target")]++
	m.setTargets(t)
}

func (m *announcementModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
	m.s.Tick(m.now)
}

func (m *announcementModel) submit(t *rapid.T) {
	w := Work{}
	for i := range m.incarnation {
		if rapid.Bool().Draw(t, "pauses") {
			left := time.Duration(rapid.IntRange(0, 900).Draw(t, "left")) * time.Millisecond
			w.Pauses = append(w.Pauses, Pause{m.target(i).Process(), left})
		}
	}
	r, _, _ := submitTo(m.s, m.now, w)
	m.live = append(m.live, r)
}

func (m *announcementModel) done(t *rapid.T) {
	if len(m.live) == 0 {
		t.Skip("no request")
	}
	r := m.live[rapid.IntRange(0, len(m.live)-1).Draw(t, "request")]
	if r.state != running {
		t.Skip("the request is not running")
	}
	o := Outcome{Result: OK, Latency: time.Millisecond, Leaving: rapid.IntRange(0, 3).Draw(t, "leaves") == 0}
	if o.Leaving {
		m.left[r.info.Process()] = true
	}
	m.s.Done(m.now, r, o)
}

// Guards against a grant of a target that has announced that it leaves, or that
// pauses for the entry that asked, in any order of events.
func TestAnnouncementsAreKept(t *testing.T) {
	for name, newScheduler := range schedulers {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := &announcementModel{s: newScheduler(), now: epoch, left: map[Process]bool{}, started: map[*Request]bool{}}
				m.setTargets(t)
				t.Repeat(map[string]func(*rapid.T){
					"list": m.setTargets, "restart": m.restart, "wait": m.wait, "submit": m.submit, "done": m.done, "": m.check,
				})
			})
		})
	}
}
