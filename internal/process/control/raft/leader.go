package raft

import pb "github.com/fescuejunction/fescuejunction/api/fescuepb"

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.id
	r.votes = nil
	r.campaigns = 0
	r.peers = map[string]*progress{}
	r.rounds = roundState{}
	r.uncommittedBytes = 0
	for _, e := range r.log.entries {
		if e.Index > r.log.committed {
			r.uncommittedBytes += len(e.Data)
		}
	}
	r.syncPeers()
	// Entries of earlier terms are committed only together with an entry of the
	// current term (see maybeCommit).
	r.appendEntry(pb.EntryType_ENTRY_EMPTY, nil)
	r.termStart = r.log.last()
	r.broadcastAppend(true)
	r.startRound()
}

// syncPeers updates the progress table to the configuration in force. The
// progress of peers that remain is kept.
func (r *Raft) syncPeers() {
	old := r.peers
	r.peers = map[string]*progress{}
	for _, p := range r.Peers() {
		pr := old[p.Id]
		if pr == nil {
			pr = &progress{next: r.log.last() + 1, lastReplyTick: r.ticks}
		}
		r.peers[p.Id] = pr
	}
	r.updateOwnProgress()
}

// updateOwnProgress sets the progress of this replica to its last saved entry.
func (r *Raft) updateOwnProgress() {
	if p := r.peers[r.id]; p != nil {
		p.match = r.log.stable
		p.next = p.match + 1
	}
}

func (r *Raft) tickLeader() {
	if r.countVoters(r.activeID) < r.quorum() {
		// Without an active quorum no entry can be committed, and the other
		// replicas may have elected another leader.
		r.becomeFollower(r.term, "")
		return
	}
	if r.ticks%uint64(r.cfg.HeartbeatTicks) == 0 || r.initialHeartbeatDue() {
		r.startRound()
	}
	for _, p := range r.peers {
		if p.state == snapshotting && r.ticks-p.snapshotTick > uint64(snapshotResendFactor*r.cfg.ElectionTicks) {
			p.startProbing(p.match + 1)
		}
	}
	if r.role == Leader {
		r.replaceVoters()
	}
}

func (r *Raft) active(p *progress) bool {
	return r.ticks-p.lastReplyTick < uint64(r.cfg.ElectionTicks)
}

func (r *Raft) activeID(id string) bool {
	p := r.peers[id]
	return id == r.id || p != nil && r.active(p)
}

// Active reports whether a peer has replied within the shortest election
// timeout. It returns true for the leader itself, and false for every peer if
// this replica is not the leader.
func (r *Raft) Active(id string) bool { return r.role == Leader && r.activeID(id) }

// Propose appends an entry with data to the log and returns its index and
// term. It returns ErrNotLeader if this replica is not the leader, and
// ErrTooManyUncommitted at the limit of uncommitted entries or bytes.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if r.log.last()-r.log.committed >= r.cfg.MaxUncommittedEntries ||
		r.uncommittedBytes > 0 && r.uncommittedBytes+len(data) > r.cfg.MaxUncommittedBytes {
		return 0, 0, ErrTooManyUncommitted
	}
	index = r.appendEntry(pb.EntryType_ENTRY_NORMAL, data)
	r.broadcastAppend(false)
	return index, r.term, nil
}

func (r *Raft) appendEntry(t pb.EntryType, data []byte) uint64 {
	index := r.log.last() + 1
	r.log.append(&pb.LogEntry{Term: r.term, Index: index, Type: t, Data: data})
	r.uncommittedBytes += len(data)
	return index
}

// stepPeerReply handles a reply of a peer to this leader.
func (r *Raft) stepPeerReply(m *pb.RaftMessage) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.lastReplyTick = r.ticks
	p.noteSession(m.Counter)
	switch m.Type {
	case pb.MessageType_MESSAGE_APPEND_REPLY, pb.MessageType_MESSAGE_SNAPSHOT_REPLY:
		r.handleAppendReply(p, m)
	case pb.MessageType_MESSAGE_HEARTBEAT_REPLY:
		r.handleHeartbeatReply(p, m)
	}
}

func (r *Raft) handleAppendReply(p *progress, m *pb.RaftMessage) {
	if m.Reject {
		r.handleReject(p, m)
		return
	}
	p.acked(m.Index)
	r.maybeCommit()
	if r.role == Leader {
		r.sendAppends(m.From, p, false)
	}
}

