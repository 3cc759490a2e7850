package raft

import (
	"math"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// maxRound is the last heartbeat round of a term, because the freshness counter
// has 32 bits for the round. The leader steps down after it.
const maxRound = math.MaxUint32

// initialHeartbeatRounds is the number of heartbeat rounds of a term that follow
// each other at InitialHeartbeatTicks. A follower needs three counters, a peer
// learns each of them one round after it was confirmed, and followers in other
// regions connect some rounds late.
const initialHeartbeatRounds = 8

// maxPendingCounters limits the number of counters that wait for the entries
// that they cover.
const maxPendingCounters = 64

// ReadState confirms a read. The state applied up to Index includes every write
// that was committed before the read started.
type ReadState struct {
	Token uint64
	Index uint64
}

// round is a heartbeat round that a quorum has not answered yet.
type round struct {
	seq           uint64
	commit        uint64 // commit index at the start of the round
	termCommitted bool   // an entry of the current term was committed at the start of the round
}

type pendingRead struct {
	token uint64
	seq   uint64 // round that confirms the read
	index uint64
}

// roundState is the leader's state of heartbeat rounds and reads.
type roundState struct {
	seq           uint64
	unconfirmed   []round
	reads         []pendingRead
	deferred      []uint64 // tokens of reads that wait until an entry of the current term is committed
	requested     bool     // a read needs a new round
	initialRounds int      // rounds started since an entry of the current term was committed; at most initialHeartbeatRounds
}

// indexedCounter is a freshness counter and the lowest applied index for which
// it is valid.
type indexedCounter struct {
	counter uint64
	index   uint64
}

// counterState tracks the freshness counter. The leader advances the counter
// with each round that a quorum has confirmed; followers learn it from
// heartbeats. Its value is term<<32|round, so that it increases across leaders.
type counterState struct {
	known     indexedCounter   // last one accepted by learnCounter
	pending   []indexedCounter // ascending; those whose entries Committed has not returned yet
	delivered uint64           // last one returned by Committed
}

// Read starts a linearizable read on the leader. A later Ready returns token in
// a ReadState. A read that is unconfirmed when the leader steps down is dropped.
// It returns ErrNotLeader if this replica is not the leader.
func (r *Raft) Read(token uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if !r.committedInTerm() {
		// Until an entry of the current term is committed, the commit index may lag
		// behind entries that an earlier leader has committed.
		r.rounds.deferred = append(r.rounds.deferred, token)
		return nil
	}
	r.queueRead(token)
	return nil
}

func (r *Raft) queueRead(token uint64) {
	read := pendingRead{token: token, seq: r.rounds.seq + 1, index: r.log.committed}
	r.rounds.reads = append(r.rounds.reads, read)
	r.rounds.requested = true
}

func (r *Raft) queueDeferredReads() {
	for _, token := range r.rounds.deferred {
		r.queueRead(token)
	}
	r.rounds.deferred = nil
}

// startRound starts a heartbeat round: it sends a heartbeat to every peer. After
// maxRound rounds the leader steps down instead.
func (r *Raft) startRound() {
	if r.rounds.seq == maxRound {
		r.becomeFollower(r.term, "")
		return
	}
	r.rounds.seq++
	r.rounds.requested = false
	current := r.committedInTerm()
	if current && r.rounds.initialRounds < initialHeartbeatRounds {
		r.rounds.initialRounds++
	}
	r.rounds.unconfirmed = append(r.rounds.unconfirmed, round{r.rounds.seq, r.log.committed, current})
	for _, peer := range r.Peers() {
		if p := r.peers[peer.Id]; peer.Id != r.id && p != nil {
			r.send(&pb.RaftMessage{
				Type: pb.MessageType_MESSAGE_HEARTBEAT, To: peer.Id, Term: r.term,
				Commit: min(p.match, r.log.committed), ReadSeq: r.rounds.seq,
				Counter: r.counters.known.counter, Index: r.counters.known.index,
			})
		}
	}
	r.confirmRounds()
}

// confirmRounds releases the reads, and learns the counters, of the rounds that
// a quorum has answered.
func (r *Raft) confirmRounds() {
	confirmed := r.quorumValue(func(id string) uint64 {
		if id == r.id {
			return r.rounds.seq
		}
		return r.peers[id].ackedRound
	})
	rs := &r.rounds
	for len(rs.unconfirmed) > 0 && rs.unconfirmed[0].seq <= confirmed {
		if o := rs.unconfirmed[0]; o.termCommitted {
			r.learnCounter(indexedCounter{r.term<<32 | o.seq, o.commit})
		}
		rs.unconfirmed = rs.unconfirmed[1:]
	}
	for len(rs.reads) > 0 && rs.reads[0].seq <= confirmed {
		r.reads = append(r.reads, ReadState{Token: rs.reads[0].token, Index: rs.reads[0].index})
		rs.reads = rs.reads[1:]
	}
}

// learnCounter records a new counter as pending until Committed has returned the
// entries that it covers. If maxPendingCounters are pending, c is dropped: the
// older ones can be released earlier.
func (r *Raft) learnCounter(c indexedCounter) {
	cs := &r.counters
	if c.counter <= cs.known.counter {
		return
	}
	if len(cs.pending) < maxPendingCounters {
		cs.known = c
		cs.pending = append(cs.pending, c)
	}
}

// releaseCounter returns the highest counter whose entries Committed has
// returned, and removes it and all lower ones from the pending counters.
func (r *Raft) releaseCounter() uint64 {
	cs := &r.counters
	for len(cs.pending) > 0 && cs.pending[0].index <= r.log.delivered {
		cs.delivered = cs.pending[0].counter
		cs.pending = cs.pending[1:]
	}
	return cs.delivered
}
