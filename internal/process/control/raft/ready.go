package raft

import pb "github.com/fescuejunction/fescuejunction/api/fescuepb"

// maxBatchEntries and maxBatchBytes bound one batch handed out for application.
const (
	maxBatchEntries = 1024
	maxBatchBytes   = 4 << 20
)

// Ready is what the caller must do next: save HardState, Snapshot and
// Entries durably, call Advance, then send Messages and release Reads.
type Ready struct {
	HardState *HardState // nil if term and vote are unchanged
	Snapshot  *Snapshot  // replaces the saved log
	// Entries to append. If the first index is at or below the last saved
	// one, the saved entries from there on are replaced.
	Entries  []*pb.LogEntry
	Messages []*pb.RaftMessage
	Reads    []ReadState
}

// MustSave reports whether the Ready contains state to make durable.
func (rd *Ready) MustSave() bool {
	return rd.HardState != nil || rd.Snapshot != nil || len(rd.Entries) > 0
}

// Batch is committed state to apply: first the snapshot, then the entries.
// Counter is the freshness counter that the state has after that.
type Batch struct {
	Snapshot *Snapshot
	Entries  []*pb.LogEntry
	Counter  uint64
}

// HardState returns the current hard state.
func (r *Raft) HardState() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
}

// Ready returns the pending output. Every Ready must be followed by Advance
// before the next input.
func (r *Raft) Ready() Ready {
	if r.rounds.wanted && r.role == Leader {
		r.startRound()
	}
	rd := Ready{
		Snapshot: r.saveSnap,
		Entries:  r.log.from(r.log.stable+1, r.log.last(), len(r.log.entries), 1<<62),
		Messages: r.messages,
		Reads:    r.reads,
	}
	hs := r.HardState()
	if hs.Term != r.savedHard.Term || hs.Vote != r.savedHard.Vote || rd.Snapshot != nil || len(rd.Entries) > 0 {
		rd.HardState = &hs
	}
	r.messages, r.reads = nil, nil
	return rd
}

// Advance notes that rd is durable.
func (r *Raft) Advance(rd Ready) {
	if rd.HardState != nil {
		r.savedHard = *rd.HardState
	}
	if rd.Snapshot != nil {
		r.saveSnap = nil
	}
	if n := len(rd.Entries); n > 0 {
		r.log.stable = rd.Entries[n-1].Index
	}
	if r.role == Leader {
		r.saved()
		r.maybeCommit()
	}
}

// Committed returns the next batch to apply, or nil. An entry is handed out
// only after it is durable here.
func (r *Raft) Committed() *Batch {
	l := r.log
	b := &Batch{Snapshot: l.applySnapshot}
	l.applySnapshot = nil
	hi := min(l.committed, l.stable)
	if hi > l.handed {
		b.Entries = l.from(l.handed+1, hi, maxBatchEntries, maxBatchBytes)
		l.handed += uint64(len(b.Entries))
	}
	before := r.counters.handed
	b.Counter = r.releaseCounter()
	if b.Snapshot == nil && len(b.Entries) == 0 && b.Counter == before {
		return nil
	}
	return b
}

// Compact records data as the state applied up to index and drops the log
// below it, but for the trailing entries. It must not be called between Ready
// and Advance. It returns nil if a snapshot at or above index exists.
func (r *Raft) Compact(index uint64, data []byte) *Snapshot {
	if s := r.log.snapshot; s != nil && s.Meta.Index >= index || index <= r.log.offset {
		return nil
	}
	return r.log.compact(index, data, r.cfg.TrailingEntries)
}

// Saved returns the state to write when the log is rewritten after Compact.
func (r *Raft) Saved() State {
	return State{
		HardState:  r.HardState(),
		Snapshot:   r.log.snapshot,
		Offset:     r.log.offset,
		OffsetTerm: r.log.offsetTerm,
		Entries:    r.log.from(r.log.offset+1, r.log.stable, len(r.log.entries), 1<<62),
	}
}

// Match returns the last index known to be saved at a peer; 0 if this replica
// is not the leader.
func (r *Raft) Match(id string) uint64 {
	if p := r.peers[id]; p != nil {
		return p.match
	}
	return 0
}
