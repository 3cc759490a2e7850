package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/budget"
	"github.com/fescuejunction/fescuejunction/internal/request/proxy"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// caps lets requests wait for a unit of their shift's cap.
type shiftCaps struct {
	shared *budget.Shared
	store  *snapshot.Store
}

// A request waits at most capWait for a unit: a lease for a shift that is
// new on this entry takes one exchange with the control leader.
const (
	maxCapWait      = time.Second
	capPollInterval = 2 * time.Millisecond
)

// Acquire takes one unit of the shift's cap.
func (c *shiftCaps) Acquire(ctx context.Context, shift string) (proxy.CapUnit, error) {
	if ticket, ok := c.shared.Acquire(shift); ok {
		return capUnit{c.shared, ticket}, nil
	}
	if c.store.Load().Shifts[shift].Cap == 0 {
		return nil, errkind.New(errkind.ShiftCapReached, "the cap of shift %q is 0", shift)
	}
	ctx, cancel := context.WithTimeout(ctx, maxCapWait)
	defer cancel()
	ticker := time.NewTicker(capPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, errkind.New(errkind.ShiftCapReached, "the cap of shift %q is reached", shift)
		case <-ticker.C:
			if ticket, ok := c.shared.Acquire(shift); ok {
				return capUnit{c.shared, ticket}, nil
			}
		}
	}
}

// TryAcquire takes one unit of the shift's cap if there is one now.
func (c *shiftCaps) TryAcquire(shift string) (proxy.CapUnit, bool) {
	ticket, ok := c.shared.Acquire(shift)
	if !ok {
		return nil, false
	}
	return capUnit{c.shared, ticket}, true
}

type capUnit struct {
	shared *budget.Shared
	ticket budget.Ticket
}

// Valid reports whether the unit may still be used.
func (u capUnit) Valid() bool { return u.shared.Recheck(u.ticket) }

// Release gives the unit back.
func (u capUnit) Release() { u.shared.Release(u.ticket) }

// leaseAddrs returns the addresses to ask for units of caps: the control
// replicas, and the other entries of the data centre as relays to them.
func (p *process) leaseAddrs() []string {
	out := slices.Concat(*p.control.Load(), p.settings.Peers)
	if s := p.store.Load(); s != nil {
		for _, m := range s.Entries(p.settings.DataCentre) {
			out = append(out, m.GrpcAddr)
		}
	}
	out = slices.DeleteFunc(out, func(addr string) bool { return addr == "" || addr == p.settings.GRPCAddr })
	return unique(out)
}

// unique removes repeated addresses and keeps the order.
func unique(list []string) []string {
	seen := map[string]bool{}
	return slices.DeleteFunc(list, func(addr string) bool {
		again := seen[addr]
		seen[addr] = true
		return again
	})
}

// linkBudget limits the bytes that this entry sends to other regions.
type linkBudget struct {
	mu     sync.Mutex
	shares *budget.LinkShares
}

// Allow takes bytes from this entry's share of a link.
func (l *linkBudget) Allow(_, to string, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares.Allow(to, bytes, time.Now())
}

func (l *linkBudget) setSnapshot(s *snapshot.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares.Use(s, time.Now())
}
