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

// simNode is one replica, its disk and its applied state, which is a hash
// over all applied entries.
type simNode struct {
	*Raft
	slot    string // address; the identity changes with the disk
	disk    State
	crash   int // at the next output: 1 before the save, 2 after it
	cut     bool
	frozen  bool // the clock stands still
	applied uint64
	hash    uint64
	counter uint64
	reads   map[uint64]uint64 // token to the lowest index it may return
}

// sim is a cluster with a network that loses, delays, duplicates and
// reorders messages, and the oracle that the properties are checked against.
type sim struct {
	t       *rapid.T
	rng     *rand.Rand
	nodes   []*simNode
	pool    []*pb.RaftMessage
	window  int               // how many of the oldest messages may be delivered next
	leaders map[uint64]string // by term
	hashes  map[uint64]uint64 // applied state by index, the same on every node
	floors  map[uint64]uint64 // by counter: commit index when its round started
	top     uint64            // highest index known to be committed anywhere
	topTerm map[uint64]uint64 // term of committed entries by index
	values  int
	stats   *simStats
}

// simStats shows that the checks were not empty.
type simStats struct{ checks, terms, committed, reads, snapshots, promoted, disks, crashes, removed int }

func newSim(t *rapid.T, size int, seed uint64, stats *simStats) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), stats: stats,
		leaders: map[uint64]string{}, hashes: map[uint64]uint64{}, floors: map[uint64]uint64{}, topTerm: map[uint64]uint64{},
	}
	var peers []*pb.Peer
	for i := range size {
		slot := fmt.Sprintf("n%d", i)
		peers = append(peers, &pb.Peer{Id: slot + "#0", Addr: slot, Voter: true})
	}
	for _, p := range peers {
		n := &simNode{slot: p.Addr, disk: Bootstrap(peers)}
		s.nodes = append(s.nodes, n)
		s.boot(n, p.Id)
	}
	return s
}

// boot starts n from its disk.
func (s *sim) boot(n *simNode, id string) {
	st := n.disk
	st.Entries = slices.Clone(st.Entries)
	n.Raft = New(Config{
		ID: id, Rand: s.rng, ElectionTicks: 4, HeartbeatTicks: 1, MaxMessageEntries: 3, MaxInflight: 3, TrailingEntries: 2,
	}, st)
	n.crash, n.applied, n.hash, n.counter = 0, 0, 0, 0
	n.reads = map[uint64]uint64{}
	s.output(n)
}

func (s *sim) loseDisk(n *simNode) {
	if s.lost() >= (len(s.nodes)-1)/2 {
		return
	}
	s.stats.disks++
	n.disk = State{}
	s.boot(n, fmt.Sprintf("%s#%d", n.slot, s.rng.Uint32()|1))
}

// lost counts the replicas that are not voters, in the newest committed
// configuration or in one that may still be committed.
func (s *sim) lost() int {
	newest := slices.MaxFunc(s.nodes, func(a, b *simNode) int { return int(a.Commit()) - int(b.Commit()) })
	configs := [][]*pb.Peer{newest.log.configFor(newest.Commit()).Peers}
	for _, n := range s.nodes {
		if c, at := n.log.config(); at > newest.Commit() {
			configs = append(configs, c.Peers)
		}
	}
	lost := 0
	for _, n := range s.nodes {
		if slices.ContainsFunc(configs, func(peers []*pb.Peer) bool { return !isVoter(peers, n.id) }) {
			lost++
		}
	}
	return lost
}

