package raft

import (
	"fmt"
	"testing"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// growingCluster is a leader with replicas that answer all of its messages.
type growingCluster struct {
	*Raft
	silent map[string]bool
}

// settle lets the replicas that are not silent catch up, and the leader replace voters.
func (c *growingCluster) settle() {
	for range 2 {
		processReady(c.Raft)
		for _, p := range c.Peers() {
			if p.Id != c.id && !c.silent[p.Id] {
				stepReply(c.Raft, p.Id, appendReply, c.LastIndex())
			}
		}
		c.replaceVoters()
	}
}

func (c *growingCluster) join(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		id := fmt.Sprint("r", i)
		if err := c.AddLearner(&pb.Peer{Id: id, Addr: id}); err != nil {
			t.Fatalf("replica %d beside the first three: %v", i, err)
		}
		c.settle()
	}
	c.settle()
}

// Guards against control machines that find no place in the configuration: they know no
// version, and answer look-ups and operators with errors for as long as they run. With all of
// 18 machines as voters, a majority remains after the loss of a region with six.
func TestEighteenReplicasVote(t *testing.T) {
	c := &growingCluster{Raft: newLeader(Config{}, true)}
	c.join(t, 15)
	if len(c.Peers()) != 18 || len(c.voters()) != 18 {
		t.Fatalf("%d peers, %d voters of 18 replicas", len(c.Peers()), len(c.voters()))
	}
	if 18-6 < c.quorum() {
		t.Errorf("a quorum of %d does not bear the loss of six", c.quorum())
	}
}

// Guards against a bound on the voters that keeps further replicas out, and against a lost
// voter whose place no other replica takes.
func TestLearnersBeyondTheVoters(t *testing.T) {
	c := &growingCluster{Raft: newLeader(Config{}, true), silent: map[string]bool{}}
	c.join(t, MaxVoters+9)
	if len(c.Peers()) != MaxVoters+12 || len(c.voters()) != MaxVoters {
		t.Fatalf("%d peers, %d voters", len(c.Peers()), len(c.voters()))
	}
	c.silent["r0"] = true
	for _, p := range c.Peers() {
		if p.Id != c.id {
			c.peers[p.Id].lastReplyTick = c.ticks + 1000
		}
	}
	c.peers["r0"].lastReplyTick = 0
	c.ticks += 1000
	if err := c.RemoveVoter("r0"); err != nil {
		t.Fatal(err)
	}
	c.settle()
	if isVoter(c.Peers(), "r0") || len(c.voters()) != MaxVoters {
		t.Errorf("%d voters after one was removed, want %d", len(c.voters()), MaxVoters)
	}
}

// Guards against learners that are gone for good and keep new replicas out.
func TestFullConfigurationDropsAnInactiveLearner(t *testing.T) {
	c := &growingCluster{Raft: newLeader(Config{}, true), silent: map[string]bool{}}
	c.join(t, maxPeers-3)
	last := &pb.Peer{Id: "new", Addr: "new"}
	if c.AddLearner(last) == nil {
		t.Fatal("a learner was added although all peers are active")
	}
	gone := fmt.Sprint("r", maxPeers-4)
	for _, p := range c.Peers() {
		if p.Id != c.id {
			c.peers[p.Id].lastReplyTick = c.ticks + 1000
		}
	}
	c.peers[gone].lastReplyTick = 0
	c.ticks += 1000
	if err := c.AddLearner(last); err != nil || len(c.Peers()) != maxPeers {
		t.Fatalf("%v, %d peers", err, len(c.Peers()))
	}
	for _, p := range c.Peers() {
		if p.Id == gone {
			t.Error("the inactive learner is still a peer")
		}
	}
}
