package feed

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/sirupsen/logrus"
)

const (
	// ackTimeout is how long a session may be without an acknowledgement before it
	// counts as lost. Followers send one every AckInterval, so three in a row are
	// missing by then.
	ackTimeout = 3*AckInterval + AckInterval/2
	// reconnectGrace is how long a follower whose watch has ended may take to open
	// another one, at this or another instance, before its session counts as lost.
	reconnectGrace = time.Second
	// sessionCheckInterval is how often the sessions are compared with the replicated
	// state.
	sessionCheckInterval = 250 * time.Millisecond
	// reportTimeout limits one report of a session.
	reportTimeout = 2 * time.Second
)

// AckInterval is how often a follower acknowledges while nothing changes.
const AckInterval = 500 * time.Millisecond

// Sessions tracks the watches that this instance serves, and reports to the
// replicated state which sessions were opened here and which were lost. It sends
// reports only when a session is opened or lost, not periodically. Sessions is
// safe for concurrent use.
type Sessions struct {
	// Via is the name of this instance.
	Via string
	// Members returns the members in the latest state that this instance has.
	Members func() []*fescuepb.Member
	// Report records a change in the replicated state. It is called again until
	// Members shows the change.
	Report func(ctx context.Context, c *fescuepb.SessionChange) error
	Now    func() time.Time
	// Counter returns the quorum-confirmed counter that this instance pushes.
	Counter func() uint64
	Log     *logrus.Entry

	mu        sync.Mutex
	startedAt time.Time
	sessions  map[string]*session // by instance

	counter           uint64
	counterAdvancedAt time.Time // when the counter last advanced
	// counterResumedAt is when the counter advanced again after a stall. Followers
	// leave a source whose counter stalls, so missing acknowledgements from before
	// that time do not mean that a follower is lost, and the followers need time to
	// reconnect.
	counterResumedAt time.Time
}

// session is the latest watch of a follower at this instance.
type session struct {
	incarnation, number uint64
	lastRequestAt       time.Time
	closedAt            time.Time // zero while the watch is open
	reporting           bool      // a report of it is in progress
}

// recordRequest updates the session of the follower that sent the request. Requests
// without a session number are ignored: the follower does not use that watch yet.
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

// watchClosed records the end of a watch whose first request was first.
func (s *Sessions) watchClosed(first *fescuepb.WatchRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.sessions[first.Instance]; h != nil && h.incarnation == first.Incarnation && h.closedAt.IsZero() {
		h.closedAt = s.Now()
	}
}

// Run reports changes of the sessions until ctx ends.
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

// unreportedChanges returns the changes that the replicated state does not show yet.
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

// counterStallTimeout is the time without an advance of the counter after which
// followers begin to leave the source.
const counterStallTimeout = 2 * PushInterval

// updateCounter records when the counter advances, and when it does so after a
// stall.
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

// isOrphaned reports whether the replicated state shows a session of m at this
// instance that only an earlier process of the instance can have served. It allows
// ackTimeout after the start of this process for the follower to return.
func (s *Sessions) isOrphaned(m *fescuepb.Member, now time.Time) bool {
	return m.Via == s.Via && m.Session > 0 && !m.Silent && s.sessions[m.Instance] == nil && now.Sub(s.startedAt) > ackTimeout
}

// unreportedChange returns the change of a session that the replicated state does
// not show yet, or nil if there is none or it is being reported.
func (s *Sessions) unreportedChange(h *session, m *fescuepb.Member, now time.Time) *fescuepb.SessionChange {
	if m == nil || m.Incarnation != h.incarnation || m.Session > h.number {
		return nil // not a member yet, or a newer process or session exists
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

// isLost reports whether the follower of a session has sent no acknowledgement for
// ackTimeout, or has not opened another watch within reconnectGrace. Time during
// which the counter stalls does not count.
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

// report reports a change once. If that fails, a later check reports it again.
func (s *Sessions) report(ctx context.Context, c *fescuepb.SessionChange) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := s.Report(ctx, c)
	log := s.Log.WithFields(logrus.Fields{
		"member": c.Instance, "incarnation": c.Incarnation, "session": c.Session, "lost": c.Lost,
	})
	if err != nil {
		log.WithError(err).Warn("session not recorded; retrying")
	} else {
		log.Info("session recorded")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.sessions[c.Instance]; h != nil && h.incarnation == c.Incarnation && h.number == c.Session {
		h.reporting = false
	}
}

// Serves reports whether this instance serves a session of the process, and the
// session is not lost.
func (s *Sessions) Serves(instance string, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.sessions[instance]
	return h != nil && h.incarnation == incarnation && !s.isLost(h, s.Now())
}
