package budget

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
)

// Leadership is what the server needs to know of its control replica.
type Leadership interface {
	// IsLeader reports whether the replica leads and a quorum has confirmed it
	// within less than LeaderOverlap.
	IsLeader() bool
	// Term returns the replica's term; it is higher for each new leader.
	Term() uint64
	// Snapshot returns the newest committed version, or nil.
	Snapshot() *snapshot.Snapshot
}

// Server answers fescuepb.Budget at a control instance. It is safe for
// concurrent use.
type Server struct {
	fescuepb.UnimplementedBudgetServer
	// Heard is called for each request, also by a replica that does not lead;
	// it may be nil. Set it before the server is registered.
	Heard func(instance string, version uint64)

	mu      sync.Mutex
	granter *Granter
	role    Leadership
	leads   bool
	term    uint64
	now     func() time.Time
}

// NewServer returns a server for the replica.
func NewServer(role Leadership) *Server {
	return &Server{granter: NewGranter(), role: role, now: steady.Now}
}

// Observe takes a committed version. Call it for each one, in order, at
// followers too: a new leader knows what silent holders may use only from
// the versions that it has observed.
func (s *Server) Observe(snap *snapshot.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granter.Observe(snap)
}

// Restored tells that the version observed last came with a state snapshot,
// and which caps revisions before it had. Call it after Observe.
func (s *Server) Restored(earlier []state.EarlierCap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granter.Restored(earlier)
}

// Sync takes over the replica's role. Call it when the role or the committed
// version has changed.
func (s *Server) Sync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow()
}

// Gone tells that an instance's process has ended and its removal is
// committed. Call it at every replica, after Observe of that version.
func (s *Server) Gone(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granter.Gone(instance, s.now())
}

// PendingCaps returns the lowered caps that are not acknowledged everywhere.
func (s *Server) PendingCaps() []*fescuepb.PendingCap {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow()
	return s.granter.PendingCaps(s.now())
}

// Lease answers one request of a holder.
func (s *Server) Lease(_ context.Context, req *fescuepb.LeaseRequest) (*fescuepb.LeaseReply, error) {
	if s.Heard != nil {
		s.Heard(req.Instance, req.VersionInForce)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.follow() {
		return nil, errkind.Status(errkind.New(errkind.NotLeader, "this control instance does not lead"))
	}
	reply, err := s.granter.Lease(req, s.now())
	if err != nil {
		return nil, errkind.Status(err)
	}
	// The process may have been frozen since the first check.
	if !s.follow() {
		return nil, errkind.Status(errkind.New(errkind.NotLeader, "this control instance no longer leads"))
	}
	return reply, nil
}

// follow takes over the replica's role and version, and reports whether it
// leads.
func (s *Server) follow() bool {
	leads, term := s.role.IsLeader(), s.role.Term()
	s.granter.Observe(s.role.Snapshot())
	switch {
	case !leads && s.leads:
		s.granter.Follow()
	case leads && (!s.leads || term != s.term):
		s.granter.Reset(term, s.now())
	}
	s.leads, s.term = leads, term
	return leads
}
