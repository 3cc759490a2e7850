package feed

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
)

// sessionsWorld is the sessions of one source with a clock and a counter of the
// test.
type sessionsFixture struct {
	*testing.T
	s       *Sessions
	now     time.Time
	counter uint64
}

func newSessionsFixture(t *testing.T) *sessionsFixture {
	w := &sessionsFixture{T: t, now: time.Unix(1000, 0), counter: 1}
	member := &fescuepb.Member{Instance: "e1", Incarnation: 7, Session: 1, Via: "c1"}
	w.s = &Sessions{
		Via: "c1", Members: func() []*fescuepb.Member { return []*fescuepb.Member{member} },
		Now: func() time.Time { return w.now }, Counter: func() uint64 { return w.counter }, Log: logging.Discard(),
	}
	w.s.startedAt = w.now
	w.s.recordRequest(&fescuepb.WatchRequest{Instance: "e1", Incarnation: 7, Session: 1})
	return w
}

// pass lets time pass in ticks, with the counter advancing or standing, and
// returns after how long the session was reported as lost, 0 if it was not.
func (w *sessionsFixture) advance(d time.Duration, advancing bool) time.Duration {
	w.Helper()
	lost := time.Duration(0)
	for passed := sessionCheckInterval; passed <= d; passed += sessionCheckInterval {
		w.now = w.now.Add(sessionCheckInterval)
		if advancing {
			w.counter++
		}
		for _, c := range w.s.unreportedChanges() {
			if c.Lost && lost == 0 {
				lost = passed
			}
		}
	}
	return lost
}

func (w *sessionsFixture) closeWatch() {
	w.s.watchClosed(&fescuepb.WatchRequest{Instance: "e1", Incarnation: 7})
}

// Guards against a follower that is gone and stays in look-ups.
func TestLostSessions(t *testing.T) {
	w := newSessionsFixture(t)
	if got := w.advance(3*time.Second, true); got == 0 || got > ackTimeout+2*sessionCheckInterval {
		t.Errorf("silent follower lost after %v", got)
	}
	w = newSessionsFixture(t)
	w.closeWatch()
	if got := w.advance(3*time.Second, true); got == 0 || got > reconnectGrace+2*sessionCheckInterval {
		t.Errorf("closed watch lost after %v", got)
	}
}

// Guards against all followers being reported as lost at once when the quorum is
// back: they left since no source confirmed anything.
func TestSessionsAfterCounterStall(t *testing.T) {
	w := newSessionsFixture(t)
	w.advance(500*time.Millisecond, true)
	w.advance(time.Second, false)
	w.closeWatch()
	if got := w.advance(5*time.Second, false); got != 0 {
		t.Errorf("lost %v after the counter stopped", got)
	}
	if got := w.advance(reconnectGrace, true); got != 0 {
		t.Errorf("lost %v after the counter went on", got)
	}
	if got := w.advance(2*time.Second, true); got == 0 {
		t.Error("a follower that does not come back is not reported")
	}
}
