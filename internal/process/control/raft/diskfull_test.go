package raft

import (
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// maxRoundsPerElection limits the rounds until a change is committed after the loss
// of a leader. It stands for the 3 s of the design: an election timeout is 4 ticks
// here and 800 ms there.
const maxRoundsPerElection = 15

// round ticks every replica once and delivers the messages that were in transit.
func (s *sim) round() {
	for _, n := range s.nodes {
		s.tick(n)
	}
	s.join()
	for i := 0; i < 300 && len(s.inTransit) > 0; i++ {
		s.deliver(0, false)
	}
}

// change proposes values until the commit index advances, and fails if that takes
// more rounds than the given number of elections. It returns the number of rounds.
func (s *sim) change(when string, elections int) int {
	s.t.Helper()
	before := s.maxCommitted
	for rounds := 0; ; rounds++ {
		s.propose()
		s.round()
		if s.maxCommitted > before {
			return rounds
		}
		if rounds > elections*maxRoundsPerElection {
			s.describe()
			s.t.Fatalf("%s: no change committed in %d rounds although at most one disk was full", when, rounds)
		}
	}
}

func (s *sim) describe() {
	for _, n := range s.nodes {
		s.t.Logf("%s %s term %d leader %q down %v last %d commit %d applied %d peers %v", n.id, n.role, n.term, n.leader, n.down, n.LastIndex(), n.Commit(), n.applied, n.Peers())
		for id, p := range n.peers {
			s.t.Logf("  %s %+v", id, *p)
		}
	}
}

// nextFull returns the replica whose disk is full next: the leader, a follower, or
// the next one in order.
func (s *sim) nextFull(how string, turn int) *simNode {
	isLeader := func(n *simNode) bool { return n.role == Leader && !n.down }
	i := slices.IndexFunc(s.nodes, isLeader)
	switch {
	case how == "leader" && i >= 0:
		return s.nodes[i]
	case how == "follower" && i >= 0:
		return s.nodes[(i+1+turn%max(1, len(s.nodes)-1))%len(s.nodes)]
	}
	return s.nodes[turn%len(s.nodes)]
}

// fillDisk makes the disk of n full for some rounds, with changes and a snapshot due
// meanwhile, and then starts the replica again if it has stopped.
func (s *sim) fillDisk(n *simNode, rounds, changes, elections int) {
	n.diskFull = true
	for i := range changes {
		s.change("one disk full", elections)
		if i == changes/2 {
			s.compactAll()
		}
	}
	for range rounds {
		s.round()
	}
	n.diskFull = false
	if n.down {
		s.restart(n)
	}
}

func (s *sim) compactAll() {
	for _, n := range s.nodes {
		s.compact(n)
	}
}

func (s *sim) restart(n *simNode) {
	n.down = false
	s.boot(n, n.id)
}

// Guards against a cluster that commits no change, or a replica that stays out of
// step, because disks were full one after another, never two at once. Between two of
// them there may be some rounds or none, a restart, the loss of the leader or a
// snapshot that is lost on the way.
func TestDisksFullInTurn(t *testing.T) {
	slowest := 0
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 6}).Draw(t, "size")
		seed := xxhash.Sum64(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "seed"))
		s := newSim(t, size, seed, &simStats{})
		s.deliveryWindow = 1
		s.change("at the start", 1)
		elections := 1
		for turn := range rapid.IntRange(2, 12).Draw(t, "turns") {
			how := rapid.SampledFrom([]string{"turn", "leader", "follower"}).Draw(t, "how")
			changes := rapid.IntRange(0, 12).Draw(t, "changes")
			s.fillDisk(s.nextFull(how, turn), rapid.IntRange(0, 20).Draw(t, "rounds"), changes, elections)
			elections = 1
			switch rapid.SampledFrom([]string{"", "", "restart", "restart leader"}).Draw(t, "beside") {
			case "restart":
				s.restart(s.nodes[(turn+1)%size])
			case "restart leader":
				s.restart(s.nextFull("leader", turn))
				elections = 2 // the next candidate may be the one whose disk is full
			}
			for range rapid.SampledFrom([]int{0, 0, 2, 10}).Draw(t, "gap") {
				s.round()
			}
		}
		for range 3 {
			slowest = max(slowest, s.change("after the last", elections))
		}
		s.recoverCluster()
		s.checkLogs()
	})
	t.Logf("slowest change after the last full disk: %d rounds", slowest)
}