// handleReject moves next back to the last position at which the logs may
// match, and probes there. It ignores all rejections while the peer installs a
// snapshot, and outdated ones: those of a position that is known to match, or
// that is not the one being probed.
func (r *Raft) handleReject(p *progress, m *pb.RaftMessage) {
	if m.Index <= p.match || p.state == probing && m.Index != p.next-1 || p.state == snapshotting {
		return
	}
	hint, _ := r.log.backtrackPoint(m.RejectHint, m.LogTerm)
	p.startProbing(min(hint+1, m.Index))
	r.sendAppends(m.From, p, true)
}

// handleHeartbeatReply records the round that the peer has answered. It also
// resumes replication after an append message or its reply was lost: it permits
// another probe, or frees one slot of a full in-flight window.
func (r *Raft) handleHeartbeatReply(p *progress, m *pb.RaftMessage) {
	p.ackedRound = max(p.ackedRound, m.ReadSeq)
	p.probePaused = false
	if p.state == replicating && len(p.inflight) >= r.cfg.MaxInflight {
		p.inflight = p.inflight[1:]
	}
	if p.match < r.log.last() {
		r.sendAppends(m.From, p, true)
	}
	r.confirmRounds()
}

// initialHeartbeatDue reports whether one of the first heartbeats of the term
// is due, which follow each other at InitialHeartbeatTicks.
func (r *Raft) initialHeartbeatDue() bool {
	return r.rounds.initialRounds < initialHeartbeatRounds && r.committedInTerm() && r.ticks%uint64(r.cfg.InitialHeartbeatTicks) == 0
}

func (r *Raft) committedInTerm() bool {
	t, _ := r.log.term(r.log.committed)
	return t == r.term
}

// maybeCommit commits the entries that a quorum has saved. Only an entry of the
// current term is committed by counting replicas: an entry of an earlier term
// could still be overwritten by a leader of a term in between, although a quorum
// has saved it.
func (r *Raft) maybeCommit() {
	index := r.quorumValue(func(id string) uint64 { return r.peers[id].match })
	if t, ok := r.log.term(index); index <= r.log.committed || !ok || t != r.term {
		return
	}
	for _, e := range r.log.slice(r.log.committed+1, index, len(r.log.entries), 1<<62) {
		r.uncommittedBytes -= len(e.Data)
	}
	r.log.commitTo(index)
	r.queueDeferredReads()
	r.broadcastAppend(true)
	if _, at := r.log.config(); at <= r.log.committed && !r.IsVoter() {
		// The committed configuration has removed this leader.
		r.becomeFollower(r.term, "")
	}
}

// broadcastAppend sends new entries to every peer. If empty is set, a peer
// without new entries gets an empty append with the commit index.
func (r *Raft) broadcastAppend(empty bool) {
	for _, peer := range r.Peers() {
		if p := r.peers[peer.Id]; peer.Id != r.id && p != nil {
			r.sendAppends(peer.Id, p, empty)
		}
	}
}

// sendAppends sends as many append messages as flow control allows for the
// peer. If empty is set, the first one may be without entries.
func (r *Raft) sendAppends(to string, p *progress, empty bool) {
	for !p.paused(r.cfg.MaxInflight) && (empty || p.next <= r.log.last()) {
		r.sendAppend(to, p)
		empty = false
	}
}

func (r *Raft) sendAppend(to string, p *progress) {
	prev := p.next - 1
	prevTerm, ok := r.log.term(prev)
	if !ok {
		r.sendSnapshot(to, p)
		return
	}
	entries := r.log.slice(p.next, r.log.last(), r.cfg.MaxMessageEntries, r.cfg.MaxMessageBytes)
	r.send(&pb.RaftMessage{
		Type: pb.MessageType_MESSAGE_APPEND, To: to, Term: r.term,
		Index: prev, LogTerm: prevTerm, Entries: entries, Commit: r.log.committed,
	})
	p.sent(prev+uint64(len(entries)), len(entries))
}

// sendSnapshot sends the latest snapshot to an active peer. For an inactive
// peer it pauses until the next reply: a snapshot sent to a peer that is down
// would be lost, and repeated only after snapshotResendFactor election timeouts.
func (r *Raft) sendSnapshot(to string, p *progress) {
	if !r.active(p) {
		p.startProbing(p.next)
		p.probePaused = true
		return
	}
	s := r.log.snapshot
	p.state = snapshotting
	p.snapshotIndex = s.Meta.Index
	p.snapshotTick = r.ticks
	r.send(&pb.RaftMessage{
		Type: pb.MessageType_MESSAGE_SNAPSHOT, To: to, Term: r.term,
		Snapshot: s.Meta, SnapshotData: s.Data,
	})
}
