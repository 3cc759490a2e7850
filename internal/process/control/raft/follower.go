package raft

import pb "github.com/fescuejunction/fescuejunction/api/fescuepb"

// stepLeaderMessage handles a message from the leader of the current term.
func (r *Raft) stepLeaderMessage(m *pb.RaftMessage) {
	if r.role == Leader {
		panic("raft: two leaders in one term")
	}
	if r.role != Follower {
		r.becomeFollower(r.term, m.From)
	}
	r.leader = m.From
	if !r.leaderSeen {
		r.resetElection() // replaces the shorter timeout that is used after the start
	}
	r.electionElapsed = 0
	r.campaigns = 0
	switch m.Type {
	case pb.MessageType_MESSAGE_APPEND:
		r.handleAppend(m)
	case pb.MessageType_MESSAGE_HEARTBEAT:
		r.handleHeartbeat(m)
	case pb.MessageType_MESSAGE_SNAPSHOT:
		r.handleSnapshot(m)
	}
}

func (r *Raft) handleAppend(m *pb.RaftMessage) {
	reply := r.newReply(pb.MessageType_MESSAGE_APPEND_REPLY, m)
	match, ok := r.log.merge(m.Index, m.LogTerm, m.Entries)
	if ok {
		r.log.commitTo(min(m.Commit, match))
		reply.Index = match
	} else {
		reply.Reject = true
		reply.Index = m.Index
		reply.RejectHint, reply.LogTerm = r.log.backtrackPoint(m.Index, m.LogTerm)
	}
	r.send(reply)
}

// handleHeartbeat advances the commit index to m.Commit, which the leader has
// limited to the entries that it knows to match the log of this replica.
func (r *Raft) handleHeartbeat(m *pb.RaftMessage) {
	r.log.commitTo(m.Commit)
	r.learnCounter(indexedCounter{m.Counter, m.Index})
	reply := r.newReply(pb.MessageType_MESSAGE_HEARTBEAT_REPLY, m)
	reply.ReadSeq = m.ReadSeq
	r.send(reply)
}

func (r *Raft) handleSnapshot(m *pb.RaftMessage) {
	s := &Snapshot{Meta: m.Snapshot, Data: m.SnapshotData}
	if t, ok := r.log.term(s.Meta.Index); ok && t == s.Meta.Term {
		r.log.commitTo(s.Meta.Index)
	} else if s.Meta.Index > r.log.committed {
		r.log.restore(s)
		r.unsavedSnapshot = s
	}
	reply := r.newReply(pb.MessageType_MESSAGE_SNAPSHOT_REPLY, m)
	reply.Index = r.log.committed
	r.send(reply)
}

// newReply returns a reply to the message m of the leader. Its Counter is the session
// of this replica.
func (r *Raft) newReply(t pb.MessageType, m *pb.RaftMessage) *pb.RaftMessage {
	return &pb.RaftMessage{Type: t, To: m.From, Term: r.term, Counter: r.cfg.Session}
}
