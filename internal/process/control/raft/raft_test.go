package raft

import (
	"math/rand/v2"
	"slices"
	"testing"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const (
	vote           = pb.MessageType_MESSAGE_VOTE
	preVote        = pb.MessageType_MESSAGE_PRE_VOTE
	appendMsg      = pb.MessageType_MESSAGE_APPEND
	appendReply    = pb.MessageType_MESSAGE_APPEND_REPLY
	heartbeat      = pb.MessageType_MESSAGE_HEARTBEAT
	heartbeatReply = pb.MessageType_MESSAGE_HEARTBEAT_REPLY
)

// newMember returns replica a of the voters a, b and c. Its log holds one entry
// of term 3 after the bootstrap entry.
func newMember(cfg Config) *Raft {
	st := Bootstrap([]*pb.Peer{{Id: "a", Addr: "a", Voter: true}, {Id: "b", Addr: "b", Voter: true}, {Id: "c", Addr: "c", Voter: true}})
	st.Entries = append(st.Entries, &pb.LogEntry{Term: 3, Index: 2})
	st.HardState.Term = 3
	cfg.ID, cfg.Rand = "a", rand.New(rand.NewPCG(1, 1))
	return New(cfg, st)
}

// newLeader returns replica a as the leader of term 4. Its first entry is at index
// 3 and is committed if commit is set. Peer c has not replied.
func newLeader(cfg Config, commit bool) *Raft {
	r := newMember(cfg)
	r.campaign(true)
	r.Step(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_PRE_VOTE_REPLY, From: "b", To: "a", Term: 4})
	r.Step(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_VOTE_REPLY, From: "b", To: "a", Term: 4})
	processReady(r)
	if commit {
		stepReply(r, "b", appendReply, 3)
	}
	return r
}

func processReady(r *Raft) Ready {
	rd := r.Ready()
	r.Advance(rd)
	return rd
}

// stepReply passes a reply of term 4 to r and processes the output. value is the
// index or the heartbeat round of the reply.
func stepReply(r *Raft, from string, t pb.MessageType, value uint64) Ready {
	r.Step(&pb.RaftMessage{Type: t, From: from, To: "a", Term: 4, Index: value, ReadSeq: value})
	return processReady(r)
}

// Guards against votes for a candidate that lacks entries, against elections
// while a leader is active, against replies to requests for an identity that was
// lost, and against split votes between two replicas that campaign at the same
// time.
func TestVoteRefusals(t *testing.T) {
	activeLeader := func(r *Raft) { r.Step(&pb.RaftMessage{Type: heartbeat, From: "b", To: "a", Term: 3}) }
	started := func(r *Raft) { r.campaign(true) }
	startedTwice := func(r *Raft) { r.campaign(true); r.campaign(true) }
	cases := []struct {
		name    string
		request *pb.RaftMessage
		before  func(r *Raft)
		granted bool
		silent  bool
	}{
		{"vote", &pb.RaftMessage{Type: vote, Term: 4, Index: 2, LogTerm: 3}, nil, true, false},
		{"vote, shorter log", &pb.RaftMessage{Type: vote, Term: 4, Index: 1, LogTerm: 3}, nil, false, false},
		{"vote, older log", &pb.RaftMessage{Type: vote, Term: 4, Index: 9, LogTerm: 2}, nil, false, false},
		{"pre-vote", &pb.RaftMessage{Type: preVote, Term: 4, Index: 2, LogTerm: 3}, nil, true, false},
		{"pre-vote, shorter log", &pb.RaftMessage{Type: preVote, Term: 4, Index: 1, LogTerm: 3}, nil, false, false},
		{"pre-vote, active leader", &pb.RaftMessage{Type: preVote, Term: 4, Index: 2, LogTerm: 3}, activeLeader, false, false},
		{"pre-vote, own first campaign wins the tie", &pb.RaftMessage{Type: preVote, Term: 4, Index: 2, LogTerm: 3}, started, false, false},
		{"pre-vote, own second campaign", &pb.RaftMessage{Type: preVote, Term: 4, Index: 2, LogTerm: 3}, startedTwice, true, false},
		{"vote, request to a former identity", &pb.RaftMessage{Type: vote, To: "a#0", Term: 4, Index: 2, LogTerm: 3}, nil, false, true},
	}
	for _, c := range cases {
		r := newMember(Config{})
		if c.before != nil {
			c.before(r)
			processReady(r)
		}
		c.request.From = "c"
		if c.request.To == "" {
			c.request.To = "a"
		}
		r.Step(c.request)
		messages := processReady(r).Messages
		if c.silent != (len(messages) == 0) || !c.silent && messages[0].Reject == c.granted {
			t.Errorf("%s: got %v, want granted=%t silent=%t", c.name, messages, c.granted, c.silent)
		}
	}
}

