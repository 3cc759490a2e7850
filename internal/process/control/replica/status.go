package replica

import (
	"sync"

	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

// Status describes a replica at one moment.
type Status struct {
	ID         string
	Addr       string
	LeaderID   string // "" if no leader is known
	LeaderAddr string
	Term       uint64
	Role       string
	TermStart  uint64 // index of the first entry of the latest term led here
	LastIndex  uint64 // of the log
	Commit     uint64
	Applied    uint64
	Counter    uint64
	Peers      []PeerStatus
}

// PeerStatus describes one peer of the configuration in force.
type PeerStatus struct {
	ID    string
	Addr  string
	Voter bool
	Match uint64 // last index known to be saved there; known to the leader only
	// Active says that the peer was heard within an election timeout; known to
	// the leader only.
	Active bool
}

// Status returns the current status.
func (r *Replica) Status() Status {
	s := *r.status.Load()
	s.Applied = r.appliedIndex.Load()
	s.Counter = r.counter.Load()
	return s
}

// Counter returns the last quorum-confirmed freshness counter known here; 0
// until one was confirmed since the start. The state applied here includes
// everything that was committed before the counter was reached.
func (r *Replica) Counter() uint64 { return r.counter.Load() }

// Applied returns the last index applied.
func (r *Replica) Applied() uint64 { return r.appliedIndex.Load() }

// IsLeader reports whether this replica leads. It may have been replaced
// already; only Read confirms that it was not.
func (r *Replica) IsLeader() bool { return r.status.Load().LeaderID == r.id }

// LeaderAddr returns the address of the leader, or "" if none is known.
func (r *Replica) LeaderAddr() string { return r.status.Load().LeaderAddr }

// Changed returns a channel that is closed when Applied, Counter or the role
// advances. Take the channel before looking at the state.
func (r *Replica) Changed() <-chan struct{} { return r.changed.next() }

// publish makes the state of raft visible to other goroutines.
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

// broadcast wakes all goroutines that wait for a change.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func (b *broadcast) init() { b.ch = make(chan struct{}) }

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
