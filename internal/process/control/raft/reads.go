package raft

import (
	"math"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// maxRound is the last heartbeat round of a term: the counter has 32 bits
// for the round.
const maxRound = math.MaxUint32

// settlingRounds is how many heartbeats of a term follow each other at
// SettlingTicks: a follower needs three counters, a peer learns each of them a
// round later, and followers of other regions connect some rounds late.
const settlingRounds = 8

// maxPendingCounters bounds the counters a follower holds back.
const maxPendingCounters = 64

// ReadState releases a read: the state applied up to Index includes every
// write that was accepted before the read started.
type ReadState struct {
	Token uint64
	Index uint64
}

// round is a heartbeat round that a quorum has not answered yet.
type round struct {
	seq     uint64
	commit  uint64 // commit index at the start of the round
	current bool   // an entry of the own term was committed by then
}

type pendingRead struct {
	token uint64
	seq   uint64 // round that confirms it
	index uint64
}

// roundState is the leader's state of heartbeat rounds and reads.
type roundState struct {
	seq     uint64
	open    []round
	reads   []pendingRead
	waiting []uint64 // tokens of reads that wait for a commit in the own term
	wanted  bool     // a read needs a new round
	settled int      // rounds started since an entry of the own term was committed, up to settlingRounds
}

// counterAt is a freshness counter that holds for a state of at least index.
type counterAt struct {
	counter uint64
	index   uint64
}

// counterState tracks the quorum-confirmed freshness counter. The leader
// advances it on each confirmed round; followers learn it from heartbeats. It
// is term<<32|round, so it rises across leaders.
type counterState struct {
	known   counterAt   // last one learned
	pending []counterAt // not yet covered by the entries handed out, ascending
	handed  uint64
}

// Read asks for a confirmed read on the leader. Ready returns token in a
// ReadState; a read that is open when the leader steps down is dropped.
func (r *Raft) Read(token uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if !r.committedInTerm() {
		// The commit index may miss entries committed by an earlier leader.
		r.rounds.waiting = append(r.rounds.waiting, token)
		return nil
	}
	r.queueRead(token)
	return nil
}

func (r *Raft) queueRead(token uint64) {
	read := pendingRead{token: token, seq: r.rounds.seq + 1, index: r.log.committed}
	r.rounds.reads = append(r.rounds.reads, read)
	r.rounds.wanted = true
}

func (r *Raft) startWaitingReads() {
	for _, token := range r.rounds.waiting {
		r.queueRead(token)
	}
	r.rounds.waiting = nil
}

// startRound sends a heartbeat to every peer.
func (r *Raft) startRound() {
	if r.rounds.seq == maxRound {
		r.becomeFollower(r.term, "")
		return
	}
	r.rounds.seq++
	r.rounds.wanted = false
	current := r.committedInTerm()
	if current && r.rounds.settled < settlingRounds {
		r.rounds.settled++
	}
	r.rounds.open = append(r.rounds.open, round{r.rounds.seq, r.log.committed, current})
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

// confirmRounds releases the reads and the counter of the rounds that a
// quorum has answered.
func (r *Raft) confirmRounds() {
	confirmed := r.quorumValue(func(id string) uint64 {
		if id == r.id {
			return r.rounds.seq
		}
		return r.peers[id].ackSeq
	})
	rs := &r.rounds
	for len(rs.open) > 0 && rs.open[0].seq <= confirmed {
		if o := rs.open[0]; o.current {
			r.learnCounter(counterAt{r.term<<32 | o.seq, o.commit})
		}
		rs.open = rs.open[1:]
	}
	for len(rs.reads) > 0 && rs.reads[0].seq <= confirmed {
		r.reads = append(r.reads, ReadState{Token: rs.reads[0].token, Index: rs.reads[0].index})
		rs.reads = rs.reads[1:]
	}
}

// learnCounter holds a counter back until the entries it covers are handed
// out. If many wait, the newest is dropped: the older ones come first.
func (r *Raft) learnCounter(c counterAt) {
	cs := &r.counters
	if c.counter <= cs.known.counter {
		return
	}
	if len(cs.pending) < maxPendingCounters {
		cs.known = c
		cs.pending = append(cs.pending, c)
	}
}

// releaseCounter returns the highest counter that the handed-out entries cover.
func (r *Raft) releaseCounter() uint64 {
	cs := &r.counters
	for len(cs.pending) > 0 && cs.pending[0].index <= r.log.handed {
		cs.handed = cs.pending[0].counter
		cs.pending = cs.pending[1:]
	}
	return cs.handed
}
