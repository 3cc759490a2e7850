package raft

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// simNode is one replica with its disk and its applied state. The state is a
// hash over all applied entries.
type simNode struct {
	*Raft
	addr         string // part of the identity that stays when the disk is lost
	disk         State
	crashPoint   int // crash at the next output: 1 before the save, 2 after it, 0 never
	partitioned  bool
	clockStopped bool // ticks are ignored
	diskFull     bool // the next save fails
	down         bool // stopped after a failed save; ticks and messages are lost
	applied      uint64
	stateHash    uint64
	counter      uint64
	reads        map[uint64]uint64 // by token: lowest index that the read may return
}

// sim is a cluster whose network loses, delays, duplicates and reorders messages.
// It also records what the replicas do, to check the safety properties.
type sim struct {
	t              *rapid.T
	rng            *rand.Rand
	nodes          []*simNode
	inTransit      []*pb.RaftMessage
	deliveryWindow int               // number of oldest messages from which the next delivery is chosen
	leaders        map[uint64]string // identity by term
	stateHashes    map[uint64]uint64 // by applied index; must be equal on every node
	counterCommits map[uint64]uint64 // by freshness counter: commit index at the start of its round
	maxCommitted   uint64            // highest commit index of any node
	committedTerms map[uint64]uint64 // term of each committed entry, by index
	lastID         int
	lastSession    uint64
	stats          *simStats
}

// simStats counts the events of a run, to show that the checks covered them.
type simStats struct{ checks, terms, committed, reads, snapshots, promoted, disks, crashes, removed int }

func newSim(t *rapid.T, size int, seed uint64, stats *simStats) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), stats: stats,
		leaders: map[uint64]string{}, stateHashes: map[uint64]uint64{}, counterCommits: map[uint64]uint64{}, committedTerms: map[uint64]uint64{},
	}
	var peers []*pb.Peer
	for i := range size {
		addr := fmt.Sprintf("n%d", i)
		peers = append(peers, &pb.Peer{Id: addr + "#0", Addr: addr, Voter: true})
	}
	for _, p := range peers {
		n := &simNode{addr: p.Addr, disk: Bootstrap(peers)}
		s.nodes = append(s.nodes, n)
		s.boot(n, p.Id)
	}
	return s
}

// boot starts n from its disk with the identity id.
func (s *sim) boot(n *simNode, id string) {
	st := n.disk
	st.Entries = slices.Clone(st.Entries)
	s.lastSession++
	n.Raft = New(Config{
		ID: id, Rand: s.rng, Session: s.lastSession, ElectionTicks: 4, HeartbeatTicks: 1, MaxMessageEntries: 3, MaxInflight: 3, TrailingEntries: 2,
	}, st)
	n.crashPoint, n.applied, n.stateHash, n.counter = 0, 0, 0, 0
	n.reads = map[uint64]uint64{}
	s.processReady(n)
}

func (s *sim) loseDisk(n *simNode) {
	if s.nonVoters() >= (len(s.nodes)-1)/2 {
		return
	}
	s.stats.disks++
	n.disk = State{}
	s.boot(n, fmt.Sprintf("%s#%d", n.addr, s.rng.Uint32()|1))
}

// nonVoters counts the replicas that are not voters in the newest committed
// configuration or in one that may still be committed.
func (s *sim) nonVoters() int {
	newest := slices.MaxFunc(s.nodes, func(a, b *simNode) int { return int(a.Commit()) - int(b.Commit()) })
	configs := [][]*pb.Peer{newest.log.configFor(newest.Commit()).Peers}
	for _, n := range s.nodes {
		if c, at := n.log.config(); at > newest.Commit() {
			configs = append(configs, c.Peers)
		}
	}
	nonVoters := 0
	for _, n := range s.nodes {
		if slices.ContainsFunc(configs, func(peers []*pb.Peer) bool { return !isVoter(peers, n.id) }) {
			nonVoters++
		}
	}
	return nonVoters
}

