package raft

import (
	"math/rand/v2"
	"slices"
	"testing"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const (
	vote      = pb.MessageType_MESSAGE_VOTE
	preVote   = pb.MessageType_MESSAGE_PRE_VOTE
	appendMsg = pb.MessageType_MESSAGE_APPEND
	appended  = pb.MessageType_MESSAGE_APPEND_REPLY
	heartbeat = pb.MessageType_MESSAGE_HEARTBEAT
	beat      = pb.MessageType_MESSAGE_HEARTBEAT_REPLY
)

// newMember returns replica a of the voters a, b and c with one entry of term 3
// after the bootstrap entry.
func newMember(cfg Config) *Raft {
	st := Bootstrap([]*pb.Peer{{Id: "a", Addr: "a", Voter: true}, {Id: "b", Addr: "b", Voter: true}, {Id: "c", Addr: "c", Voter: true}})
	st.Entries = append(st.Entries, &pb.LogEntry{Term: 3, Index: 2})
	st.HardState.Term = 3
	cfg.ID, cfg.Rand = "a", rand.New(rand.NewPCG(1, 1))
	return New(cfg, st)
}

// newLeader returns a as the leader of term 4, with its first entry at index 3
// committed if commit is set. Peer c has not answered.
func newLeader(cfg Config, commit bool) *Raft {
	r := newMember(cfg)
	r.campaign(true)
	r.Step(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_PRE_VOTE_REPLY, From: "b", To: "a", Term: 4})
	r.Step(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_VOTE_REPLY, From: "b", To: "a", Term: 4})
	flush(r)
	if commit {
		answer(r, "b", appended, 3)
	}
	return r
}

func flush(r *Raft) Ready {
	rd := r.Ready()
	r.Advance(rd)
	return rd
}

// answer steps a reply of term 4; value is the index or the heartbeat round.
func answer(r *Raft, from string, t pb.MessageType, value uint64) Ready {
	r.Step(&pb.RaftMessage{Type: t, From: from, To: "a", Term: 4, Index: value, ReadSeq: value})
	return flush(r)
}

// Guards against votes for a candidate that lacks entries, against elections
// while a leader is active, against answers for a lost identity, and against
// split votes of two replicas that campaign at the same time.
func TestVoteRefusals(t *testing.T) {
	heard := func(r *Raft) { r.Step(&pb.RaftMessage{Type: heartbeat, From: "b", To: "a", Term: 3}) }
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
		{"pre-vote, active leader", &pb.RaftMessage{Type: preVote, Term: 4, Index: 2, LogTerm: 3}, heard, false, false},
		{"pre-vote, own first campaign goes first", &pb.RaftMessage{Type: preVote, Term: 4, Index: 2, LogTerm: 3}, started, false, false},
		{"pre-vote, own second campaign", &pb.RaftMessage{Type: preVote, Term: 4, Index: 2, LogTerm: 3}, startedTwice, true, false},
		{"vote for a predecessor", &pb.RaftMessage{Type: vote, To: "a#0", Term: 4, Index: 2, LogTerm: 3}, nil, false, true},
	}
	for _, c := range cases {
		r := newMember(Config{})
		if c.before != nil {
			c.before(r)
			flush(r)
		}
		c.request.From = "c"
		if c.request.To == "" {
			c.request.To = "a"
		}
		r.Step(c.request)
		messages := flush(r).Messages
		if c.silent != (len(messages) == 0) || !c.silent && messages[0].Reject == c.granted {
			t.Errorf("%s: got %v, want granted=%t silent=%t", c.name, messages, c.granted, c.silent)
		}
	}
}

// Guards against a read that is confirmed by answers sent before it started.
func TestReadNeedsLaterRound(t *testing.T) {
	r := newLeader(Config{}, true)
	r.Read(7)
	if rd := answer(r, "b", beat, 1); len(rd.Reads) > 0 {
		t.Fatal("an answer to an earlier round confirmed the read")
	}
	if rd := answer(r, "b", beat, 2); len(rd.Reads) != 1 || rd.Reads[0] != (ReadState{Token: 7, Index: 3}) {
		t.Fatalf("reads %v after a quorum answered the round", rd.Reads)
	}
}

