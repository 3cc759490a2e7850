package feed

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/sirupsen/logrus"
)

const (
	// lostAfter is how long a session may go without an acknowledgement.
	// Followers send one every AckInterval, so three in a row were lost.
	ackTimeout = 3*AckInterval + AckInterval/2
	// closedGrace lets a follower whose watch ended open another one, here or
	// elsewhere, before its session counts as lost.
	reconnectGrace = time.Second
	// sessionTick is how often the sessions are compared with the state.
	sessionCheckInterval = 250 * time.Millisecond
	// reportTimeout bounds one report of a session.
	reportTimeout = 2 * time.Second
)

// AckInterval is how often a follower acknowledges when nothing changes.
const AckInterval = 500 * time.Millisecond

// Sessions follows the watches that this instance serves and reports to the
// replicated state which sessions it has opened and lost. What is recorded
// there is an event: nothing is sent while nothing changes.
type Sessions struct {
	// Via is the name of this instance.
	Via string
	// Members returns the members as this instance knows them.
	Members func() []*fescuepb.Member
	// Report records a change. It is repeated until Member shows it.
	Report func(ctx context.Context, c *fescuepb.SessionChange) error
	Now    func() time.Time
	// Counter returns the quorum-confirmed counter that this instance pushes.
	Counter func() uint64
	Log     *logrus.Entry

	mu        sync.Mutex
	startedAt time.Time
	sessions  map[string]*session // by instance

	counter           uint64
	counterAdvancedAt time.Time // when the counter advanced last
	// resumedAt is when the counter went on after a pause. Followers leave a
	// source whose counter stands: that they were not heard since says nothing
	// about them, and they need a moment to come back.
	counterResumedAt time.Time
}

// session is the latest watch of a follower at this instance.
type session struct {
	incarnation, number uint64
	lastRequestAt       time.Time
	closedAt            time.Time // zero while the watch is open
	reporting           bool
}

// heard takes a request of a watch. A watch that is not in use yet has no
// session number.
func (s *Sessions) recordRequest(req *fescuepb.WatchRequest) {
	if req.Session == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions == nil {
		s.sessions = map[string]*session{}
	}
	h := s.sessions[req.Instance]
	if h == nil || h.incarnation != req.Incarnation || h.number != req.Session {
		if h != nil && h.incarnation == req.Incarnation && h.number > req.Session {
			return
		}
		h = &session{incarnation: req.Incarnation, number: req.Session}
		s.sessions[req.Instance] = h
	}
	h.lastRequestAt, h.closedAt = s.Now(), time.Time{}
}

// closed notes the end of a watch that began with first.
func (s *Sessions) watchClosed(first *fescuepb.WatchRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.sessions[first.Instance]; h != nil && h.incarnation == first.Incarnation && h.closedAt.IsZero() {
		h.closedAt = s.Now()
	}
}

// Run reports until ctx ends.
func (s *Sessions) Run(ctx context.Context) {
	s.mu.Lock()
	s.startedAt = s.Now()
	s.mu.Unlock()
	ticker := time.NewTicker(sessionCheckInterval)
	defer ticker.Stop()
	for {
		for _, c := range s.unreportedChanges() {
			go s.report(ctx, c)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// due returns the changes that the state does not show yet.
func (s *Sessions) unreportedChanges() []*fescuepb.SessionChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*fescuepb.SessionChange
	now := s.Now()
	s.updateCounter(now)
	members := map[string]*fescuepb.Member{}
	for _, m := range s.Members() {
		members[m.Instance] = m
		if s.isOrphaned(m, now) {
			out = append(out, &fescuepb.SessionChange{
				Instance: m.Instance, Incarnation: m.Incarnation, Session: m.Session, Via: s.Via, Lost: true,
			})
		}
	}
	for instance, h := range s.sessions {
		if c := s.unreportedChange(h, members[instance], now); c != nil {
			out = append(out, c)
		}
	}
	return out
}

// counterPause without an advance of the counter, followers begin to leave.
const counterStallTimeout = 2 * PushInterval

func (s *Sessions) updateCounter(now time.Time) {
	counter := s.Counter()
	if counter == s.counter {
		return
	}
	if now.Sub(s.counterAdvancedAt) > counterStallTimeout {
		s.counterResumedAt = now
	}
	s.counter, s.counterAdvancedAt = counter, now
}

// orphaned reports whether the state names a session here that an earlier
// process of this instance served.
func (s *Sessions) isOrphaned(m *fescuepb.Member, now time.Time) bool {
	return m.Via == s.Via && m.Session > 0 && !m.Silent && s.sessions[m.Instance] == nil && now.Sub(s.startedAt) > ackTimeout
}

// news returns what the state does not show of a session, or nil.
func (s *Sessions) unreportedChange(h *session, m *fescuepb.Member, now time.Time) *fescuepb.SessionChange {
	if m == nil || m.Incarnation != h.incarnation || m.Session > h.number {
		return nil // not a member yet, or it has moved on
	}
	lost := s.isLost(h, now)
	recorded := m.Session == h.number && m.Via == s.Via && m.Silent == lost
	if recorded || h.reporting || lost && m.Session < h.number {
		return nil
	}
	h.reporting = true
	return &fescuepb.SessionChange{
		Instance: m.Instance, Incarnation: h.incarnation, Session: h.number, Via: s.Via, Lost: lost,
	}
}

// lost reports whether a follower is missing. The time during which the counter
// stands does not count.
func (s *Sessions) isLost(h *session, now time.Time) bool {
	if now.Sub(s.counterAdvancedAt) > counterStallTimeout {
		return false
	}
	since, grace := h.lastRequestAt, ackTimeout
	if !h.closedAt.IsZero() {
		since, grace = h.closedAt, reconnectGrace
	}
	if since.Before(s.counterResumedAt) {
		since = s.counterResumedAt
	}
	return now.Sub(since) > grace
}

func (s *Sessions) report(ctx context.Context, c *fescuepb.SessionChange) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := s.Report(ctx, c)
	log := s.Log.WithFields(logrus.Fields{
		"member": c.Instance, "incarnation": c.Incarnation, "session": c.Session, "lost": c.Lost,
	})
	if err != nil {
		log.WithError(err).Warn("session not recorded; it is reported again")
	} else {
		log.Info("session recorded")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.sessions[c.Instance]; h != nil && h.incarnation == c.Incarnation && h.number == c.Session {
		h.reporting = false
	}
}

// Serves reports whether the watch of an instance is open here and was heard
// lately.
func (s *Sessions) Serves(instance string, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.sessions[instance]
	return h != nil && h.incarnation == incarnation && !s.isLost(h, s.Now())
}