// processReady processes the output of n as the caller of Raft does. It may crash
// n before or after the save.
func (s *sim) processReady(n *simNode) {
	before := s.maxCommitted
	for {
		rd := n.Ready()
		if !rd.MustSave() && len(rd.Messages) == 0 && len(rd.Reads) == 0 {
			break
		}
		if n.diskFull && rd.MustSave() {
			n.down = true
			return
		}
		if n.crashPoint == 1 {
			s.stats.crashes++
			s.boot(n, n.id)
			return
		}
		n.save(rd)
		if n.crashPoint == 2 {
			s.stats.crashes++
			s.boot(n, n.id)
			return
		}
		n.Advance(rd)
		s.recordRounds(rd.Messages, before)
		for _, m := range rd.Messages {
			// Entries are shared with the sender's log; a network would copy them.
			s.inTransit = append(s.inTransit, proto.CloneOf(m))
		}
		s.checkReads(n, rd.Reads)
	}
	s.checkLeader(n)
	s.apply(n)
	s.recordCommit(n)
}

func (n *simNode) save(rd Ready) {
	if rd.Snapshot != nil {
		n.disk.Snapshot = rd.Snapshot
		n.disk.Offset, n.disk.OffsetTerm, n.disk.Entries = rd.Snapshot.Meta.Index, rd.Snapshot.Meta.Term, nil
	}
	if rd.HardState != nil {
		n.disk.HardState = *rd.HardState
	}
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - n.disk.Offset - 1
		n.disk.Entries = append(slices.Clone(n.disk.Entries[:keep]), rd.Entries...)
	}
}

func (s *sim) recordRounds(messages []*pb.RaftMessage, commit uint64) {
	for _, m := range messages {
		if m.Type != pb.MessageType_MESSAGE_HEARTBEAT {
			continue
		}
		if c := m.Term<<32 | m.ReadSeq; s.counterCommits[c] == 0 {
			s.counterCommits[c] = commit
		}
	}
}

func (s *sim) checkReads(n *simNode, reads []ReadState) {
	for _, rs := range reads {
		if rs.Index < n.reads[rs.Token] {
			s.t.Fatalf("stale read: %s returned index %d although %d was committed before", n.id, rs.Index, n.reads[rs.Token])
		}
		s.stats.reads++
	}
}

// checkLeader checks that a term has at most one leader and that the log of the
// leader holds every committed entry.
func (s *sim) checkLeader(n *simNode) {
	if n.role != Leader {
		return
	}
	if other, ok := s.leaders[n.term]; ok {
		if other != n.id {
			s.t.Fatalf("two leaders in term %d: %s and %s", n.term, other, n.id)
		}
		return
	}
	s.leaders[n.term] = n.id
	s.stats.terms++
	for index, term := range s.committedTerms {
		if got, ok := n.log.term(index); index > n.log.offset && (!ok || got != term) {
			s.t.Fatalf("leader %s of term %d lacks committed entry %d of term %d", n.id, n.term, index, term)
		}
	}
}

func (s *sim) apply(n *simNode) {
	for b := n.Committed(); b != nil; b = n.Committed() {
		if b.Snapshot != nil {
			n.applied, n.stateHash = b.Snapshot.Meta.Index, binary.LittleEndian.Uint64(b.Snapshot.Data)
			s.checkApplied(n)
			s.stats.snapshots++
		}
		for _, e := range b.Entries {
			if e.Index != n.applied+1 {
				s.t.Fatalf("%s applies entry %d after entry %d", n.id, e.Index, n.applied)
			}
			n.applied = e.Index
			n.stateHash = xxhash.Sum64String(fmt.Sprint(n.stateHash, e.Term, e.Type, string(e.Data)))
			s.checkApplied(n)
		}
		s.checkCounter(n, b.Counter)
	}
}

// checkApplied checks that all replicas apply the same entries up to an index.
func (s *sim) checkApplied(n *simNode) {
	want, ok := s.stateHashes[n.applied]
	if ok && want != n.stateHash {
		s.t.Fatalf("the state of %s at index %d differs from that of an earlier replica", n.id, n.applied)
	}
	s.stateHashes[n.applied] = n.stateHash
}

func (s *sim) checkCounter(n *simNode, counter uint64) {
	if counter < n.counter {
		s.t.Fatalf("the counter of %s decreases from %x to %x", n.id, n.counter, counter)
	}
	n.counter = counter
	if floor := s.counterCommits[counter]; n.applied < floor {
		s.t.Fatalf("%s has counter %x at applied index %d, but index %d was committed before the round of the counter", n.id, counter, n.applied, floor)
	}
}