// Guards against a read that is confirmed by replies to a heartbeat round that
// started before the read.
func TestReadNeedsLaterRound(t *testing.T) {
	r := newLeader(Config{}, true)
	r.Read(7)
	if rd := stepReply(r, "b", heartbeatReply, 1); len(rd.Reads) > 0 {
		t.Fatal("a reply to an earlier round confirmed the read")
	}
	if rd := stepReply(r, "b", heartbeatReply, 2); len(rd.Reads) != 1 || rd.Reads[0] != (ReadState{Token: 7, Index: 3}) {
		t.Fatalf("reads %v after a quorum answered the round", rd.Reads)
	}
}

// Guards against a leader that keeps its role without an active quorum.
func TestLeaderStepsDown(t *testing.T) {
	r := newLeader(Config{ElectionTicks: 5}, true)
	for range 5 {
		r.Tick()
	}
	if r.Role() == Leader {
		t.Fatal("the leader did not step down after an election timeout without replies")
	}
}

// Guards against two configuration changes at a time, against changes to a
// configuration that may not be committed, and against promotions and removals
// that could lose the quorum.
func TestMembershipChanges(t *testing.T) {
	learner := &pb.Peer{Id: "c2", Addr: "c"}
	r := newLeader(Config{}, false)
	if r.AddLearner(learner) == nil {
		t.Fatal("a change was accepted before an entry of the current term was committed")
	}
	stepReply(r, "b", appendReply, 3)
	if err := r.AddLearner(learner); err != nil || len(r.Peers()) != 4 || len(r.voters()) != 3 {
		t.Fatalf("add a learner: %v, peers %v", err, r.Peers())
	}
	if r.AddLearner(&pb.Peer{Id: "d", Addr: "d"}) == nil {
		t.Fatal("a second change was accepted before the first was committed")
	}
	processReady(r)
	stepReply(r, "c2", appendReply, 3)
	if stepReply(r, "c2", appendReply, 4); r.Commit() != 3 {
		t.Fatal("a learner counted towards the commit quorum")
	}
	stepReply(r, "b", appendReply, 4)
	for range maxPromotionLag + 1 {
		r.Propose([]byte("x"))
	}
	processReady(r)
	stepReply(r, "b", appendReply, r.LastIndex())
	if r.replaceVoters(); len(r.Peers()) != 4 {
		t.Fatal("a learner that lags too far behind was accepted as a replacement")
	}
	stepReply(r, "c2", appendReply, r.LastIndex())
	for range 9 {
		r.ticks++
	}
	r.peers["c2"].lastReplyTick = r.ticks
	r.ticks++
	if r.replaceVoters(); len(r.Peers()) != 4 {
		t.Fatal("the old voter was removed although the remaining voters have no active quorum")
	}
	r.peers["b"].lastReplyTick = r.ticks
	if r.replaceVoters(); isVoter(r.Peers(), "c") || len(r.Peers()) != 3 {
		t.Fatalf("the old voter was not removed: %v", r.Peers())
	}
	processReady(r)
	stepReply(r, "b", appendReply, r.LastIndex())
	if r.replaceVoters(); !isVoter(r.Peers(), "c2") || len(r.voters()) != 3 {
		t.Fatalf("the learner was not promoted: %v", r.Peers())
	}
}

// Guards against unbounded memory for uncommitted proposals and for messages in
// flight.
func TestProposalAndInflightLimits(t *testing.T) {
	r := newLeader(Config{MaxUncommittedEntries: 50, MaxMessageEntries: 4, MaxInflight: 3}, true)
	accepted := 0
	for range 100 {
		if _, _, err := r.Propose([]byte("x")); err == nil {
			accepted++
		}
	}
	appends, largest := 0, 0
	for _, m := range processReady(r).Messages {
		if m.Type == appendMsg && m.To == "b" && len(m.Entries) > 0 {
			appends++
			largest = max(largest, len(m.Entries))
		}
	}
	if accepted != 50 || appends != 3 || largest > 4 {
		t.Fatalf("%d proposals accepted, %d appends in flight with up to %d entries", accepted, appends, largest)
	}
}

// Guards against voters that have failed for good but still count towards the
// quorum, and against the removal of a voter that is active or required.
func TestRemoveVoter(t *testing.T) {
	r := newLeader(Config{}, true)
	for _, id := range []string{"d", "e"} { // two more voters
		if err := r.AddLearner(&pb.Peer{Id: id, Addr: id}); err != nil {
			t.Fatal(err)
		}
		for range 2 { // the learner, then the voter
			processReady(r)
			for _, p := range []string{"b", "d", "e"} {
				if r.peers[p] != nil {
					stepReply(r, p, appendReply, r.LastIndex())
				}
			}
			r.replaceVoters()
		}
		processReady(r)
		stepReply(r, "b", appendReply, r.LastIndex())
		stepReply(r, "d", appendReply, r.LastIndex())
	}
	if len(r.voters()) != 5 {
		t.Fatalf("voters %v", r.voters())
	}
	setActive := func(ids ...string) {
		r.ticks += 1000
		for _, id := range ids {
			r.peers[id].lastReplyTick = r.ticks
		}
	}
	setActive("b", "c", "d", "e")
	if r.RemoveVoter("c") == nil {
		t.Fatal("an active voter was removed")
	}
	setActive("b", "d")
	if r.RemoveVoter("c") == nil {
		t.Fatal("a voter was removed although the remaining voters cannot tolerate another failure")
	}
	setActive("b", "d", "e")
	if err := r.RemoveVoter("c"); err != nil || len(r.voters()) != 4 {
		t.Fatalf("%v, voters %v", err, r.voters())
	}
	if r.RemoveVoter("b") == nil || r.RemoveVoter("a") == nil {
		t.Fatal("a second change was accepted before the first was committed")
	}
	// The removed voter comes back with its log.
	commitAll := func() {
		processReady(r)
		for _, id := range []string{"b", "d", "e"} {
			stepReply(r, id, appendReply, r.LastIndex())
		}
	}
	commitAll()
	if err := r.AddLearner(&pb.Peer{Id: "c", Addr: "c"}); err != nil {
		t.Fatal(err)
	}
	commitAll()
	stepReply(r, "c", appendReply, r.LastIndex())
	if r.replaceVoters(); !isVoter(r.Peers(), "c") {
		t.Fatalf("the removed voter did not become a voter again: %v", r.Peers())
	}
}

