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
	// Entries of earlier terms commit only together with one of the own term.
	r.appendOwn(pb.EntryType_ENTRY_EMPTY, nil)
	r.termStart = r.log.last()
	r.broadcastAppend(true)
	r.startRound()
}

// syncPeers makes the progress table match the configuration in force.
func (r *Raft) syncPeers() {
	old := r.peers
	r.peers = map[string]*progress{}
	for _, p := range r.Peers() {
		pr := old[p.Id]
		if pr == nil {
			pr = &progress{next: r.log.last() + 1, heardTick: r.ticks}
		}
		r.peers[p.Id] = pr
	}
	r.saved()
}

// saved updates the own progress to what storage holds.
func (r *Raft) saved() {
	if p := r.peers[r.id]; p != nil {
		p.match = r.log.stable
		p.next = p.match + 1
	}
}

func (r *Raft) tickLeader() {
	if r.countVoters(r.activeID) < r.quorum() {
		// Without a quorum nothing can be confirmed, and another leader may exist.
		r.becomeFollower(r.term, "")
		return
	}
	if r.ticks%uint64(r.cfg.HeartbeatTicks) == 0 || r.settles() {
		r.startRound()
	}
	for _, p := range r.peers {
		if p.state == snapshotting && r.ticks-p.snapTick > uint64(snapshotResendFactor*r.cfg.ElectionTicks) {
			p.probe(p.match + 1)
		}
	}
	if r.role == Leader {
		r.repair()
	}
}

func (r *Raft) active(p *progress) bool {
	return r.ticks-p.heardTick < uint64(r.cfg.ElectionTicks)
}

func (r *Raft) activeID(id string) bool {
	p := r.peers[id]
	return id == r.id || p != nil && r.active(p)
}

// Active reports whether a peer was heard within the shortest election
// timeout; it is always false if this replica is not the leader.
func (r *Raft) Active(id string) bool { return r.role == Leader && r.activeID(id) }

// Propose appends data to the log of the leader and returns its position.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if r.log.last()-r.log.committed >= r.cfg.MaxUncommittedEntries ||
		r.uncommittedBytes > 0 && r.uncommittedBytes+len(data) > r.cfg.MaxUncommittedBytes {
		return 0, 0, ErrUncommitted
	}
	index = r.appendOwn(pb.EntryType_ENTRY_NORMAL, data)
	r.broadcastAppend(false)
	return index, r.term, nil
}

func (r *Raft) appendOwn(t pb.EntryType, data []byte) uint64 {
	index := r.log.last() + 1
	r.log.append(&pb.LogEntry{Term: r.term, Index: index, Type: t, Data: data})
	r.uncommittedBytes += len(data)
	return index
}

// stepLeader handles the answers of peers.
func (r *Raft) stepLeader(m *pb.RaftMessage) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.heardTick = r.ticks
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

// handleReject backs up to the last position that may match. A rejection of
// an older position than the one in doubt is out of date.
func (r *Raft) handleReject(p *progress, m *pb.RaftMessage) {
	if m.Index <= p.match || p.state == probing && m.Index != p.next-1 || p.state == snapshotting {
		return
	}
	hint, _ := r.log.conflict(m.RejectHint, m.LogTerm)
	p.probe(min(hint+1, m.Index))
	r.sendAppends(m.From, p, true)
}

// handleHeartbeatReply also restarts replication that lost a message.
func (r *Raft) handleHeartbeatReply(p *progress, m *pb.RaftMessage) {
	p.ackSeq = max(p.ackSeq, m.ReadSeq)
	p.waiting = false
	if p.state == replicating && len(p.inflight) >= r.cfg.MaxInflight {
		p.inflight = p.inflight[1:]
	}
	if p.match < r.log.last() {
		r.sendAppends(m.From, p, true)
	}
	r.confirmRounds()
}

// settles reports whether a heartbeat is due because the term is new.
func (r *Raft) settles() bool {
	return r.rounds.settled < settlingRounds && r.committedInTerm() && r.ticks%uint64(r.cfg.SettlingTicks) == 0
}

func (r *Raft) committedInTerm() bool {
	t, _ := r.log.term(r.log.committed)
	return t == r.term
}

// maybeCommit commits what a quorum has saved. Only an entry of the own term
// is committed by counting: an older one could still be overwritten by a
// leader of a term in between.
func (r *Raft) maybeCommit() {
	index := r.quorumValue(func(id string) uint64 { return r.peers[id].match })
	if t, ok := r.log.term(index); index <= r.log.committed || !ok || t != r.term {
		return
	}
	for _, e := range r.log.from(r.log.committed+1, index, len(r.log.entries), 1<<62) {
		r.uncommittedBytes -= len(e.Data)
	}
	r.log.commitTo(index)
	r.startWaitingReads()
	r.broadcastAppend(true)
	if _, at := r.log.config(); at <= r.log.committed && !r.IsVoter() {
		// The committed configuration has removed this leader.
		r.becomeFollower(r.term, "")
	}
}

// broadcastAppend sends new entries to every peer; with empty set, also the
// commit index alone.
func (r *Raft) broadcastAppend(empty bool) {
	for _, peer := range r.Peers() {
		if p := r.peers[peer.Id]; peer.Id != r.id && p != nil {
			r.sendAppends(peer.Id, p, empty)
		}
	}
}

// sendAppends sends what the flow control of the peer allows.
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
	entries := r.log.from(p.next, r.log.last(), r.cfg.MaxMessageEntries, r.cfg.MaxMessageBytes)
	r.send(&pb.RaftMessage{
		Type: pb.MessageType_MESSAGE_APPEND, To: to, Term: r.term,
		Index: prev, LogTerm: prevTerm, Entries: entries, Commit: r.log.committed,
	})
	p.sent(prev+uint64(len(entries)), len(entries))
}

// sendSnapshot waits for a sign of life first: a snapshot sent to a peer that
// is down would be lost and sent again only after a long time.
func (r *Raft) sendSnapshot(to string, p *progress) {
	if !r.active(p) {
		p.probe(p.next)
		p.waiting = true
		return
	}
	s := r.log.snapshot
	p.state = snapshotting
	p.snapIndex = s.Meta.Index
	p.snapTick = r.ticks
	r.send(&pb.RaftMessage{
		Type: pb.MessageType_MESSAGE_SNAPSHOT, To: to, Term: r.term,
		Snapshot: s.Meta, SnapshotData: s.Data,
	})
}
