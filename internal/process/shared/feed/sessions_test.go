package feed

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
)

// sessionsWorld is the sessions of one source with a clock and a counter of the
// test.
type sessionsWorld struct {
	*testing.T
	s       *Sessions
	now     time.Time
	counter uint64
}

func newSessionsWorld(t *testing.T) *sessionsWorld {
	w := &sessionsWorld{T: t, now: time.Unix(1000, 0), counter: 1}
	member := &fescuepb.Member{Instance: "e1", Incarnation: 7, Session: 1, Via: "c1"}
	w.s = &Sessions{
		Via: "c1", Members: func() []*fescuepb.Member { return []*fescuepb.Member{member} },
		Now: func() time.Time { return w.now }, Counter: func() uint64 { return w.counter }, Log: logging.Discard(),
	}
	w.s.started = w.now
	w.s.heard(&fescuepb.WatchRequest{Instance: "e1", Incarnation: 7, Session: 1})
	return w
}

// pass lets time pass in ticks, with the counter advancing or standing, and
// returns after how long the session was reported as lost, 0 if it was not.
func (w *sessionsWorld) pass(d time.Duration, advancing bool) time.Duration {
	w.Helper()
	lost := time.Duration(0)
	for passed := sessionTick; passed <= d; passed += sessionTick {
		w.now = w.now.Add(sessionTick)
		if advancing {
			w.counter++
		}
		for _, c := range w.s.due() {
			if c.Lost && lost == 0 {
				lost = passed
			}
		}
	}
	return lost
}

func (w *sessionsWorld) close() {
	w.s.closed(&fescuepb.WatchRequest{Instance: "e1", Incarnation: 7})
}

// Guards against a follower that is gone and stays in look-ups.
func TestLostSessions(t *testing.T) {
	w := newSessionsWorld(t)
	if got := w.pass(3*time.Second, true); got == 0 || got > lostAfter+2*sessionTick {
		t.Errorf("silent follower lost after %v", got)
	}
	w = newSessionsWorld(t)
	w.close()
	if got := w.pass(3*time.Second, true); got == 0 || got > closedGrace+2*sessionTick {
		t.Errorf("closed watch lost after %v", got)
	}
}

// Guards against all followers being reported as lost at once when the quorum is
// back: they left since no source confirmed anything.
func TestSessionsAfterAPauseOfTheCounter(t *testing.T) {
	w := newSessionsWorld(t)
	w.pass(500*time.Millisecond, true)
	w.pass(time.Second, false)
	w.close()
	if got := w.pass(5*time.Second, false); got != 0 {
		t.Errorf("lost %v after the counter stopped", got)
	}
	if got := w.pass(closedGrace, true); got != 0 {
		t.Errorf("lost %v after the counter went on", got)
	}
	if got := w.pass(2*time.Second, true); got == 0 {
		t.Error("a follower that does not come back is not reported")
	}
}
