package feed

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
)

// sessionsFixture has the sessions of one source, which serves follower e1, with a
// simulated clock and counter.
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

// advance moves the clock forward by d in steps of sessionCheckInterval, in which
// the counter advances or stalls. It returns after which time the session was
// reported as lost, or 0 if it was not.
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

// closeWatch ends the watch of e1.
func (w *sessionsFixture) closeWatch() {
	w.s.watchClosed(&fescuepb.WatchRequest{Instance: "e1", Incarnation: 7})
}

// Guards against a follower that has ended but remains in look-up results, because
// its session is not reported as lost.
func TestLostSessions(t *testing.T) {
	w := newSessionsFixture(t)
	if got := w.advance(3*time.Second, true); got == 0 || got > ackTimeout+2*sessionCheckInterval {
		t.Errorf("follower without acknowledgements reported as lost after %v", got)
	}
	w = newSessionsFixture(t)
	w.closeWatch()
	if got := w.advance(3*time.Second, true); got == 0 || got > reconnectGrace+2*sessionCheckInterval {
		t.Errorf("follower with closed watch reported as lost after %v", got)
	}
}

// Guards against all followers being reported as lost at once when the quorum
// recovers. While there is no quorum, the counter stalls at every source, so the
// followers leave their sources.
func TestSessionsAfterCounterStall(t *testing.T) {
	w := newSessionsFixture(t)
	w.advance(500*time.Millisecond, true)
	w.advance(time.Second, false)
	w.closeWatch()
	if got := w.advance(5*time.Second, false); got != 0 {
		t.Errorf("reported as lost %v after the counter stalled", got)
	}
	if got := w.advance(reconnectGrace, true); got != 0 {
		t.Errorf("reported as lost %v after the counter resumed", got)
	}
	if got := w.advance(2*time.Second, true); got == 0 {
		t.Error("a follower that does not return is not reported as lost")
	}
}