func (s *sim) recordCommit(n *simNode) {
	for i := max(n.log.offset+1, s.maxCommitted+1); i <= n.Commit(); i++ {
		s.committedTerms[i], _ = n.log.term(i)
		s.stats.committed++
	}
	s.maxCommitted = max(s.maxCommitted, n.Commit())
}

// checkLogs checks the log matching property: if two logs have entries of equal
// term at an index, they are equal up to that index.
func (s *sim) checkLogs() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[:i] {
			agree := false
			for x := min(a.LastIndex(), b.LastIndex()); x > max(a.log.offset, b.log.offset); x-- {
				ea, eb := a.log.entries[x-a.log.offset-1], b.log.entries[x-b.log.offset-1]
				agree = agree || ea.Term == eb.Term
				if agree && (ea.Term != eb.Term || string(ea.Data) != string(eb.Data)) {
					s.t.Fatalf("the logs of %s and %s differ at index %d below a common entry", a.id, b.id, x)
				}
			}
		}
	}
}

// deliver delivers message i, and leaves a duplicate in transit if keep is set. A
// message from or to a partitioned replica is lost or delayed instead.
func (s *sim) deliver(i int, keep bool) {
	m := s.inTransit[i]
	if !keep {
		s.inTransit = slices.Delete(s.inTransit, i, i+1)
	}
	from, to := s.nodeAt(m.From), s.nodeAt(m.To)
	if to.down {
		return
	}
	if from.partitioned || to.partitioned {
		if s.rng.IntN(2) == 0 {
			s.inTransit = append(s.inTransit, m)
		}
		return
	}
	to.Step(proto.CloneOf(m))
	s.processReady(to)
}

// nodeAt returns the node at the address in id, also if its identity has changed.
func (s *sim) nodeAt(id string) *simNode {
	addr, _, _ := strings.Cut(id, "#")
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.addr == addr })
	return s.nodes[i]
}

func (s *sim) tick(n *simNode) {
	if n.clockStopped || n.down {
		return
	}
	n.Tick()
	s.processReady(n)
}

// propose proposes a new value at every replica that considers itself leader.
func (s *sim) propose() {
	s.lastID++
	for _, n := range s.nodes {
		if n.down {
			continue
		}
		if _, _, err := n.Propose(fmt.Appendf(nil, "v%d", s.lastID)); err == nil {
			s.processReady(n)
		}
	}
}

func (s *sim) read() {
	s.lastID++
	for _, n := range s.nodes {
		token := uint64(s.lastID)
		if n.Read(token) == nil {
			n.reads[token] = s.maxCommitted
			s.processReady(n)
		}
	}
}

// partitionLeader partitions a replica that considers itself leader. It also stops
// the clock of the replica, which therefore does not step down.
func (s *sim) partitionLeader() {
	for _, n := range s.nodes {
		if n.role == Leader {
			n.partitioned, n.clockStopped = true, true
			return
		}
	}
}

// removeVoter makes l remove each voter that it accepts to remove. It does nothing
// if some replica is not a voter already.
func (s *sim) removeVoter(l *simNode) {
	if s.nonVoters() > 0 {
		return
	}
	for _, n := range s.nodes {
		before := len(l.voters())
		if l.RemoveVoter(n.id) == nil && len(l.voters()) < before {
			s.stats.removed++
			s.processReady(l)
		}
	}
}

// join makes every replica that is not a voter, or knows no leader, ask all
// leaders to be added as a learner.
func (s *sim) join() {
	for _, n := range s.nodes {
		if n.IsVoter() && n.leader != "" {
			continue
		}
		for _, l := range s.nodes {
			if !l.partitioned && !n.partitioned && l.AddLearner(&pb.Peer{Id: n.id, Addr: n.addr}) == nil {
				s.processReady(l)
			}
		}
	}
}

func (s *sim) compact(n *simNode) {
	data := binary.LittleEndian.AppendUint64(nil, n.stateHash)
	if n.down || n.applied == 0 || n.Compact(n.applied, data) == nil {
		return
	}
	if n.diskFull {
		n.down = true
		return
	}
	n.disk = n.CompactedState()
	n.disk.Entries = slices.Clone(n.disk.Entries)
}
