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
	// minInterval is the shortest interval between requests, also when refused
	// units trigger them.
	minInterval    = 25 * time.Millisecond
	requestTimeout = time.Second
)

// ConcurrentHolder is a Holder that is safe for concurrent use. It reads the
// clock of package steady.
type ConcurrentHolder struct {
	mu     sync.Mutex
	holder *Holder
	wake   chan struct{}
	now    func() time.Time
}

// NewConcurrentHolder wraps h. The caller must not use h directly afterwards.
func NewConcurrentHolder(h *Holder) *ConcurrentHolder {
	return &ConcurrentHolder{holder: h, wake: make(chan struct{}, 1), now: steady.Now}
}

// ApplySnapshot applies the snapshot in force and triggers a request, so that the
// leader soon receives the acknowledgement of the version.
func (s *ConcurrentHolder) ApplySnapshot(snap *snapshot.Snapshot) {
	s.mu.Lock()
	s.holder.ApplySnapshot(snap)
	s.mu.Unlock()
	s.wakeClient()
}

// Acquire takes one unit of the shift and reports whether one was available. A
// refusal triggers a request to the leader.
func (s *ConcurrentHolder) Acquire(shift string) (Ticket, bool) {
	s.mu.Lock()
	t, ok := s.holder.Acquire(shift, s.now())
	s.mu.Unlock()
	if !ok {
		s.wakeClient()
	}
	return t, ok
}

// TicketValid reports whether the unit may still be used. Callers check it after
// the request was written to the target.
func (s *ConcurrentHolder) TicketValid(t Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.TicketValid(t, s.now())
}

// Release returns the unit. Callers call it when the request has ended.
func (s *ConcurrentHolder) Release(t Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Release(t)
}

// InUse returns how many units of the shift are in use and how many may be.
func (s *ConcurrentHolder) InUse(shift string) (inUse, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.InUse(shift), s.holder.Limit(shift, s.now())
}

// wakeClient makes Client.Run send a request without waiting for the interval.
func (s *ConcurrentHolder) wakeClient() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *ConcurrentHolder) hasNoShifts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.HasNoShifts()
}

func (s *ConcurrentHolder) nextRequest() *fescuepb.LeaseRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.NextRequest(s.now())
}

// applyReply applies a reply and reports whether it named a new term. The next
// request should then follow immediately, because the new leader needs a report
// of all shifts.
func (s *ConcurrentHolder) applyReply(reply *fescuepb.LeaseReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.holder.term
	s.holder.ApplyReply(reply)
	return s.holder.term != before
}

// Client requests leases from the control leader for a holder.
type Client struct {
	Holder *ConcurrentHolder
	// Addrs returns the gRPC addresses of the control instances, followed by those
	// of the relays.
	Addrs func() []string
	Dial  func(addr string) (*grpc.ClientConn, error)
	Log   *logrus.Entry

	nextAddr int // index in Addrs of the address to try next
}

// Run sends requests until ctx ends: every 500 ms, and earlier when a unit was
// refused or a new version is in force. It sends none as long as no snapshot has
// had a shift.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.Holder.hasNoShifts() {
			select {
			case <-c.Holder.wake:
			case <-ctx.Done():
			}
			continue
		}
		immediate := c.requestFromLeader(ctx)
		if !sleep(ctx, minInterval) || immediate {
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

// requestFromLeader sends a request to each address in turn until the leader
// answers. It reports whether the next request should follow immediately.
func (c *Client) requestFromLeader(ctx context.Context) bool {
	addrs := c.Addrs()
	for range addrs {
		addr := addrs[c.nextAddr%len(addrs)]
		reply, err := c.sendRequest(ctx, addr)
		if err == nil {
			return c.Holder.applyReply(reply)
		}
		c.Log.WithError(err).WithField("addr", addr).Debug("lease request failed")
		c.nextAddr++
	}
	return false
}

func (c *Client) sendRequest(ctx context.Context, addr string) (*fescuepb.LeaseReply, error) {
	conn, err := c.Dial(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	// Each attempt needs a new request, because the holder accepts only the reply
	// to its latest one.
	return fescuepb.NewBudgetClient(conn).Lease(ctx, c.Holder.nextRequest())
}

// sleep waits for d and reports true, or reports false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
