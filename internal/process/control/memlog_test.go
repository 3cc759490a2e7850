package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
)

// counterInterval is that of package replica.
const counterInterval = 100 * time.Millisecond

// memLog is a replicated log of one replica in memory; it stands in for
// package replica. Cutting it off stops its counter and its reads.
type memLog struct {
	mu      sync.Mutex
	machine *state.Machine
	addr    string
	index   uint64
	counter uint64
	changed chan struct{}

	noQuorum      atomic.Bool  // reads fail and the counter stands still
	repliesToDrop atomic.Int64 // proposals that are applied but fail
}

// newMemLog returns a log for machine; addr is the address of the leader.
func newMemLog(machine *state.Machine, addr string) *memLog {
	return &memLog{machine: machine, addr: addr, counter: 1, changed: make(chan struct{})}
}

// Run advances the counter until ctx ends.
func (l *memLog) Run(ctx context.Context) error {
	tick := time.NewTicker(counterInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if l.noQuorum.Load() {
				continue
			}
			l.mu.Lock()
			l.counter++
			l.notifyChanged()
			l.mu.Unlock()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *memLog) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Propose executes a command.
func (l *memLog) Propose(ctx context.Context, data []byte) ([]byte, uint64, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	result := l.machine.Apply(l.index, data)
	l.notifyChanged()
	if l.repliesToDrop.Add(-1) >= 0 {
		return nil, 0, errkind.New(errkind.Timeout, "the answer was lost")
	}
	return result, l.index, nil
}

// Read returns the index that a read must have applied.
func (l *memLog) Read(ctx context.Context) (uint64, error) {
	if l.noQuorum.Load() {
		return 0, errkind.New(errkind.NoQuorum, "cut off")
	}
	return l.Applied(), ctx.Err()
}

// Counter returns the confirmed counter.
func (l *memLog) Counter() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counter
}

// Applied returns the index of the last command that was executed.
func (l *memLog) Applied() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index
}

// IsLeader returns true.
func (l *memLog) IsLeader() bool { return true }

// LeaderAddr returns the address of the leader.
func (l *memLog) LeaderAddr() string { return l.addr }

// Changed returns a channel that is closed at the next advance.
func (l *memLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
