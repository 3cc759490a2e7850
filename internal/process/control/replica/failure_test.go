package replica

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// maxWriteGap is the longest time without a successful write that the design
// allows after the loss of a leader.
const maxWriteGap = 3 * time.Second

// writeWithinBound proposes at the nodes in turn until one accepts, and fails the
// test if that takes longer than maxWriteGap. Each attempt proposes another value,
// and an attempt that does not return fails the test too.
func (c *cluster) writeWithinBound(nodes []*node) {
	c.t.Helper()
	start := time.Now()
	for i := 0; ; i++ {
		ctx, cancel := context.WithTimeout(c.t.Context(), 2*maxWriteGap)
		_, _, err := nodes[i%len(nodes)].Propose(ctx, fmt.Appendf(nil, "after-%d", i))
		cancel()
		gap := time.Since(start).Round(time.Millisecond)
		if gap > maxWriteGap {
			c.t.Fatalf("no successful write for %s, want at most %s; last error: %v", gap, maxWriteGap, err)
		}
		if err == nil {
			c.t.Logf("first successful write after %s and %d attempts", gap, i+1)
			return
		}
	}
}

// Guards against elections that take longer than maxWriteGap when messages need
// 55 ms in each direction, the delay between regions. The leader is stopped.
func TestLeaderFailover(t *testing.T) {
	c := newCluster(t, 3, 55*time.Millisecond)
	l := c.leader()
	l.mustPropose("before")
	l.stop()
	c.writeWithinBound(c.others(l))
	if got := c.leader().machine.list(); got[0] != "before" {
		t.Fatalf("an acknowledged write is lost: %q", got)
	}
}

// Guards against a leader that confirms reads or writes, or advances its counter,
// while it is partitioned and its connections stay open without delivering
// messages; and against proposals that run although they were reported as not run.
func TestPartitionedLeader(t *testing.T) {
	c := newCluster(t, 3, 0)
	l := c.leader()
	l.mustPropose("before")
	c.net.setBlocked(l.cfg.Addr, true)
	counter := l.Counter()
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	if _, _, err := l.Propose(ctx, []byte("cut")); err == nil {
		t.Fatal("a leader without a quorum accepted a write")
	}
	if l.IsLeader() {
		t.Fatal("the leader did not step down")
	}
	c.writeWithinBound(c.others(l))
	readCtx, cancelRead := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancelRead()
	if _, err := l.Read(readCtx); err == nil {
		t.Fatal("a partitioned replica confirmed a read")
	}
	if got := l.Counter(); got > counter+1<<8 || got>>32 != counter>>32 {
		t.Fatalf("the counter advanced from %x to %x during the partition", counter, got)
	}
	c.net.setBlocked(l.cfg.Addr, false)
	eventually(t, 5*time.Second, "the counter advances after the partition", func() bool { return l.Counter()>>32 > counter>>32 })
}

// Guards against stale reads: a leader that was paused while another one was
// elected must not confirm a read of its old state when it resumes.
func TestPausedLeader(t *testing.T) {
	c := newCluster(t, 3, 0)
	l := c.leader()
	l.mustPropose("before")
	l.paused.Store(true)
	c.net.setBlocked(l.cfg.Addr, true)
	c.writeWithinBound(c.others(l))
	read := make(chan error, 1)
	var seen []string
	go func() {
		_, err := l.Read(t.Context())
		seen = l.machine.list()
		read <- err
	}()
	time.Sleep(100 * time.Millisecond)
	l.paused.Store(false)
	c.net.setBlocked(l.cfg.Addr, false)
	if err := <-read; err != nil {
		t.Fatal(err)
	}
	if len(seen) < 2 {
		t.Fatalf("the resumed leader confirmed a read of the old state %q", seen)
	}
}

// Guards against a replica that cannot catch up after a restart because the
// leader has compacted the entries that it missed and must send a snapshot.
func TestRestartAfterManyMissedEntries(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 0)
	l := c.leader()
	f := c.others(l)[0]
	f.stop()
	want := proposeMany(l, "v", 450)
	f.start()
	eventually(t, 8*time.Second, "the follower catches up", func() bool { return slices.Equal(f.machine.list(), want) })
	eventually(t, time.Second, "a counter at the follower", func() bool { return f.Counter() > 0 })
}

// Guards against a recovery from a lost disk that leaves too few voters to survive
// the failure of a minority right after it. With three replicas, a follower loses
// its disk. With five, the leader loses it and starts with Bootstrap still set,
// which must not restore its old identity.
func TestDiskLossThenSecondFailure(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(string(rune('0'+size)), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size, 0)
			l := c.leader()
			want := proposeMany(l, "v", 150)
			f := c.others(l)[0]
			f.cfg.Bootstrap = false
			if size == 5 {
				f = l
			}
			old := f.id
			f.loseDisk()
			l = c.leader()
			eventually(t, 10*time.Second, "the new identity is a voter", func() bool { return f.status.Load().isVoter() })
			eventually(t, 5*time.Second, "the old identity is removed", func() bool {
				return len(l.Status().Peers) == size && !slices.ContainsFunc(l.Status().Peers, func(p PeerStatus) bool { return p.ID == old })
			})
			for _, o := range c.others(f)[:(size-1)/2] {
				o.stop()
			}
			c.writeWithinBound(c.others(nil))
			if _, err := f.Read(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := f.machine.list(); !slices.Equal(got[:len(want)], want) {
				t.Fatal("acknowledged writes are lost")
			}
		})
	}
}

// Guards against a leader that acknowledges a write although its disk is full, and
// against a cluster that accepts no writes because one disk is full.
func TestLeaderDiskFull(t *testing.T) {
	c := newCluster(t, 3, 0)
	disks := c.replaceDisks()
	l := c.leader()
	disk := disks[l]
	disk.full.Store(true)
	if _, _, err := l.Propose(t.Context(), []byte("full")); errkind.Of(err) != errkind.StorageFailed {
		t.Fatalf("propose with a full disk: %v", err)
	}
	c.writeWithinBound(c.others(l))
	l.stop()
	disk.full.Store(false)
	l.start()
	want := c.leader().machine.list()
	eventually(t, 5*time.Second, "the replica catches up after space is freed", func() bool { return slices.Equal(l.machine.list(), want) })
}

// Guards against lost voters that stay in the configuration and count towards the
// quorum, and against a voter that was removed while it was down and does not
// rejoin when it is started again.
func TestRemovedVoterRejoins(t *testing.T) {
	c := newCluster(t, 5, 0)
	l := c.leader()
	l.mustPropose("before")
	away := c.others(l)[0]
	away.stop()
	var id string
	for _, p := range l.Status().Peers {
		if p.Addr == away.cfg.Addr {
			id = p.ID
		}
	}
	eventually(t, 5*time.Second, "the voter is removed", func() bool { return l.RemoveVoter(t.Context(), id) == nil })
	l.mustPropose("meanwhile")
	if got := len(l.Status().Peers); got != 4 {
		t.Fatalf("%d peers after the removal, want 4", got)
	}
	away.start()
	eventually(t, 10*time.Second, "the voter has rejoined", func() bool {
		return slices.Contains(away.machine.list(), "meanwhile") && away.status.Load().isVoter() && len(l.Status().Peers) == 5
	})
}
