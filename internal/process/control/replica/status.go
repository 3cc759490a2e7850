package replica

import (
	"sync"

	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

// Status describes the state of a replica at one point in time.
type Status struct {
	ID         string
	Addr       string
	LeaderID   string // "" if no leader is known
	LeaderAddr string
	Term       uint64
	Role       string
	TermStart  uint64 // index of the first entry of the latest term in which this replica led
	LastIndex  uint64 // of the log
	Commit     uint64
	Applied    uint64
	Counter    uint64
	Peers      []PeerStatus
}

// PeerStatus describes one peer of the current configuration.
type PeerStatus struct {
	ID    string
	Addr  string
	Voter bool
	Match uint64 // last index known to be saved by the peer; known to the leader only
	// Active reports whether a message of the peer arrived within the shortest
	// election timeout; known to the leader only.
	Active bool
}

// Status returns the current status.
func (r *Replica) Status() Status {
	s := *r.status.Load()
	s.Applied = r.appliedIndex.Load()
	s.Counter = r.counter.Load()
	return s
}

// Counter returns the latest freshness counter that a quorum confirmed, as far as
// this replica knows, or 0 if none was confirmed since the start. The locally
// applied state includes everything committed before the counter was reached.
func (r *Replica) Counter() uint64 { return r.counter.Load() }

// Applied returns the index of the last entry applied locally.
func (r *Replica) Applied() uint64 { return r.appliedIndex.Load() }

// IsLeader reports whether this replica considers itself the leader. Another one
// may have replaced it already; only Read confirms that none has.
func (r *Replica) IsLeader() bool { return r.status.Load().LeaderID == r.id }

// LeaderAddr returns the address of the leader, or "" if none is known.
func (r *Replica) LeaderAddr() string { return r.status.Load().LeaderAddr }

// Changed returns a channel that is closed when Applied or Counter advances, or
// when the role, term or leader changes. Call it before reading the state, so that
// no change is missed.
func (r *Replica) Changed() <-chan struct{} { return r.changed.next() }

// publishStatus makes the state of raft visible to other goroutines. It must be
// called by the goroutine that owns raft.
func (r *Replica) publishStatus() {
	old := r.status.Load()
	s := &Status{
		ID: r.id, Addr: r.cfg.Addr,
		LeaderID: r.raft.LeaderID(), LeaderAddr: addrFromID(r.raft.LeaderID()),
		Term: r.raft.Term(), TermStart: r.raft.TermStart(), Role: r.raft.Role().String(),
		LastIndex: r.raft.LastIndex(), Commit: r.raft.Commit(),
	}
	for _, p := range r.raft.Peers() {
		s.Peers = append(s.Peers, PeerStatus{ID: p.Id, Addr: p.Addr, Voter: p.Voter, Match: r.raft.Match(p.Id), Active: r.raft.Active(p.Id)})
	}
	r.status.Store(s)
	if old == nil {
		return
	}
	if old.Role != s.Role || old.Term != s.Term || old.LeaderID != s.LeaderID {
		r.handleRoleChange(s)
	}
}

// handleRoleChange fails the requests of terms that this replica no longer leads,
// logs the new role and notifies waiting goroutines.
func (r *Replica) handleRoleChange(s *Status) {
	r.waiters.failLostTerms(r.raft.Role() == raft.Leader, s.Term)
	r.log.WithField("role", s.Role).WithField("term", s.Term).WithField("leader", s.LeaderID).Info("role changed")
	r.changed.notify()
}

func (s *Status) isVoter() bool {
	for _, p := range s.Peers {
		if p.ID == s.ID {
			return p.Voter
		}
	}
	return false
}

// broadcast notifies all waiting goroutines of a change.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func (b *broadcast) init() { b.ch = make(chan struct{}) }

// next returns a channel that is closed at the next notification.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}
