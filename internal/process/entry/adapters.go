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

// shiftCaps admits requests within the caps of their shifts and lets them wait for
// a unit. It implements proxy.Caps.
type shiftCaps struct {
	shared *budget.ConcurrentHolder
	store  *snapshot.Store
}

// A request waits at most maxCapWait for a unit and checks every capPollInterval
// whether one is free. The wait allows for the exchange with the control leader
// by which this entry obtains its first lease for a shift.
const (
	maxCapWait      = time.Second
	capPollInterval = 2 * time.Millisecond
)

// Acquire takes one unit of the shift's cap and waits up to maxCapWait for it. The
// error has kind ShiftCapReached.
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

// TryAcquire takes one unit of the shift's cap if one is free, without waiting.
func (c *shiftCaps) TryAcquire(shift string) (proxy.CapUnit, bool) {
	ticket, ok := c.shared.Acquire(shift)
	if !ok {
		return nil, false
	}
	return capUnit{c.shared, ticket}, true
}

// capUnit is one unit of a shift's cap. It implements proxy.CapUnit.
type capUnit struct {
	shared *budget.ConcurrentHolder
	ticket budget.Ticket
}

// Valid reports whether the unit may still be used: the lease to which it belongs
// has not expired.
func (u capUnit) Valid() bool { return u.shared.TicketValid(u.ticket) }

// Release returns the unit.
func (u capUnit) Release() { u.shared.Release(u.ticket) }

// leaseAddrs returns the gRPC addresses from which to request leases for caps: the
// control replicas, and the other entries of the data centre, which relay the
// requests to control.
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

// unique removes repeated addresses in place and preserves the order.
func unique(list []string) []string {
	seen := map[string]bool{}
	return slices.DeleteFunc(list, func(addr string) bool {
		again := seen[addr]
		seen[addr] = true
		return again
	})
}

// linkBudget limits the bytes that this entry sends to other regions. It is safe
// for concurrent use.
type linkBudget struct {
	mu     sync.Mutex
	shares *budget.LinkShares
}

// Allow takes bytes from this entry's share of the link to a region, and reports
// whether the share allowed it.
func (l *linkBudget) Allow(_, to string, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares.Allow(to, bytes, time.Now())
}

// setSnapshot applies the link rates of a snapshot.
func (l *linkBudget) setSnapshot(s *snapshot.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares.ApplySnapshot(s, time.Now())
}
