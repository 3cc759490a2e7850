// Package slots asks the dispatcher of a group in another entry for slots on
// its targets, and answers such asks. Only the decision crosses the link; the
// request itself goes to the target straight from the entry that has it.
package slots

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
)

const (
	// answerMargin is how long an answer may take beyond the time that the
	// request may wait in the queue. Round trips within a region take a few
	// milliseconds.
	replyMargin   = 120 * time.Millisecond
	sendQueueSize = 1024
	reopenDelay   = 200 * time.Millisecond
	openTimeout   = time.Second
)

// ErrSilent means that an entry did not answer an ask in time. It has given no
// slot; a late answer is given back.
var ErrNoReply = errkind.New(errkind.NotDispatcher, "the dispatcher did not answer in time")

// Client holds the links to other entries. It is safe for concurrent use.
type Client struct {
	Dial func(addr string) (*grpc.ClientConn, error)
	Log  *logrus.Entry

	mu    sync.Mutex
	links map[string]*link // by gRPC address
}

// Acquire asks the entry at addr for a slot of a group and returns its load
// with the answer. The error is a *dispatch.Refusal, ErrSilent, or has kind
// Cancelled.
func (c *Client) Acquire(ctx context.Context, addr string, p Pool, w dispatch.Work, now time.Time) (*dispatch.Ticket, dispatch.Load, error) {
	return c.link(addr).acquire(ctx, p, w, now)
}

// Pool names the targets of a service in a region.
type Pool struct{ Service, Region string }

func (c *Client) link(addr string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[addr]; l != nil {
		return l
	}
	if c.links == nil {
		c.links = map[string]*link{}
	}
	l := &link{c: c, addr: addr, pending: map[uint64]chan *fescuepb.SlotReply{}}
	c.links[addr] = l
	return l
}

// Keep closes the links to all other addresses.
func (c *Client) CloseExcept(addrs map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, l := range c.links {
		if !addrs[addr] {
			l.close()
			delete(c.links, addr)
		}
	}
}

// Close closes every link.
func (c *Client) Close() { c.CloseExcept(nil) }

// link is the stream to one entry. It is opened by the first ask and again
// after a failure.
type link struct {
	c    *Client
	addr string

	mu         sync.Mutex
	sendQueue  *ring.Ring[*fescuepb.SlotRequest] // nil while there is no stream
	cancel     context.CancelFunc
	lastOpened time.Time // when the last attempt began
	lastID     uint64
	pending    map[uint64]chan *fescuepb.SlotReply // open asks; closed if the stream fails
}

func (l *link) acquire(ctx context.Context, p Pool, w dispatch.Work, now time.Time) (*dispatch.Ticket, dispatch.Load, error) {
	id, answer, ok := l.sendAsk(encodeAsk(p, w, now), now)
	if !ok {
		return nil, dispatch.Load{}, ErrNoReply
	}
	timer := time.NewTimer(replyTimeout(w, now))
	defer timer.Stop()
	select {
	case r, open := <-answer:
		if !open {
			return nil, dispatch.Load{}, ErrNoReply
		}
		return l.decodeReply(r)
	case <-timer.C:
		l.cancelAsk(id)
		return nil, dispatch.Load{}, ErrNoReply
	case <-ctx.Done():
		l.cancelAsk(id)
		return nil, dispatch.Load{}, dispatch.Cancelled(ctx)
	}
}

// patience is how long an ask may stay unanswered: a request in the queue is
// answered at the latest when it is due.
func replyTimeout(w dispatch.Work, now time.Time) time.Duration {
	if w.NoQueue || w.AnySlot {
		return replyMargin
	}
	until := w.Deadline
	if !w.Objective.IsZero() && w.Objective.Before(until) {
		until = w.Objective
	}
	return max(until.Sub(now), 0) + replyMargin
}

// begin registers an ask and hands it to the stream.
func (l *link) sendAsk(a *fescuepb.SlotAsk, now time.Time) (id uint64, answer chan *fescuepb.SlotReply, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sendQueue == nil && !l.startStream(now) {
		return 0, nil, false
	}
	l.lastID++
	a.Id = l.lastID
	if !l.sendQueue.Offer(&fescuepb.SlotRequest{Body: &fescuepb.SlotRequest_Ask{Ask: a}}) {
		return 0, nil, false
	}
	answer = make(chan *fescuepb.SlotReply, 1)
	l.pending[a.Id] = answer
	return a.Id, answer, true
}

