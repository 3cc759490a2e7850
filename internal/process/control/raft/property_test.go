package raft

import (
	"flag"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// The default run is short and reproducible. The flags -rapid.checks and
// -rapid.seed override it.
func init() {
	flag.Set("rapid.checks", "300")
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

// step runs the random operation op. Most operations deliver one of the oldest
// messages; the larger the delivery window, the more they are reordered.
func (s *sim) step(op uint32) {
	n := s.nodes[int(op>>8)%len(s.nodes)]
	arg := int(op >> 12)
	kind := op % 1000
	switch {
	case kind < 700 && len(s.inTransit) > 0:
		s.deliver(arg%min(len(s.inTransit), s.deliveryWindow), false)
	case kind < 720 && len(s.inTransit) > 0:
		s.deliver(arg%len(s.inTransit), true)
	case kind < 723 && len(s.inTransit) > 0:
		s.inTransit = append(s.inTransit[:0:0], s.inTransit[arg%len(s.inTransit):]...)
	case kind < 780:
		s.tick(n)
	case kind < 810:
		for _, n := range s.nodes {
			s.tick(n)
		}
	case kind < 880:
		s.propose()
	case kind < 920:
		s.read()
	case kind < 930:
		n.crashPoint = 1 + arg%2
	case kind < 934:
		s.boot(n, n.id)
	case kind < 950:
		s.compact(n)
	case kind < 970:
		s.join()
	case kind < 980:
		n.partitioned, n.clockStopped = false, false
	case kind < 984:
		n.partitioned = true
	case kind < 988:
		s.partitionLeader()
	case kind < 990:
		s.loseDisk(n)
	case kind < 1000:
		s.removeVoter(n)
	}
	for len(s.inTransit) > 200 {
		i := s.rng.IntN(len(s.inTransit))
		s.inTransit = slices.Delete(s.inTransit, i, i+1)
	}
}

// recoverCluster runs the cluster without faults until every replica is a voter
// and has applied recent entries. It fails if this takes more than 400 rounds.
func (s *sim) recoverCluster() {
	for _, n := range s.nodes {
		n.partitioned, n.clockStopped, n.crashPoint = false, false, 0
	}
	for range 400 {
		for _, n := range s.nodes {
			s.tick(n)
		}
		s.join()
		s.propose()
		for i := 0; i < 300 && len(s.inTransit) > 0; i++ {
			s.deliver(0, false)
		}
		if s.recovered() {
			s.stats.promoted += s.replacedVoters()
			return
		}
	}
	for _, n := range s.nodes {
		s.t.Logf("%s %s term %d leader %q last %d commit %d applied %d peers %v", n.id, n.role, n.term, n.leader, n.LastIndex(), n.Commit(), n.applied, n.Peers())
	}
	s.t.Fatalf("the cluster does not recover without network faults")
}

// replacedVoters counts the voters whose identity has changed.
func (s *sim) replacedVoters() int {
	count := 0
	for _, n := range s.nodes {
		if n.IsVoter() && n.id != n.addr+"#0" {
			count++
		}
	}
	return count
}

func (s *sim) recovered() bool {
	if s.nonVoters() > 0 {
		return false
	}
	for _, n := range s.nodes {
		if !n.IsVoter() || len(n.Peers()) != len(s.nodes) || n.applied+4 < s.maxCommitted || n.counter == 0 {
			return false
		}
	}
	return true
}

// Guards against lost or changed entries, two leaders in a term, stale reads, a
// decreasing freshness counter and a cluster that cannot recover. The faults are
// message loss, delay, duplication and reordering, partitions, stopped clocks,
// restarts, crashes before and after saves, and disk loss.
func TestSafety(t *testing.T) {
	stats := &simStats{}
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 2, 3, 3, 5, 5}).Draw(t, "size")
		// The operations are generated from a seed. The integers that rapid draws
		// are mostly small and would favour a few operations.
		seed := xxhash.Sum64(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "seed"))
		s := newSim(t, size, seed, stats)
		s.deliveryWindow = rapid.SampledFrom([]int{2, 6, 40}).Draw(t, "window")
		for i := range rapid.SampledFrom([]int{100, 1000, 3000}).Draw(t, "steps") {
			s.step(s.rng.Uint32())
			if i%20 == 0 {
				s.checkLogs()
			}
		}
		s.recoverCluster()
		s.checkLogs()
		stats.checks++
	})
	t.Logf("%+v", *stats)
	if stats.terms == 0 || stats.committed == 0 || stats.reads == 0 || stats.snapshots == 0 || stats.promoted == 0 || stats.crashes == 0 || stats.removed == 0 {
		t.Fatalf("the run did not cover every kind of event: %+v", *stats)
	}
}
