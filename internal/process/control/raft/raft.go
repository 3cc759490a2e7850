// Package raft implements the Raft consensus algorithm for the control
// replicas as a deterministic state machine. It performs no I/O and owns
// neither a clock nor a source of randomness: the caller supplies ticks,
// messages and proposals, and Ready returns what must be saved and sent.
//
// The caller uses it from one goroutine and repeats these steps:
//
//  1. Pass inputs with Tick, Step, Propose and Read.
//  2. Call Ready, save its state durably, and call Advance.
//  3. Send the messages of that Ready, never before it is saved.
//  4. Call Committed and apply the batch that it returns.
package raft

import (
	"math/rand/v2"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// Role is the role of a replica in its current term.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the lower-case name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// HardState is the state that must be durable before a message that depends
// on it is sent.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64 // may be older than the actual commit index, which the leader sends again
}

// Snapshot is the application state after the entry at Meta.Index was applied.
type Snapshot struct {
	Meta *pb.SnapshotMeta
	Data []byte
}

// State is the persistent state of a replica, as recovered from storage.
type State struct {
	HardState  HardState
	Snapshot   *Snapshot // nil if none was taken
	Offset     uint64    // last index removed from the log
	OffsetTerm uint64
	Entries    []*pb.LogEntry // the first one has index Offset+1
}

// Config holds the parameters of a replica, which do not change while it
// runs. New replaces zero tick counts and zero limits by defaults, except
// TrailingEntries.
type Config struct {
	ID             string
	Rand           *rand.Rand // randomizes election timeouts
	ElectionTicks  int        // election timeouts are drawn from [ElectionTicks, 2*ElectionTicks)
	HeartbeatTicks int
	// InitialHeartbeatTicks is the interval of the first heartbeats after the
	// leader has committed an entry of its term; 0 stands for HeartbeatTicks.
	// A shorter interval helps followers that have just started, because they
	// act on a version only after the freshness counter has advanced twice. The
	// interval must exceed the network delay; otherwise both advances could date
	// from before a network partition.
	InitialHeartbeatTicks int
	// Session differs for each start of the replica and is not 0. Replies carry it,
	// so that the leader notices a restart. 0 if the starts are not told apart.
	Session uint64

	MaxMessageEntries     int    // entries in one append message
	MaxMessageBytes       int    // bytes of entry data in one append message; a larger single entry is still sent
	MaxInflight           int    // unacknowledged append messages per peer
	MaxUncommittedEntries uint64 // Propose fails at this number of uncommitted entries
	MaxUncommittedBytes   int    // the same for bytes of entry data; a larger entry is accepted if no other is uncommitted
	TrailingEntries       uint64 // entries kept below a snapshot, so that slow followers need no snapshot
}

func (c *Config) setDefaults() {
	c.ElectionTicks = orDefault(c.ElectionTicks, 10)
	c.HeartbeatTicks = orDefault(c.HeartbeatTicks, 2)
	c.InitialHeartbeatTicks = orDefault(c.InitialHeartbeatTicks, c.HeartbeatTicks)
	c.MaxMessageEntries = orDefault(c.MaxMessageEntries, 256)
	c.MaxMessageBytes = orDefault(c.MaxMessageBytes, 512<<10)
	c.MaxInflight = orDefault(c.MaxInflight, 32)
	c.MaxUncommittedEntries = orDefault(c.MaxUncommittedEntries, 4096)
	c.MaxUncommittedBytes = orDefault(c.MaxUncommittedBytes, 16<<20)
}

func orDefault[T int | uint64](value, def T) T {
	if value == 0 {
		return def
	}
	return value
}

// Raft is the consensus state of one replica. It is not safe for concurrent use.
type Raft struct {
	cfg    Config
	id     string
	role   Role
	term   uint64
	vote   string
	leader string
	log    *log

	ticks           uint64
	electionElapsed int
	electionTimeout int
	votes           map[string]bool // replies to the current campaign by voter; true if granted
	campaigns       int             // pre-vote campaigns since the last message from a leader
	leaderSeen      bool            // a leader was known at some time since New

	peers    map[string]*progress // leader only; holds every peer of the configuration
	rounds   roundState           // leader only
	counters counterState

	termStart        uint64
	uncommittedBytes int // leader only; entry data above the commit index

	savedHardState  HardState
	unsavedSnapshot *Snapshot // received from the leader, not yet saved
	messages        []*pb.RaftMessage
	reads           []ReadState
}

// New returns a replica that continues from st as a follower.
func New(cfg Config, st State) *Raft {
	cfg.setDefaults()
	r := &Raft{
		cfg:            cfg,
		id:             cfg.ID,
		term:           st.HardState.Term,
		vote:           st.HardState.Vote,
		savedHardState: st.HardState,
		log:            newLog(st),
	}
	r.becomeFollower(r.term, "")
	return r
}

// ID returns the identity of this replica.
func (r *Raft) ID() string { return r.id }

