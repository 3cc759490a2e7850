// Package raft is the replication state machine of the control replicas. It
// performs no I/O and owns neither a clock nor a source of randomness: Tick,
// Step and Propose feed it, and Ready returns what must be saved and sent.
//
// A caller drives it from one goroutine:
//
//  1. feed inputs (Tick, Step, Propose, Read),
//  2. take Ready, save it durably, then call Advance,
//  3. only then send the messages of that Ready,
//  4. take Committed and apply it.
package raft

import (
	"math/rand/v2"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// Role is the part a replica plays in its term.
type Role uint8

// The roles.
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

// HardState is the state that must be durable before a message leaves.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64 // may lag behind: a lost value is learned again
}

// Snapshot is the applied state up to and including Meta.Index.
type Snapshot struct {
	Meta *pb.SnapshotMeta
	Data []byte
}

// State is what a replica recovers from its storage.
type State struct {
	HardState  HardState
	Snapshot   *Snapshot // nil if none was taken
	Offset     uint64    // last index removed from the log
	OffsetTerm uint64
	Entries    []*pb.LogEntry // from Offset+1
}

// Config holds the fixed parameters of a replica. Zero limits get defaults.
type Config struct {
	ID             string
	Rand           *rand.Rand // randomizes election timeouts
	ElectionTicks  int        // timeouts are drawn from [ElectionTicks, 2*ElectionTicks)
	HeartbeatTicks int
	// SettlingTicks is the time between the first heartbeats of a term with a
	// committed entry; HeartbeatTicks if it is 0. Followers that just started act
	// on a version only after the counter has advanced twice. It must be longer than
	// a message is under way, or two advances could come from before a cut.
	SettlingTicks int

	MaxMessageEntries     int    // entries in one append message
	MaxMessageBytes       int    // bytes of entry data in one append message, at least one entry
	MaxInflight           int    // unacknowledged append messages per peer
	MaxUncommittedEntries uint64 // proposals beyond it are refused
	MaxUncommittedBytes   int
	TrailingEntries       uint64 // entries kept below a snapshot for followers slightly behind
}

func (c *Config) setDefaults() {
	c.ElectionTicks = orDefault(c.ElectionTicks, 10)
	c.HeartbeatTicks = orDefault(c.HeartbeatTicks, 2)
	c.SettlingTicks = orDefault(c.SettlingTicks, c.HeartbeatTicks)
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

// Raft is one replica's state. It is not safe for concurrent use.
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
	votes           map[string]bool // answers to the current campaign
	campaigns       int             // pre-votes since a leader was last heard
	heardLeader     bool            // since the start

	peers    map[string]*progress // leader only; holds every peer of the configuration
	rounds   roundState           // leader only
	counters counterState

	termStart        uint64
	uncommittedBytes int // leader only

	savedHard HardState
	saveSnap  *Snapshot // received, not yet saved
	messages  []*pb.RaftMessage
	reads     []ReadState
}

// New returns a follower that continues from st.
func New(cfg Config, st State) *Raft {
	cfg.setDefaults()
	r := &Raft{
		cfg:       cfg,
		id:        cfg.ID,
		term:      st.HardState.Term,
		vote:      st.HardState.Vote,
		savedHard: st.HardState,
		log:       newLog(st),
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
// as leader, in its latest term as leader.
func (r *Raft) TermStart() uint64 { return r.termStart }

// LeaderID returns the leader of the current term, or "" if none is known.
func (r *Raft) LeaderID() string { return r.leader }

// Commit returns the last index known to be committed.
func (r *Raft) Commit() uint64 { return r.log.committed }

// LastIndex returns the last index of the log.
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
	r.tickCampaign()
}

// Step handles a message from another replica. A message for another
// identity is ignored: it is meant for a predecessor at the same address.
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
		// A granted pre-vote carries the term that was asked for.
		r.handlePreVoteReply(m)
		return
	}
	leader := ""
	if fromLeader(m.Type) {
		leader = m.From
	}
	r.becomeFollower(m.Term, leader)
	r.stepSameTerm(m)
}

// stepLowerTerm answers with the own term, so that a leader or candidate
// that was left behind learns of it.
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
	if fromLeader(m.Type) {
		r.stepFromLeader(m)
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
		r.stepLeader(m)
	}
}

func fromLeader(t pb.MessageType) bool {
	return t == pb.MessageType_MESSAGE_APPEND ||
		t == pb.MessageType_MESSAGE_HEARTBEAT ||
		t == pb.MessageType_MESSAGE_SNAPSHOT
}

// send queues m. Messages leave only after the state they depend on is saved.
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

// resetElection draws a new election timeout. It is shorter while no leader was
// heard since the start: after all replicas were down there is none to wait for,
// and if there is one, the pre-vote fails and changes nothing.
func (r *Raft) resetElection() {
	r.electionElapsed = 0
	if r.leader != "" {
		r.heardLeader = true
	}
	low, spread := r.cfg.ElectionTicks, r.cfg.ElectionTicks
	if !r.heardLeader {
		low, spread = max(1, low/4), max(1, spread/2)
		if r.campaigns > 0 {
			low = max(1, r.cfg.ElectionTicks/2) // the answers of the others take a while
		}
	}
	r.electionTimeout = low + r.cfg.Rand.IntN(spread)
}
