package raft

import pb "github.com/fescuejunction/fescuejunction/api/fescuepb"

// voteRetryTicks is the interval at which a vote request is repeated to a
// voter that has not replied. With ticks of 50 ms it is slightly longer than a
// round trip between regions.
const voteRetryTicks = 3

// campaign starts a pre-vote if pre is set, otherwise a vote. A pre-vote
// changes no term, so that a replica that rejoins after a network partition
// does not depose a working leader.
func (r *Raft) campaign(pre bool) {
	r.leader = ""
	if pre {
		r.campaigns++
	}
	r.resetElection()
	r.votes = map[string]bool{r.id: true}
	typ, term := pb.MessageType_MESSAGE_PRE_VOTE, r.term+1
	r.role = PreCandidate
	if !pre {
		r.role = Candidate
		r.term = term
		r.vote = r.id
		typ = pb.MessageType_MESSAGE_VOTE
	}
	if r.campaignWon() {
		r.winCampaign()
		return
	}
	r.requestVotes(typ, term)
}

// requestVotes sends a request to every voter that has not replied yet.
func (r *Raft) requestVotes(typ pb.MessageType, term uint64) {
	for _, p := range r.voters() {
		if _, answered := r.votes[p.Id]; !answered {
			r.send(&pb.RaftMessage{Type: typ, To: p.Id, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm()})
		}
	}
}

// retryVoteRequests repeats the requests of the current campaign every
// voteRetryTicks. When all replicas restart, some voters start later than others
// and miss the first request.
func (r *Raft) retryVoteRequests() {
	if r.electionElapsed%voteRetryTicks != 0 {
		return
	}
	switch r.role {
	case PreCandidate:
		r.requestVotes(pb.MessageType_MESSAGE_PRE_VOTE, r.term+1)
	case Candidate:
		r.requestVotes(pb.MessageType_MESSAGE_VOTE, r.term)
	}
}

func (r *Raft) winCampaign() {
	if r.role == PreCandidate {
		r.campaign(false)
		return
	}
	r.becomeLeader()
}

// hasActiveLeader reports whether this replica leads or has received a message
// from the leader within the shortest election timeout. In this case it refuses
// pre-votes.
func (r *Raft) hasActiveLeader() bool {
	return r.role == Leader || r.leader != "" && r.electionElapsed < r.cfg.ElectionTicks
}

func (r *Raft) handlePreVote(m *pb.RaftMessage) {
	grant := m.Term > r.term && !r.hasActiveLeader() && r.log.upToDate(m.Index, m.LogTerm) && !r.winsTie(m)
	reply := &pb.RaftMessage{Type: pb.MessageType_MESSAGE_PRE_VOTE_REPLY, To: m.From, Term: r.term, Reject: true}
	if grant {
		reply.Term, reply.Reject = m.Term, false
		if r.role == PreCandidate {
			r.becomeFollower(r.term, "")
		}
	}
	r.send(reply)
}

// winsTie reports whether this replica refuses the pre-vote m because its own
// campaign takes precedence. Two replicas that start a campaign at the same time
// would otherwise both win the pre-vote and then split the vote; with 55 ms
// between regions this happened in half of the elections. With equal logs, the
// lower identity takes precedence, but only in its first campaign after the
// leader was lost, because it may be unable to reach a quorum that the other
// replica reaches.
func (r *Raft) winsTie(m *pb.RaftMessage) bool {
	equal := m.Index == r.log.last() && m.LogTerm == r.log.lastTerm()
	return r.role == PreCandidate && r.campaigns == 1 && equal && r.id < m.From
}

func (r *Raft) handleVote(m *pb.RaftMessage) {
	canVote := r.vote == m.From || r.vote == "" && r.leader == ""
	grant := canVote && r.log.upToDate(m.Index, m.LogTerm)
	if grant {
		r.vote = m.From
		r.resetElection()
	}
	r.send(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_VOTE_REPLY, To: m.From, Term: r.term, Reject: !grant})
}

func (r *Raft) handlePreVoteReply(m *pb.RaftMessage) {
	if r.role == PreCandidate && (m.Reject || m.Term == r.term+1) {
		r.countVote(m)
	}
}

func (r *Raft) handleVoteReply(m *pb.RaftMessage) {
	if r.role == Candidate {
		r.countVote(m)
	}
}

func (r *Raft) countVote(m *pb.RaftMessage) {
	r.votes[m.From] = !m.Reject
	switch {
	case r.campaignWon():
		r.winCampaign()
	case r.campaignLost():
		r.becomeFollower(r.term, "")
	}
}

func (r *Raft) campaignWon() bool {
	return r.countVoters(func(id string) bool { return r.votes[id] }) >= r.quorum()
}

// campaignLost reports whether so many voters have refused that the remaining
// ones cannot form a quorum.
func (r *Raft) campaignLost() bool {
	refused := r.countVoters(func(id string) bool {
		granted, answered := r.votes[id]
		return answered && !granted
	})
	return len(r.voters())-refused < r.quorum()
}