// output does what the driver does with a Ready, and may crash in between.
func (s *sim) output(n *simNode) {
	before := s.top
	for {
		rd := n.Ready()
		if !rd.MustSave() && len(rd.Messages) == 0 && len(rd.Reads) == 0 {
			break
		}
		if n.crash == 1 {
			s.stats.crashes++
			s.boot(n, n.id)
			return
		}
		n.save(rd)
		if n.crash == 2 {
			s.stats.crashes++
			s.boot(n, n.id)
			return
		}
		n.Advance(rd)
		s.noteRounds(rd.Messages, before)
		for _, m := range rd.Messages {
			// Entries are shared with the sender's log; a network would copy them.
			s.pool = append(s.pool, proto.CloneOf(m))
		}
		s.checkReads(n, rd.Reads)
	}
	s.checkLeader(n)
	s.apply(n)
	s.noteCommit(n)
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

func (s *sim) noteRounds(messages []*pb.RaftMessage, commit uint64) {
	for _, m := range messages {
		if m.Type != pb.MessageType_MESSAGE_HEARTBEAT {
			continue
		}
		if c := m.Term<<32 | m.ReadSeq; s.floors[c] == 0 {
			s.floors[c] = commit
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

// checkLeader checks that a term has one leader and that its log holds every
// committed entry.
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
	for index, term := range s.topTerm {
		if got, ok := n.log.term(index); index > n.log.offset && (!ok || got != term) {
			s.t.Fatalf("leader %s of term %d lacks committed entry %d of term %d", n.id, n.term, index, term)
		}
	}
}

func (s *sim) apply(n *simNode) {
	for b := n.Committed(); b != nil; b = n.Committed() {
		if b.Snapshot != nil {
			n.applied, n.hash = b.Snapshot.Meta.Index, binary.LittleEndian.Uint64(b.Snapshot.Data)
			s.checkApplied(n)
			s.stats.snapshots++
		}
		for _, e := range b.Entries {
			if e.Index != n.applied+1 {
				s.t.Fatalf("%s applies %d after %d", n.id, e.Index, n.applied)
			}
			n.applied = e.Index
			n.hash = xxhash.Sum64String(fmt.Sprint(n.hash, e.Term, e.Type, string(e.Data)))
			s.checkApplied(n)
		}
		s.checkCounter(n, b.Counter)
	}
}

// checkApplied checks that every replica applies the same entries.
func (s *sim) checkApplied(n *simNode) {
	want, ok := s.hashes[n.applied]
	if ok && want != n.hash {
		s.t.Fatalf("%s applied another entry at %d than an earlier replica", n.id, n.applied)
	}
	s.hashes[n.applied] = n.hash
}

func (s *sim) checkCounter(n *simNode, counter uint64) {
	if counter < n.counter {
		s.t.Fatalf("counter of %s falls from %x to %x", n.id, n.counter, counter)
	}
	n.counter = counter
	if floor := s.floors[counter]; n.applied < floor {
		s.t.Fatalf("%s has counter %x with index %d, but %d was committed before its round", n.id, counter, n.applied, floor)
	}
}

func (s *sim) noteCommit(n *simNode) {
	for i := max(n.log.offset+1, s.top+1); i <= n.Commit(); i++ {
		s.topTerm[i], _ = n.log.term(i)
		s.stats.committed++
	}
	s.top = max(s.top, n.Commit())
}

// checkLogs checks log matching: an equal term at an index means equal logs
// up to it.
func (s *sim) checkLogs() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[:i] {
			agree := false
			for x := min(a.LastIndex(), b.LastIndex()); x > max(a.log.offset, b.log.offset); x-- {
				ea, eb := a.log.entries[x-a.log.offset-1], b.log.entries[x-b.log.offset-1]
				agree = agree || ea.Term == eb.Term
				if agree && (ea.Term != eb.Term || string(ea.Data) != string(eb.Data)) {
					s.t.Fatalf("logs of %s and %s differ at %d below a common entry", a.id, b.id, x)
				}
			}
		}
	}
}

// deliver hands over a message. One between replicas that are cut off is lost
// or delayed.
func (s *sim) deliver(i int, keep bool) {
	m := s.pool[i]
	if !keep {
		s.pool = slices.Delete(s.pool, i, i+1)
	}
	from, to := s.at(m.From), s.at(m.To)
	if from.cut || to.cut {
		if s.rng.IntN(2) == 0 {
			s.pool = append(s.pool, m)
		}
		return
	}
	to.Step(proto.CloneOf(m))
	s.output(to)
}

// at returns the node at the address in id, whatever its identity is now.
func (s *sim) at(id string) *simNode {
	slot, _, _ := strings.Cut(id, "#")
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.slot == slot })
	return s.nodes[i]
}

func (s *sim) tick(n *simNode) {
	if n.frozen {
		return
	}
	n.Tick()
	s.output(n)
}

// propose tries every replica that believes it leads.
func (s *sim) propose() {
	s.values++
	for _, n := range s.nodes {
		if _, _, err := n.Propose(fmt.Appendf(nil, "v%d", s.values)); err == nil {
			s.output(n)
		}
	}
}

func (s *sim) read() {
	s.values++
	for _, n := range s.nodes {
		token := uint64(s.values)
		if n.Read(token) == nil {
			n.reads[token] = s.top
			s.output(n)
		}
	}
}

// cutLeader cuts off a replica that believes it leads, and stops its clock so
// that it goes on believing it.
func (s *sim) cutLeader() {
	for _, n := range s.nodes {
		if n.role == Leader {
			n.cut, n.frozen = true, true
			return
		}
	}
}

// removeVoter lets a leader remove a voter that it does not hear, unless another
// replica is lost already.
func (s *sim) removeVoter(l *simNode) {
	if s.lost() > 0 {
		return
	}
	for _, n := range s.nodes {
		before := len(l.voters())
		if l.RemoveVoter(n.id) == nil && len(l.voters()) < before {
			s.stats.removed++
			s.output(l)
		}
	}
}

// join lets the replicas without membership, or without a leader, ask every
// leader.
func (s *sim) join() {
	for _, n := range s.nodes {
		if n.IsVoter() && n.leader != "" {
			continue
		}
		for _, l := range s.nodes {
			if !l.cut && !n.cut && l.AddLearner(&pb.Peer{Id: n.id, Addr: n.slot}) == nil {
				s.output(l)
			}
		}
	}
}

func (s *sim) compact(n *simNode) {
	data := binary.LittleEndian.AppendUint64(nil, n.hash)
	if n.applied > 0 && n.Compact(n.applied, data) != nil {
		n.disk = n.Saved()
		n.disk.Entries = slices.Clone(n.disk.Entries)
	}
}
