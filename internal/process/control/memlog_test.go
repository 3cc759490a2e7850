package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
)

// counterInterval is how often the counter advances. It is as long as in package
// replica.
const counterInterval = 100 * time.Millisecond

// memLog is an in-memory Log of a single replica that replaces package replica in
// tests. Without a quorum, its counter does not advance and its reads fail.
type memLog struct {
	mu      sync.Mutex
	machine *state.Machine
	addr    string
	index   uint64
	counter uint64
	changed chan struct{}

	noQuorum      atomic.Bool  // if set, reads fail and the counter does not advance
	repliesToDrop atomic.Int64 // number of further proposals that are applied but return an error
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

// notifyChanged notifies the goroutines that wait for a change. The caller must
// hold mu.
func (l *memLog) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Propose applies a command at once. It fails after that if the reply is to be
// dropped.
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
		return nil, 0, errkind.New(errkind.Timeout, "the reply was dropped")
	}
	return result, l.index, nil
}

// Read returns the index of the last command applied, or an error of kind NoQuorum.
func (l *memLog) Read(ctx context.Context) (uint64, error) {
	if l.noQuorum.Load() {
		return 0, errkind.New(errkind.NoQuorum, "no quorum")
	}
	return l.Applied(), ctx.Err()
}

// Counter returns the counter.
func (l *memLog) Counter() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counter
}

// Applied returns the index of the last command applied.
func (l *memLog) Applied() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index
}

// IsLeader returns true, because there is only one replica.
func (l *memLog) IsLeader() bool { return true }

// LeaderAddr returns the address of the leader.
func (l *memLog) LeaderAddr() string { return l.addr }

// Changed returns a channel that is closed when the index or the counter advances.
func (l *memLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
