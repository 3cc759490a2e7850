package raft

import pb "github.com/fescuejunction/fescuejunction/api/fescuepb"

// maxBatchEntries and maxBatchBytes limit one batch returned by Committed.
const (
	maxBatchEntries = 1024
	maxBatchBytes   = 4 << 20
)

// Ready is the output that the caller must process next: it saves HardState,
// Snapshot and Entries durably, calls Advance, and then sends Messages and
// releases Reads.
type Ready struct {
	HardState *HardState // nil if there is nothing to save; a new commit index alone is not saved
	Snapshot  *Snapshot  // replaces the saved log; nil if there is none
	// Entries are appended to the saved log. If the first index is at or below
	// the last saved index, they replace the saved entries from that index on.
	Entries  []*pb.LogEntry
	Messages []*pb.RaftMessage
	Reads    []ReadState
}

// MustSave reports whether rd contains state that must be made durable.
func (rd *Ready) MustSave() bool {
	return rd.HardState != nil || rd.Snapshot != nil || len(rd.Entries) > 0
}

// Batch is committed state to apply: first the snapshot, if there is one, then
// the entries. Counter is the freshness counter of the state after both.
type Batch struct {
	Snapshot *Snapshot
	Entries  []*pb.LogEntry
	Counter  uint64
}

// HardState returns the current hard state.
func (r *Raft) HardState() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
}

// Ready returns the pending output. After each call the caller must call Advance
// before it passes further input.
func (r *Raft) Ready() Ready {
	if r.rounds.requested && r.role == Leader {
		r.startRound()
	}
	rd := Ready{
		Snapshot: r.unsavedSnapshot,
		Entries:  r.log.slice(r.log.stable+1, r.log.last(), len(r.log.entries), 1<<62),
		Messages: r.messages,
		Reads:    r.reads,
	}
	hs := r.HardState()
	if hs.Term != r.savedHardState.Term || hs.Vote != r.savedHardState.Vote || rd.Snapshot != nil || len(rd.Entries) > 0 {
		rd.HardState = &hs
	}
	r.messages, r.reads = nil, nil
	return rd
}

// Advance records that the state of rd is durable.
func (r *Raft) Advance(rd Ready) {
	if rd.HardState != nil {
		r.savedHardState = *rd.HardState
	}
	if rd.Snapshot != nil {
		r.unsavedSnapshot = nil
	}
	if n := len(rd.Entries); n > 0 {
		r.log.stable = rd.Entries[n-1].Index
	}
	if r.role == Leader {
		r.updateOwnProgress()
		r.maybeCommit()
	}
}

// Committed returns the next batch to apply, or nil if there is none. It returns
// an entry only after the entry is durable on this replica.
func (r *Raft) Committed() *Batch {
	l := r.log
	b := &Batch{Snapshot: l.pendingSnapshot}
	l.pendingSnapshot = nil
	hi := min(l.committed, l.stable)
	if hi > l.delivered {
		b.Entries = l.slice(l.delivered+1, hi, maxBatchEntries, maxBatchBytes)
		l.delivered += uint64(len(b.Entries))
	}
	before := r.counters.delivered
	b.Counter = r.releaseCounter()
	if b.Snapshot == nil && len(b.Entries) == 0 && b.Counter == before {
		return nil
	}
	return b
}

// Compact records data as the snapshot of the state applied up to index and
// removes the log up to index, except for the last Config.TrailingEntries
// entries. It must not be called between Ready and Advance. It returns nil if
// there is a snapshot at or above index, or the log is already compacted up to
// index.
func (r *Raft) Compact(index uint64, data []byte) *Snapshot {
	if s := r.log.snapshot; s != nil && s.Meta.Index >= index || index <= r.log.offset {
		return nil
	}
	return r.log.compact(index, data, r.cfg.TrailingEntries)
}

// CompactedState returns the state with which the caller replaces the saved log
// after Compact.
func (r *Raft) CompactedState() State {
	return State{
		HardState:  r.HardState(),
		Snapshot:   r.log.snapshot,
		Offset:     r.log.offset,
		OffsetTerm: r.log.offsetTerm,
		Entries:    r.log.slice(r.log.offset+1, r.log.stable, len(r.log.entries), 1<<62),
	}
}

// Match returns the last index known to be saved on the peer id. It returns 0 if
// the peer is unknown or this replica is not the leader.
func (r *Raft) Match(id string) uint64 {
	if p := r.peers[id]; p != nil {
		return p.match
	}
	return 0
}