// Role returns the current role.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// TermStart returns the index of the first entry that this replica appended
// in the last term in which it was the leader, or 0 if it has not led since
// New.
func (r *Raft) TermStart() uint64 { return r.termStart }

// LeaderID returns the leader of the current term, or "" if none is known.
func (r *Raft) LeaderID() string { return r.leader }

// Commit returns the highest index that this replica knows to be committed.
func (r *Raft) Commit() uint64 { return r.log.committed }

// LastIndex returns the index of the last log entry.
func (r *Raft) LastIndex() uint64 { return r.log.last() }

// Tick advances the logical clock by one tick.
func (r *Raft) Tick() {
	r.ticks++
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.electionTimeout && r.IsVoter() {
		r.campaign(true)
		return
	}
	r.retryVoteRequests()
}

// Step handles a message from another replica. A message to another identity
// is ignored: it was sent to a replica that had the same address before and
// lost its data directory.
func (r *Raft) Step(m *pb.RaftMessage) {
	if m.To != r.id || m.From == r.id {
		return
	}
	switch {
	case m.Term > r.term:
		r.stepHigherTerm(m)
	case m.Term < r.term:
		r.stepLowerTerm(m)
	default:
		r.stepSameTerm(m)
	}
}

func (r *Raft) stepHigherTerm(m *pb.RaftMessage) {
	switch {
	case m.Type == pb.MessageType_MESSAGE_PRE_VOTE:
		r.handlePreVote(m)
		return
	case m.Type == pb.MessageType_MESSAGE_PRE_VOTE_REPLY && !m.Reject:
		// A granted pre-vote carries the requested term, which is above the current one.
		r.handlePreVoteReply(m)
		return
	}
	leader := ""
	if isLeaderMessage(m.Type) {
		leader = m.From
	}
	r.becomeFollower(m.Term, leader)
	r.stepSameTerm(m)
}

// stepLowerTerm rejects a message of an earlier term. The reply carries the
// current term, so that an outdated leader or candidate steps down.
func (r *Raft) stepLowerTerm(m *pb.RaftMessage) {
	switch m.Type {
	case pb.MessageType_MESSAGE_PRE_VOTE:
		r.send(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_PRE_VOTE_REPLY, To: m.From, Term: r.term, Reject: true})
	case pb.MessageType_MESSAGE_VOTE:
		r.send(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_VOTE_REPLY, To: m.From, Term: r.term, Reject: true})
	case pb.MessageType_MESSAGE_APPEND, pb.MessageType_MESSAGE_HEARTBEAT, pb.MessageType_MESSAGE_SNAPSHOT:
		r.send(&pb.RaftMessage{Type: pb.MessageType_MESSAGE_APPEND_REPLY, To: m.From, Term: r.term, Reject: true})
	}
}

func (r *Raft) stepSameTerm(m *pb.RaftMessage) {
	if isLeaderMessage(m.Type) {
		r.stepLeaderMessage(m)
		return
	}
	switch m.Type {
	case pb.MessageType_MESSAGE_PRE_VOTE:
		r.handlePreVote(m)
	case pb.MessageType_MESSAGE_VOTE:
		r.handleVote(m)
	case pb.MessageType_MESSAGE_VOTE_REPLY:
		r.handleVoteReply(m)
	case pb.MessageType_MESSAGE_PRE_VOTE_REPLY:
		r.handlePreVoteReply(m)
	default:
		r.stepPeerReply(m)
	}
}

func isLeaderMessage(t pb.MessageType) bool {
	return t == pb.MessageType_MESSAGE_APPEND ||
		t == pb.MessageType_MESSAGE_HEARTBEAT ||
		t == pb.MessageType_MESSAGE_SNAPSHOT
}

// send queues m for the next Ready. The caller sends it only after the state
// that it depends on is saved.
func (r *Raft) send(m *pb.RaftMessage) {
	m.From = r.id
	r.messages = append(r.messages, m)
}

func (r *Raft) becomeFollower(term uint64, leader string) {
	if term > r.term {
		r.term = term
		r.vote = ""
	}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.peers = nil
	r.rounds = roundState{}
	r.resetElection()
}

// resetElection restarts the election timer with a new random timeout. The
// timeout is shorter until the first message from a leader after the process
// started: if all replicas were down, there is no leader to wait for, and if
// there is a leader, the pre-vote fails and changes nothing.
func (r *Raft) resetElection() {
	r.electionElapsed = 0
	if r.leader != "" {
		r.leaderSeen = true
	}
	low, spread := r.cfg.ElectionTicks, r.cfg.ElectionTicks
	if !r.leaderSeen {
		low, spread = max(1, low/4), max(1, spread/2)
		if r.campaigns > 0 {
			// Replies take a round trip. A campaign that ends before they arrive
			// is followed by a second one, which no longer wins ties (see winsTie).
			low = max(1, r.cfg.ElectionTicks/2)
		}
	}
	r.electionTimeout = low + r.cfg.Rand.IntN(spread)
}