// Guards against a cluster that waits a whole election timeout for a leader after
// all of its replicas were down, and against elections between two heartbeats of
// an active leader.
func TestElectionTimeoutAfterStart(t *testing.T) {
	untilCampaign := func(r *Raft) int {
		for n := 1; ; n++ {
			if r.Tick(); r.Role() == PreCandidate {
				return n
			}
		}
	}
	for range 20 {
		r := newMember(Config{ElectionTicks: 16, HeartbeatTicks: 5})
		if n := untilCampaign(r); n >= 16 {
			t.Errorf("campaign %d ticks after the start, want less than 16", n)
		}
		r = newMember(Config{ElectionTicks: 16, HeartbeatTicks: 5})
		r.Step(&pb.RaftMessage{Type: heartbeat, From: "b", To: "a", Term: 3})
		if n := untilCampaign(r); n < 16 {
			t.Errorf("campaign %d ticks after a heartbeat, want 16 or more", n)
		}
	}
}

// Guards against followers that wait for several regular heartbeats before they
// may act on a version after an election. The freshness counter must advance
// quickly after an entry of the new term is committed, and later at the rate of
// regular heartbeats.
func TestCounterAdvancesQuicklyAfterElection(t *testing.T) {
	const heartbeat, initial = 5, 2
	advances := func(r *Raft, ticks int) int {
		before := r.counters.known.counter
		n := 0
		for range ticks {
			r.Tick()
			processReady(r)
			stepReply(r, "b", heartbeatReply, r.rounds.seq)
			if now := r.counters.known.counter; now > before {
				n, before = n+1, now
			}
		}
		return n
	}
	r := newLeader(Config{ElectionTicks: 16, HeartbeatTicks: heartbeat, InitialHeartbeatTicks: initial}, true)
	if n := advances(r, 4*initial+1); n < 4 {
		t.Errorf("the counter advanced %d times in %d ticks, want 4", n, 4*initial+1)
	}
	advances(r, 100)
	if n := advances(r, 20*heartbeat); n > 20 {
		t.Errorf("the counter advanced %d times in %d ticks, want 20", n, 20*heartbeat)
	}
}

// Guards against a campaign that fails because a voter was not running when the
// campaign started. Requests are repeated to voters that have not replied, and
// only to these.
func TestVoteRequestsAreRetried(t *testing.T) {
	r := newMember(Config{ElectionTicks: 16, HeartbeatTicks: 5})
	requested := func() (to []string) {
		for _, m := range processReady(r).Messages {
			to = append(to, m.To)
		}
		slices.Sort(to)
		return to
	}
	ticks := func() {
		for range voteRetryTicks {
			r.Tick()
		}
	}
	r.campaign(true)
	if to := requested(); !slices.Equal(to, []string{"b", "c"}) {
		t.Fatalf("first requests went to %v", to)
	}
	ticks()
	if to := requested(); !slices.Equal(to, []string{"b", "c"}) {
		t.Errorf("repeated requests went to %v", to)
	}
	r.Step(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_PRE_VOTE_REPLY, From: "b", To: "a", Term: 3, Reject: true})
	ticks()
	if to := requested(); !slices.Equal(to, []string{"c"}) {
		t.Errorf("requests after a refusal of b went to %v", to)
	}
	r.Step(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_PRE_VOTE_REPLY, From: "c", To: "a", Term: 4})
	requested()
	ticks()
	if to := requested(); r.Role() != Candidate || !slices.Equal(to, []string{"b", "c"}) {
		t.Errorf("role %v, repeated vote requests went to %v", r.Role(), to)
	}
}

// Guards against a first campaign after the start that ends before the replies
// arrive. Only the first campaign wins ties, so a second one yields to every other
// replica.
func TestFirstCampaignWaitsForReplies(t *testing.T) {
	for range 20 {
		r := newMember(Config{ElectionTicks: 16, HeartbeatTicks: 5})
		r.campaign(true)
		if r.electionTimeout < 8 {
			t.Errorf("the campaign times out after %d ticks, want 8 or more", r.electionTimeout)
		}
	}
}
