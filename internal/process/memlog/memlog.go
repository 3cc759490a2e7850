// Package memlog is a replicated log of one replica in memory. It stands in
// for package replica and keeps nothing across a restart.
package memlog

import (
	"context"
	"sync"
	"time"
)

// counterInterval is how often the counter advances.
const counterInterval = 100 * time.Millisecond

// Machine executes the commands of the log.
type Machine interface {
	Apply(index uint64, data []byte) []byte
}

// Log is the log; it is always the leader.
type Log struct {
	mu      sync.Mutex
	machine Machine
	addr    string
	index   uint64
	counter uint64
	changed chan struct{}
}

// New returns a log for machine; addr is the address of the leader.
func New(machine Machine, addr string) *Log {
	return &Log{machine: machine, addr: addr, counter: 1, changed: make(chan struct{})}
}

// Run advances the counter until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	tick := time.NewTicker(counterInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.mu.Lock()
			l.counter++
			l.broadcast()
			l.mu.Unlock()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Log) broadcast() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Propose executes a command.
func (l *Log) Propose(ctx context.Context, data []byte) ([]byte, uint64, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	result := l.machine.Apply(l.index, data)
	l.broadcast()
	return result, l.index, nil
}

// Read returns the index that a read must have applied.
func (l *Log) Read(ctx context.Context) (uint64, error) { return l.Applied(), ctx.Err() }

// Counter returns the confirmed counter.
func (l *Log) Counter() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counter
}

// Applied returns the index of the last command that was executed.
func (l *Log) Applied() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index
}

// IsLeader returns true.
func (l *Log) IsLeader() bool { return true }

// LeaderAddr returns the address of the leader.
func (l *Log) LeaderAddr() string { return l.addr }

// Changed returns a channel that is closed at the next advance.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
