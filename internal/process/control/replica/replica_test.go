package replica

import (
	"slices"
	"testing"
	"time"
)

// Guards against acknowledged proposals that are lost in a restart of the only
// replica.
func TestSingleReplicaRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	n := c.nodes[0]
	want := proposeMany(n, "v", 250)
	n.stop()
	n.start()
	if _, err := n.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := n.machine.list(); !slices.Equal(got, want) {
		t.Fatalf("%d values after the restart, want %d", len(got), len(want))
	}
	eventually(t, time.Second, "a counter after the restart", func() bool { return n.Counter() > 0 })
}

// Guards against a follower that cannot forward proposals to the leader or confirm
// reads with it.
func TestFollowerProposeAndRead(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 0)
	l := c.leader()
	f := c.others(l)[0]
	f.mustPropose("a")
	if _, err := f.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := f.machine.list(); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("follower has %q after a confirmed read", got)
	}
	eventually(t, time.Second, "a counter at the follower", func() bool { return f.Counter() > 0 })
}
