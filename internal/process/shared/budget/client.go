package budget

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
)

const (
	requestInterval = 500 * time.Millisecond
	// minInterval bounds the requests that rising demand causes.
	minInterval    = 25 * time.Millisecond
	requestTimeout = time.Second
)

// Shared is a Holder for concurrent use on the clock of package steady.
type Shared struct {
	mu     sync.Mutex
	holder *Holder
	wake   chan struct{}
	now    func() time.Time
}

// NewShared wraps a holder. The holder must not be used otherwise.
func NewShared(h *Holder) *Shared {
	return &Shared{holder: h, wake: make(chan struct{}, 1), now: steady.Now}
}

// Use takes the snapshot in force and has it acknowledged soon.
func (s *Shared) Use(snap *snapshot.Snapshot) {
	s.mu.Lock()
	s.holder.Use(snap)
	s.mu.Unlock()
	s.rouse()
}

// Acquire takes one unit of the shift. A refusal hastens the next request.
func (s *Shared) Acquire(shift string) (Ticket, bool) {
	s.mu.Lock()
	t, ok := s.holder.Acquire(shift, s.now())
	s.mu.Unlock()
	if !ok {
		s.rouse()
	}
	return t, ok
}

// Recheck reports whether the unit may still be used, after the write.
func (s *Shared) Recheck(t Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Recheck(t, s.now())
}

// Release gives the unit back when the request has ended.
func (s *Shared) Release(t Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Release(t)
}

// InUse returns the units of the shift in use, and Limit how many may be.
func (s *Shared) InUse(shift string) (inUse, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.InUse(shift), s.holder.Limit(shift, s.now())
}

func (s *Shared) rouse() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Shared) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Idle()
}

func (s *Shared) asks() *fescuepb.LeaseRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Asks(s.now())
}

// apply takes a reply and reports whether the next request should not wait.
func (s *Shared) apply(reply *fescuepb.LeaseReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.holder.term
	s.holder.Apply(reply)
	return s.holder.term != before
}

// Client keeps a holder supplied by the control leader.
type Client struct {
	Holder *Shared
	// Addrs returns the gRPC addresses of the control instances, then those of
	// relays.
	Addrs func() []string
	Dial  func(addr string) (*grpc.ClientConn, error)
	Log   *logrus.Entry

	next int // position of the instance that is asked next
}

// Run sends requests until ctx ends: every 500 ms, and sooner when a unit
// was refused or a new version is in force. Where no shift has a cap, it sends
// none.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.Holder.idle() {
			select {
			case <-c.Holder.wake:
			case <-ctx.Done():
			}
			continue
		}
		again := c.exchange(ctx)
		if !pause(ctx, minInterval) || again {
			continue
		}
		timer := time.NewTimer(requestInterval - minInterval)
		select {
		case <-timer.C:
		case <-c.Holder.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// exchange asks the instances in turn until one answers as the leader. It
// reports whether the next request should follow at once.
func (c *Client) exchange(ctx context.Context) bool {
	addrs := c.Addrs()
	for range addrs {
		addr := addrs[c.next%len(addrs)]
		reply, err := c.ask(ctx, addr)
		if err == nil {
			return c.Holder.apply(reply)
		}
		c.Log.WithError(err).WithField("addr", addr).Debug("lease request failed")
		c.next++
	}
	return false
}

func (c *Client) ask(ctx context.Context, addr string) (*fescuepb.LeaseReply, error) {
	conn, err := c.Dial(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	// A new request for each try: the reply to an earlier one is void.
	return fescuepb.NewBudgetClient(conn).Lease(ctx, c.Holder.asks())
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