// open starts a stream, unless the last one failed a moment ago.
func (l *link) startStream(now time.Time) bool {
	if now.Sub(l.lastOpened) < reopenDelay {
		return false
	}
	l.lastOpened = now
	ctx, cancel := context.WithCancel(context.Background())
	l.sendQueue, l.cancel = ring.New[*fescuepb.SlotRequest](sendQueueSize), cancel
	go l.runStream(ctx, l.sendQueue)
	return true
}

// run carries one stream until it fails.
func (l *link) runStream(ctx context.Context, sendQueue *ring.Ring[*fescuepb.SlotRequest]) {
	err := l.exchangeMessages(ctx, sendQueue)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sendQueue != sendQueue {
		return // closed
	}
	l.c.Log.WithError(err).WithField("addr", l.addr).Info("link to a dispatcher lost")
	l.closeLocked()
}

func (l *link) exchangeMessages(ctx context.Context, sendQueue *ring.Ring[*fescuepb.SlotRequest]) error {
	conn, err := l.c.Dial(l.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(openTimeout, cancel)
	stream, err := fescuepb.NewSlotsClient(conn).Hold(ctx)
	opening.Stop()
	if err != nil {
		return err
	}
	go func() {
		defer cancel()
		for {
			m, err := sendQueue.Take(ctx)
			if err != nil || stream.Send(m) != nil {
				return
			}
		}
	}()
	for {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		l.deliver(r)
	}
}

// deliver gives an answer to its ask. The slot of an answer that nobody waits
// for is given back.
func (l *link) deliver(r *fescuepb.SlotReply) {
	l.mu.Lock()
	answer := l.pending[r.Id]
	delete(l.pending, r.Id)
	l.mu.Unlock()
	if answer != nil {
		answer <- r
		return
	}
	if r.Target != "" {
		l.send(&fescuepb.SlotRequest{Body: &fescuepb.SlotRequest_Done{Done: &fescuepb.SlotDone{Id: r.Id, Result: uint32(dispatch.CancelledByCaller)}}})
	}
}

// withdraw takes an ask back.
func (l *link) cancelAsk(id uint64) {
	l.mu.Lock()
	answer := l.pending[id]
	delete(l.pending, id)
	l.mu.Unlock()
	select {
	case r, open := <-answer: // it came at the same moment
		if open && r.Target != "" {
			l.release(id, dispatch.Outcome{Result: dispatch.CancelledByCaller})
		}
	default:
		l.send(&fescuepb.SlotRequest{Body: &fescuepb.SlotRequest_Cancel{Cancel: id}})
	}
}

// send hands a message to the stream. Without one, the other side gives every
// slot of it back by itself.
func (l *link) send(m *fescuepb.SlotRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sendQueue != nil {
		l.sendQueue.Offer(m)
	}
}

func (l *link) decodeReply(r *fescuepb.SlotReply) (*dispatch.Ticket, dispatch.Load, error) {
	load := decodeLoad(r.Load)
	if r.Target == "" {
		return nil, load, dispatch.NewRefusal(errkind.Kind(r.ErrorKind), r.Reason, microseconds(r.RetryAfterUs))
	}
	info := dispatch.TargetInfo{ID: r.Target, Addr: r.Address}
	return dispatch.NewTicket(info, microseconds(r.QueuedUs), r.Reason, func(o dispatch.Outcome) { l.release(r.Id, o) }), load, nil
}

func (l *link) release(id uint64, o dispatch.Outcome) {
	l.send(&fescuepb.SlotRequest{Body: &fescuepb.SlotRequest_Done{Done: &fescuepb.SlotDone{
		Id: id, Result: uint32(o.Result), LatencyUs: o.Latency.Microseconds(), FirstByteUs: o.FirstByte.Microseconds(),
		Report: &fescuepb.SlotReport{
			Slots: uint32(o.Report.Slots), Running: uint32(o.Report.Running), Waiting: uint32(o.Report.Waiting), Slowness: float32(o.Report.Slowness),
		},
	}}})
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked()
}

func (l *link) closeLocked() {
	if l.sendQueue == nil {
		return
	}
	l.cancel()
	l.sendQueue = nil
	for id, answer := range l.pending {
		delete(l.pending, id)
		close(answer)
	}
}
