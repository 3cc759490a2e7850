package replica

import (
	"context"
	"errors"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/process/control/storage"
)

// faultyDisk is a file system whose writes fail with ENOSPC, in part, while full is
// set, and whose syncs fail with ENOSPC while syncFails is set. As on Linux, data
// whose sync has failed can be read, but later syncs do not write it. powerLoss
// removes all data that is not durable.
type faultyDisk struct {
	storage.OS
	full      atomic.Bool
	syncFails atomic.Bool

	mu      sync.Mutex
	durable map[string]int64 // size in bytes of the durable data, by file name
	dropped map[string]bool  // files with a failed sync
}

func newFaultyDisk() *faultyDisk {
	return &faultyDisk{durable: map[string]int64{}, dropped: map[string]bool{}}
}

// faultyFile is a file on a faultyDisk.
type faultyFile struct {
	storage.File
	name string
	disk *faultyDisk
}

func (d *faultyDisk) Create(name string) (storage.File, error) {
	f, err := d.OS.Create(name)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durable[name], d.dropped[name] = 0, false
	return faultyFile{f, name, d}, err
}

func (d *faultyDisk) Append(name string) (storage.File, error) {
	f, err := d.OS.Append(name)
	return faultyFile{f, name, d}, err
}

func (d *faultyDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durable[to], d.dropped[to] = d.durable[from], d.dropped[from]
	delete(d.durable, from)
	return d.OS.Rename(from, to)
}

func (d *faultyDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.durable, name)
	return d.OS.Remove(name)
}

// Write writes half of p if the disk is full.
func (f faultyFile) Write(p []byte) (int, error) {
	if !f.disk.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	return n, errors.Join(syscall.ENOSPC, err)
}

func (f faultyFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.syncFails.Load() {
		f.disk.dropped[f.name] = true
		return syscall.ENOSPC
	}
	info, err := os.Stat(f.name)
	if err == nil && !f.disk.dropped[f.name] {
		f.disk.durable[f.name] = info.Size()
	}
	return errors.Join(err, f.File.Sync())
}

// powerLoss removes the data that is not durable. The replica must be stopped.
func (d *faultyDisk) powerLoss() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var errs error
	for name, size := range d.durable {
		errs = errors.Join(errs, os.Truncate(name, size))
	}
	return errs
}

// replaceDisks restarts every node with its data on a faultyDisk.
func (c *cluster) replaceDisks() map[*node]*faultyDisk {
	disks := map[*node]*faultyDisk{}
	for _, n := range c.nodes {
		n.stop()
		disks[n] = newFaultyDisk()
		n.cfg.fs = disks[n]
		n.start()
	}
	return disks
}

// awaitDiskFull waits until the replica has stopped because its disk is full.
func (n *node) awaitDiskFull() {
	n.t.Helper()
	select {
	case <-n.Done():
	case <-time.After(5 * time.Second):
		n.t.Fatalf("the replica at %s runs although it could not save", n.cfg.Addr)
	}
	if err := n.Err(); !errors.Is(err, syscall.ENOSPC) {
		n.t.Fatalf("the replica at %s stopped with %v", n.cfg.Addr, err)
	}
}

// Guards against a follower that acknowledges an entry which it has read from its
// log after a failed sync, and loses it with the power: the leader does not send the
// entry again, so the follower stays out of step, and writes are unanswered as soon
// as another replica cannot save although the rest of the replicas run.
func TestPowerLossAfterFailedSync(t *testing.T) {
	c := newCluster(t, 3, 0)
	disks := c.replaceDisks()
	l := c.leader()
	l.mustPropose("before")
	f, other := c.others(l)[0], c.others(l)[1]
	disks[f].syncFails.Store(true)
	l.mustPropose("not synced")
	f.awaitDiskFull()
	f.stop()
	disks[f].syncFails.Store(false)
	f.start()
	eventually(t, 5*time.Second, "the follower is in step", func() bool { return len(f.machine.list()) == 2 })
	f.stop()
	if err := disks[f].powerLoss(); err != nil {
		t.Fatal(err)
	}
	f.start()
	eventually(t, 5*time.Second, "the follower is in step after the power loss", func() bool { return len(f.machine.list()) == 2 })
	disks[other].full.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), maxWriteGap)
	defer cancel()
	if _, _, err := l.Propose(ctx, []byte("after")); err != nil {
		t.Fatalf("write with one full disk of three: %v", err)
	}
}

// inStep reports whether the replicas have applied the same values and are voters.
func (c *cluster) inStep() bool {
	want := c.nodes[0].machine.list()
	for _, n := range c.nodes {
		if !slices.Equal(n.machine.list(), want) || !n.status.Load().isVoter() || len(n.Status().Peers) != len(c.nodes) {
			return false
		}
	}
	return true
}

// fillDisk makes the disk of n full while two changes are made at the other nodes,
// and then starts n again, first in vain while its disk is still full.
func (c *cluster) fillDisk(n *node, disk *faultyDisk) {
	c.t.Helper()
	disk.full.Store(true)
	for range 2 {
		c.writeWithinBound(c.others(n))
	}
	n.awaitDiskFull()
	n.stop()
	if _, err := Start(n.cfg); !errors.Is(err, syscall.ENOSPC) {
		c.t.Fatalf("start with a full disk: %v", err)
	}
	disk.full.Store(false)
	n.start()
	c.writeWithinBound(c.others(n))
}

// Guards against replicas that stay out of step, and against changes that are not
// accepted within maxWriteGap, after the disks of all replicas were full one after
// another, never two at once: the leader first and last, a snapshot due about every
// fourth change, and between two of them the restart of another replica. Also guards
// against a start on a full disk that fails for good or keeps the directory locked.
func TestDisksFullInTurn(t *testing.T) {
	for _, size := range []int{3, 5, 6} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size, 0)
			for _, n := range c.nodes {
				n.cfg.SnapshotEvery = 4
			}
			disks := c.replaceDisks()
			l := c.leader()
			turns := slices.Concat([]*node{l}, c.others(l))
			for i, n := range turns {
				c.fillDisk(n, disks[n])
				if i == 1 {
					o := turns[0]
					o.stop()
					o.start()
				}
			}
			l = c.leader()
			c.fillDisk(l, disks[l])
			c.writeWithinBound(c.nodes)
			eventually(t, 5*time.Second, "all replicas are in step", c.inStep)
		})
	}
}