// Guards against a leader that goes on without a quorum.
func TestLeaderStepsDown(t *testing.T) {
	r := newLeader(Config{ElectionTicks: 5}, true)
	for range 5 {
		r.Tick()
	}
	if r.Role() == Leader {
		t.Fatal("the leader did not step down after an election timeout without answers")
	}
}

// Guards against two configuration changes at a time, changes on an uncertain
// base, and promotions and removals that could lose the quorum.
func TestMembershipSteps(t *testing.T) {
	learner := &pb.Peer{Id: "c2", Addr: "c"}
	r := newLeader(Config{}, false)
	if r.AddLearner(learner) == nil {
		t.Fatal("a change was accepted before an entry of the own term was committed")
	}
	answer(r, "b", appended, 3)
	if err := r.AddLearner(learner); err != nil || len(r.Peers()) != 4 || len(r.voters()) != 3 {
		t.Fatalf("add a learner: %v, peers %v", err, r.Peers())
	}
	if r.AddLearner(&pb.Peer{Id: "d", Addr: "d"}) == nil {
		t.Fatal("a second change was accepted before the first was committed")
	}
	flush(r)
	answer(r, "c2", appended, 3)
	if answer(r, "c2", appended, 4); r.Commit() != 3 {
		t.Fatal("a learner counted for the commit")
	}
	answer(r, "b", appended, 4)
	for range catchUpSlack + 1 {
		r.Propose([]byte("x"))
	}
	flush(r)
	answer(r, "b", appended, r.LastIndex())
	if r.repair(); len(r.Peers()) != 4 {
		t.Fatal("a learner that is far behind was accepted as a replacement")
	}
	answer(r, "c2", appended, r.LastIndex())
	for range 9 {
		r.ticks++
	}
	r.peers["c2"].heardTick = r.ticks
	r.ticks++
	if r.repair(); len(r.Peers()) != 4 {
		t.Fatal("the old voter was removed although the rest has no active quorum")
	}
	r.peers["b"].heardTick = r.ticks
	if r.repair(); isVoter(r.Peers(), "c") || len(r.Peers()) != 3 {
		t.Fatalf("the old voter was not removed: %v", r.Peers())
	}
	flush(r)
	answer(r, "b", appended, r.LastIndex())
	if r.repair(); !isVoter(r.Peers(), "c2") || len(r.voters()) != 3 {
		t.Fatalf("the learner was not promoted: %v", r.Peers())
	}
}

// Guards against unbounded memory for proposals and for messages in flight.
func TestBounds(t *testing.T) {
	r := newLeader(Config{MaxUncommittedEntries: 50, MaxMessageEntries: 4, MaxInflight: 3}, true)
	accepted := 0
	for range 100 {
		if _, _, err := r.Propose([]byte("x")); err == nil {
			accepted++
		}
	}
	appends, largest := 0, 0
	for _, m := range flush(r).Messages {
		if m.Type == appendMsg && m.To == "b" && len(m.Entries) > 0 {
			appends++
			largest = max(largest, len(m.Entries))
		}
	}
	if accepted != 50 || appends != 3 || largest > 4 {
		t.Fatalf("%d proposals accepted, %d appends in flight with up to %d entries", accepted, appends, largest)
	}
}

