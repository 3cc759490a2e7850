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

// Leadership is the state of the control replica that the server depends on.
type Leadership interface {
	// IsLeader reports whether the replica is the leader and a quorum has confirmed
	// this less than LeaderOverlap ago.
	IsLeader() bool
	// Term returns the replica's term, which increases with each new leader.
	Term() uint64
	// Snapshot returns the newest committed version, or nil.
	Snapshot() *snapshot.Snapshot
}

// Server implements the gRPC service fescuepb.Budget at a control instance. It is
// safe for concurrent use.
type Server struct {
	fescuepb.UnimplementedBudgetServer
	// OnRequest is called for each request with the instance of the holder and its
	// version in force, also at a replica that is not the leader. It may be nil. It
	// must be set before the server is registered.
	OnRequest func(instance string, version uint64)

	mu         sync.Mutex
	granter    *Granter
	leadership Leadership
	leading    bool
	term       uint64
	now        func() time.Time
}

// NewServer returns a server for the control replica.
func NewServer(role Leadership) *Server {
	return &Server{granter: NewGranter(), leadership: role, now: steady.Now}
}

// Observe applies a committed version. Callers pass every version in order, also
// at followers: a new leader knows only from the versions that it observed which
// units unreachable holders may use.
func (s *Server) Observe(snap *snapshot.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granter.Observe(snap)
}

// RestoreEarlierCaps passes the caps of the revisions before the last observed
// version, if that version came with a state snapshot. Callers call it after
// Observe.
func (s *Server) RestoreEarlierCaps(earlier []state.EarlierCap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granter.RestoreEarlierCaps(earlier)
}

// SyncRole adopts the role and the newest version of the replica. Callers call it
// when either has changed.
func (s *Server) SyncRole() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncRole()
}

// InstanceRemoved records that the process of an instance has ended and its
// removal is committed. Callers call it at every replica, after they passed the
// version without the instance to Observe.
func (s *Server) InstanceRemoved(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granter.InstanceRemoved(instance, s.now())
}

// PendingCaps returns the lowered caps that are not in force yet or not
// acknowledged by every holder yet.
func (s *Server) PendingCaps() []*fescuepb.PendingCap {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncRole()
	return s.granter.PendingCaps(s.now())
}

// Lease handles one request of a holder. The error kinds are those of
// Granter.Lease, and NotLeader if this replica is not the leader.
func (s *Server) Lease(_ context.Context, req *fescuepb.LeaseRequest) (*fescuepb.LeaseReply, error) {
	if s.OnRequest != nil {
		s.OnRequest(req.Instance, req.VersionInForce)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.syncRole() {
		return nil, errkind.Status(errkind.New(errkind.NotLeader, "this control instance is not the leader"))
	}
	reply, err := s.granter.Lease(req, s.now())
	if err != nil {
		return nil, errkind.Status(err)
	}
	// The process may have been suspended since the first check, and another
	// instance may have become the leader.
	if !s.syncRole() {
		return nil, errkind.Status(errkind.New(errkind.NotLeader, "this control instance is no longer the leader"))
	}
	return reply, nil
}

// syncRole adopts the role and the newest version of the replica, and reports
// whether it is the leader.
func (s *Server) syncRole() bool {
	leads, term := s.leadership.IsLeader(), s.leadership.Term()
	s.granter.Observe(s.leadership.Snapshot())
	switch {
	case !leads && s.leading:
		s.granter.StepDown()
	case leads && (!s.leading || term != s.term):
		s.granter.BecomeLeader(term, s.now())
	}
	s.leading, s.term = leads, term
	return leads
}
