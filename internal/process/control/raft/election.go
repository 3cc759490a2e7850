package raft

import pb "github.com/fescuejunction/fescuejunction/api/fescuepb"

// askAgainTicks is the time between two requests for the same vote, a little
// more than a round trip between regions with ticks of 50 ms.
const askAgainTicks = 3

// campaign starts a pre-vote or a vote. A pre-vote changes no term, so that a
// replica that was cut off does not depose a working leader on its return.
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
	if r.wonVotes() {
		r.winCampaign()
		return
	}
	r.askVoters(typ, term)
}

// askVoters asks the voters that have not answered yet.
func (r *Raft) askVoters(typ pb.MessageType, term uint64) {
	for _, p := range r.voters() {
		if _, answered := r.votes[p.Id]; !answered {
			r.send(&pb.RaftMessage{Type: typ, To: p.Id, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm()})
		}
	}
}

// tickCampaign asks again from time to time: after all replicas were down, some
// voters are up a little later than the others.
func (r *Raft) tickCampaign() {
	if r.electionElapsed%askAgainTicks != 0 {
		return
	}
	switch r.role {
	case PreCandidate:
		r.askVoters(pb.MessageType_MESSAGE_PRE_VOTE, r.term+1)
	case Candidate:
		r.askVoters(pb.MessageType_MESSAGE_VOTE, r.term)
	}
}

func (r *Raft) winCampaign() {
	if r.role == PreCandidate {
		r.campaign(false)
		return
	}
	r.becomeLeader()
}

// heardFromLeader reports whether a leader was active within the shortest
// election timeout. A pre-vote is refused then.
func (r *Raft) heardFromLeader() bool {
	return r.role == Leader || r.leader != "" && r.electionElapsed < r.cfg.ElectionTicks
}

func (r *Raft) handlePreVote(m *pb.RaftMessage) {
	grant := m.Term > r.term && !r.heardFromLeader() && r.log.upToDate(m.Index, m.LogTerm) && !r.goesFirst(m)
	reply := &pb.RaftMessage{Type: pb.MessageType_MESSAGE_PRE_VOTE_REPLY, To: m.From, Term: r.term, Reject: true}
	if grant {
		reply.Term, reply.Reject = m.Term, false
		if r.role == PreCandidate {
			r.becomeFollower(r.term, "")
		}
	}
	r.send(reply)
}

// goesFirst breaks the tie of two replicas that start a campaign at the same
// time: both would win the pre-vote and then split the vote. With 55 ms
// between regions that happened in half of the elections. Only the first
// campaign after a leader was lost goes first, because this replica may not
// reach a quorum that the other one reaches.
func (r *Raft) goesFirst(m *pb.RaftMessage) bool {
	equal := m.Index == r.log.last() && m.LogTerm == r.log.lastTerm()
	return r.role == PreCandidate && r.campaigns == 1 && equal && r.id < m.From
}

func (r *Raft) handleVote(m *pb.RaftMessage) {
	free := r.vote == m.From || r.vote == "" && r.leader == ""
	grant := free && r.log.upToDate(m.Index, m.LogTerm)
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
	case r.wonVotes():
		r.winCampaign()
	case r.lostVotes():
		r.becomeFollower(r.term, "")
	}
}

func (r *Raft) wonVotes() bool {
	return r.countVoters(func(id string) bool { return r.votes[id] }) >= r.quorum()
}

// lostVotes reports whether so many voters refused that the rest is no quorum.
func (r *Raft) lostVotes() bool {
	refused := r.countVoters(func(id string) bool {
		granted, answered := r.votes[id]
		return answered && !granted
	})
	return len(r.voters())-refused < r.quorum()
}