// Guards against voters that are gone for good and count for the quorum for
// ever, and against the removal of one that is heard or needed.
func TestRemoveVoter(t *testing.T) {
	r := newLeader(Config{}, true)
	for _, id := range []string{"d", "e"} { // two more voters
		if err := r.AddLearner(&pb.Peer{Id: id, Addr: id}); err != nil {
			t.Fatal(err)
		}
		for range 2 { // the learner, then the voter
			flush(r)
			for _, p := range []string{"b", "d", "e"} {
				if r.peers[p] != nil {
					answer(r, p, appended, r.LastIndex())
				}
			}
			r.repair()
		}
		flush(r)
		answer(r, "b", appended, r.LastIndex())
		answer(r, "d", appended, r.LastIndex())
	}
	if len(r.voters()) != 5 {
		t.Fatalf("voters %v", r.voters())
	}
	heard := func(ids ...string) {
		r.ticks += 1000
		for _, id := range ids {
			r.peers[id].heardTick = r.ticks
		}
	}
	heard("b", "c", "d", "e")
	if r.RemoveVoter("c") == nil {
		t.Fatal("a voter that is heard was removed")
	}
	heard("b", "d")
	if r.RemoveVoter("c") == nil {
		t.Fatal("a voter was removed although the others cannot lose one more")
	}
	heard("b", "d", "e")
	if err := r.RemoveVoter("c"); err != nil || len(r.voters()) != 4 {
		t.Fatalf("%v, voters %v", err, r.voters())
	}
	if r.RemoveVoter("b") == nil || r.RemoveVoter("a") == nil {
		t.Fatal("a second change was accepted before the first was committed")
	}
	// The voter comes back with its log.
	settle := func() {
		flush(r)
		for _, id := range []string{"b", "d", "e"} {
			answer(r, id, appended, r.LastIndex())
		}
	}
	settle()
	if err := r.AddLearner(&pb.Peer{Id: "c", Addr: "c"}); err != nil {
		t.Fatal(err)
	}
	settle()
	answer(r, "c", appended, r.LastIndex())
	if r.repair(); !isVoter(r.Peers(), "c") {
		t.Fatalf("the voter that came back does not vote: %v", r.Peers())
	}
}

// Guards against a cluster that waits for a leader after all of its replicas
// were down, and against elections between two heartbeats of a leader that was
// heard.
func TestElectionTimeoutAfterAStart(t *testing.T) {
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

// Guards against followers that wait for several heartbeats before they may act
// on a version after an election: the counter advances quickly once an entry of
// the new term is committed, and then at the usual rate.
func TestCounterAdvancesQuicklyAfterAnElection(t *testing.T) {
	const heartbeat, settling = 5, 2
	advances := func(r *Raft, ticks int) int {
		before := r.counters.known.counter
		n := 0
		for range ticks {
			r.Tick()
			flush(r)
			answer(r, "b", beat, r.rounds.seq)
			if now := r.counters.known.counter; now > before {
				n, before = n+1, now
			}
		}
		return n
	}
	r := newLeader(Config{ElectionTicks: 16, HeartbeatTicks: heartbeat, SettlingTicks: settling}, true)
	if n := advances(r, 4*settling+1); n < 4 {
		t.Errorf("the counter advanced %d times in %d ticks, want 4", n, 4*settling+1)
	}
	advances(r, 100)
	if n := advances(r, 20*heartbeat); n > 20 {
		t.Errorf("the counter advanced %d times in %d ticks, want 20", n, 20*heartbeat)
	}
}

// Guards against a campaign that fails because a voter was not up when it
// began: voters without an answer are asked again, the others are not.
func TestVotersAreAskedAgain(t *testing.T) {
	r := newMember(Config{ElectionTicks: 16, HeartbeatTicks: 5})
	asked := func() (to []string) {
		for _, m := range flush(r).Messages {
			to = append(to, m.To)
		}
		slices.Sort(to)
		return to
	}
	ticks := func() {
		for range askAgainTicks {
			r.Tick()
		}
	}
	r.campaign(true)
	if to := asked(); !slices.Equal(to, []string{"b", "c"}) {
		t.Fatalf("asked %v at first", to)
	}
	ticks()
	if to := asked(); !slices.Equal(to, []string{"b", "c"}) {
		t.Errorf("asked %v again", to)
	}
	r.Step(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_PRE_VOTE_REPLY, From: "b", To: "a", Term: 3, Reject: true})
	ticks()
	if to := asked(); !slices.Equal(to, []string{"c"}) {
		t.Errorf("asked %v after a refusal of b", to)
	}
	r.Step(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_PRE_VOTE_REPLY, From: "c", To: "a", Term: 4})
	asked()
	ticks()
	if to := asked(); r.Role() != Candidate || !slices.Equal(to, []string{"b", "c"}) {
		t.Errorf("%v asked %v again for votes", r.Role(), to)
	}
}

// Guards against a first campaign after the start that ends before the others
// answered: a second one yields to every other replica.
func TestFirstCampaignWaitsForAnswers(t *testing.T) {
	for range 20 {
		r := newMember(Config{ElectionTicks: 16, HeartbeatTicks: 5})
		r.campaign(true)
		if r.electionTimeout < 8 {
			t.Errorf("the campaign ends after %d ticks, want 8 or more", r.electionTimeout)
		}
	}
}
