package raft

import (
	"flag"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// The default run is short and repeatable; -rapid.checks and -rapid.seed
// override it.
func init() {
	flag.Set("rapid.checks", "300")
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

// step runs one random operation. Most deliver one of the oldest messages;
// a wide window reorders them strongly.
func (s *sim) step(op uint32) {
	n := s.nodes[int(op>>8)%len(s.nodes)]
	arg := int(op >> 12)
	kind := op % 1000
	switch {
	case kind < 700 && len(s.pool) > 0:
		s.deliver(arg%min(len(s.pool), s.window), false)
	case kind < 720 && len(s.pool) > 0:
		s.deliver(arg%len(s.pool), true)
	case kind < 723 && len(s.pool) > 0:
		s.pool = append(s.pool[:0:0], s.pool[arg%len(s.pool):]...)
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
		n.crash = 1 + arg%2
	case kind < 934:
		s.boot(n, n.id)
	case kind < 950:
		s.compact(n)
	case kind < 970:
		s.join()
	case kind < 980:
		n.cut, n.frozen = false, false
	case kind < 984:
		n.cut = true
	case kind < 988:
		s.cutLeader()
	case kind < 990:
		s.loseDisk(n)
	case kind < 1000:
		s.removeVoter(n)
	}
	for len(s.pool) > 200 {
		i := s.rng.IntN(len(s.pool))
		s.pool = slices.Delete(s.pool, i, i+1)
	}
}

// heal runs a perfect network until every replica votes and has applied a new
// entry.
func (s *sim) heal() {
	for _, n := range s.nodes {
		n.cut, n.frozen, n.crash = false, false, 0
	}
	for range 400 {
		for _, n := range s.nodes {
			s.tick(n)
		}
		s.join()
		s.propose()
		for i := 0; i < 300 && len(s.pool) > 0; i++ {
			s.deliver(0, false)
		}
		if s.healthy() {
			s.stats.promoted += s.replaced()
			return
		}
	}
	for _, n := range s.nodes {
		s.t.Logf("%s %s term %d leader %q last %d commit %d applied %d peers %v", n.id, n.role, n.term, n.leader, n.LastIndex(), n.Commit(), n.applied, n.Peers())
	}
	s.t.Fatalf("the cluster does not recover on a perfect network")
}

// replaced counts the voters under a new identity.
func (s *sim) replaced() int {
	count := 0
	for _, n := range s.nodes {
		if n.IsVoter() && n.id != n.slot+"#0" {
			count++
		}
	}
	return count
}

func (s *sim) healthy() bool {
	if s.lost() > 0 {
		return false
	}
	for _, n := range s.nodes {
		if !n.IsVoter() || len(n.Peers()) != len(s.nodes) || n.applied+4 < s.top || n.counter == 0 {
			return false
		}
	}
	return true
}

// Guards against lost or changed entries, two leaders in a term, stale reads,
// a falling counter and a cluster that cannot recover, under loss, delay,
// duplication, reordering, restarts, crashes around saves and disk loss.
func TestSafety(t *testing.T) {
	stats := &simStats{}
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 2, 3, 3, 5, 5}).Draw(t, "size")
		// The operations come from a seed: rapid's integers are mostly small,
		// which would favour a few operations.
		seed := xxhash.Sum64(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "seed"))
		s := newSim(t, size, seed, stats)
		s.window = rapid.SampledFrom([]int{2, 6, 40}).Draw(t, "window")
		for i := range rapid.SampledFrom([]int{100, 1000, 3000}).Draw(t, "steps") {
			s.step(s.rng.Uint32())
			if i%20 == 0 {
				s.checkLogs()
			}
		}
		s.heal()
		s.checkLogs()
		stats.checks++
	})
	t.Logf("%+v", *stats)
	if stats.terms == 0 || stats.committed == 0 || stats.reads == 0 || stats.snapshots == 0 || stats.promoted == 0 || stats.crashes == 0 || stats.removed == 0 {
		t.Fatalf("the run did not exercise every part: %+v", *stats)
	}
}
