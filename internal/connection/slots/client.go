// Package slots requests slots on targets from a dispatcher in another entry,
// and serves such requests. Only the slot request and its reply pass between the
// entries. The caller's request goes directly to the target from the entry that
// received it.
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
	// replyMargin is how long a reply may take in addition to the time that the
	// request may wait in the dispatcher's queue. Round trips within a region
	// take a few milliseconds.
	replyMargin = 120 * time.Millisecond
	// silentAfter is how long a dispatcher may leave all questions of a link without a
	// reply before it counts as absent. While the links are full, a tenth of the
	// replies take 350 ms. A dispatcher that is late answers others, and a second
	// dispatcher of the same targets would only add to their load.
	silentAfter = 500 * time.Millisecond
	// overloadedRetryAfter is when a request may come again whose dispatcher was late.
	overloadedRetryAfter = 500 * time.Millisecond
	sendQueueSize        = 1024                   // messages
	reopenDelay          = 200 * time.Millisecond // minimum time between two attempts to open a stream
	openTimeout          = time.Second
)

// ErrNoReply reports that a dispatcher did not reply to a slot request in time.
// No slot was obtained; the slot of a late reply is released.
var ErrNoReply = errkind.New(errkind.NotDispatcher, "the dispatcher did not reply in time")

// Client holds the streams to other entries. It is safe for concurrent use.
type Client struct {
	Dial func(addr string) (*grpc.ClientConn, error)
	Log  *logrus.Entry

	mu    sync.Mutex
	links map[string]*link // by gRPC address
}

// Acquire requests a slot of a pool from the entry at addr. It returns the ticket
// for the slot and the load of the pool as the reply states it, or a nil load if the
// dispatcher has not replied. The error is a
// *dispatch.Refusal or ErrNoReply, or has kind Cancelled. A dispatcher that answers other
// requests but not this one is overloaded, which is a refusal.
func (c *Client) Acquire(ctx context.Context, addr string, p Pool, w dispatch.Work, now time.Time) (*dispatch.Ticket, *dispatch.Load, error) {
	return c.link(addr).acquire(ctx, p, w, now)
}

// Pool identifies the targets of a service in a region, or one part of them if there are
// too many for one dispatcher.
type Pool struct {
	Service, Region string
	Part            int // counted from 0
}

func (c *Client) link(addr string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[addr]; l != nil {
		return l
	}
	if c.links == nil {
		c.links = map[string]*link{}
	}
	l := &link{c: c, addr: addr, pending: map[uint64]question{}}
	c.links[addr] = l
	return l
}

// CloseExcept closes the links to all addresses that are not in addrs.
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

// link is the connection to one entry. Its stream is opened by the first slot
// request, and again by the first one after a failure.
type link struct {
	c    *Client
	addr string

	mu         sync.Mutex
	sendQueue  *ring.Ring[*fescuepb.SlotRequest] // nil while there is no stream
	cancel     context.CancelFunc
	lastOpened time.Time // when the last attempt to open a stream began
	// replyDue is when a reply was first due after the last one that arrived, even if its
	// question was given up. It is zero if none is.
	replyDue time.Time
	lastID   uint64
	pending  map[uint64]question // by request ID
}

// question is a slot request without a reply.
type question struct {
	reply chan *fescuepb.SlotReply // has capacity 1; closed if the link is silent or its stream fails
	due   time.Time                // when the reply is due
}

func (l *link) acquire(ctx context.Context, p Pool, w dispatch.Work, now time.Time) (*dispatch.Ticket, *dispatch.Load, error) {
	id, reply, ok := l.sendAsk(encodeAsk(p, w, now), QueueTime(w, now), now)
	if !ok {
		return nil, nil, ErrNoReply
	}
	timer := time.NewTimer(replyTimeout(w, now))
	defer timer.Stop()
	select {
	case r, open := <-reply:
		if !open {
			return nil, nil, ErrNoReply
		}
		return l.decodeReply(r)
	case <-timer.C:
		l.cancelAsk(id)
		if l.endIfSilent(time.Now()) {
			return nil, nil, ErrNoReply
		}
		return nil, nil, dispatch.RefuseOverloaded(overloadedRetryAfter)
	case <-ctx.Done():
		l.cancelAsk(id)
		if l.endIfSilent(time.Now()) {
			return nil, nil, ErrNoReply
		}
		return nil, nil, dispatch.Cancelled(ctx)
	}
}

// endIfSilent reports whether the link is silent: a question has had no reply for silentAfter
// since it should have had it, and no other one either. All other pending questions end
// then as well, without a reply. They may still be queued at the dispatcher, but it does
// not show that it is there.
func (l *link) endIfSilent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replyDue.IsZero() || now.Sub(l.replyDue) < silentAfter {
		return false
	}
	for _, id := range l.failPendingLocked() {
		if l.sendQueue != nil {
			l.sendQueue.Offer(&fescuepb.SlotRequest{Body: &fescuepb.SlotRequest_Cancel{Cancel: id}})
		}
	}
	return true
}

// failPendingLocked ends all pending requests without a reply and returns their IDs. The
// caller holds l.mu.
func (l *link) failPendingLocked() (ids []uint64) {
	for id, q := range l.pending {
		ids = append(ids, id)
		close(q.reply)
	}
	clear(l.pending)
	return ids
}

// replyTimeout returns how long to wait for the reply to a slot request, at least
// silentAfter. The dispatcher replies to a queued request at the latest at its objective
// or deadline. A request with NoQueue or AnySlot is not queued, so the reply comes at
// once.
func replyTimeout(w dispatch.Work, now time.Time) time.Duration {
	return max(QueueTime(w, now)+replyMargin, silentAfter)
}

// QueueTime returns how long a request may wait in the dispatcher's queue.
func QueueTime(w dispatch.Work, now time.Time) time.Duration {
	if w.NoQueue || w.AnySlot {
		return 0
	}
	until := w.Deadline
	if !w.Objective.IsZero() && w.Objective.Before(until) {
		until = w.Objective
	}
	return max(until.Sub(now), 0)
}

// sendAsk registers a slot request and queues it for sending. It returns the ID of
// the request and the channel of its reply; ok is false if there is no stream or
// the send queue is full.
func (l *link) sendAsk(a *fescuepb.SlotAsk, queue time.Duration, now time.Time) (id uint64, reply chan *fescuepb.SlotReply, ok bool) {
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
	q := question{reply: make(chan *fescuepb.SlotReply, 1), due: now.Add(queue)}
	l.noteDue(q.due)
	l.pending[a.Id] = q
	return a.Id, q.reply, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteDue takes over that a reply is due. The caller holds l.mu.
func (l *link) noteDue(due time.Time) {
	if l.replyDue.IsZero() || due.Before(l.replyDue) {
		l.replyDue = due
	}
}

// startStream starts a stream, unless the last attempt began less than reopenDelay
// ago. The caller holds l.mu.
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

// runStream runs a stream until it fails, and then fails its pending requests.
func (l *link) runStream(ctx context.Context, sendQueue *ring.Ring[*fescuepb.SlotRequest]) {
	err := l.exchangeMessages(ctx, sendQueue)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sendQueue != sendQueue {
		return // the link was closed
	}
	l.c.Log.WithError(err).WithField("addr", l.addr).Info("link to a dispatcher lost")
	l.closeLocked()
}

// exchangeMessages opens a stream, sends the queued messages and delivers the
// replies until the stream fails.
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

// deliver passes a reply to its pending request. If the request is no longer
// pending, it releases the slot of the reply.
func (l *link) deliver(r *fescuepb.SlotReply) {
	l.mu.Lock()
	asked, pending := l.pending[r.Id]
	delete(l.pending, r.Id)
	l.replyDue = time.Time{}
	now := time.Now()
	for _, q := range l.pending {
		l.noteDue(later(q.due, now))
	}
	l.mu.Unlock()
	if pending {
		asked.reply <- r
		return
	}
	if r.Target != "" {
		l.send(&fescuepb.SlotRequest{Body: &fescuepb.SlotRequest_Done{Done: &fescuepb.SlotDone{Id: r.Id, Result: uint32(dispatch.CancelledByCaller)}}})
	}
}

// cancelAsk cancels a pending slot request. If the reply has already arrived, it
// releases the slot of the reply.
func (l *link) cancelAsk(id uint64) {
	l.mu.Lock()
	asked := l.pending[id]
	delete(l.pending, id)
	l.mu.Unlock()
	select {
	case r, open := <-asked.reply: // the reply arrived before the request was removed
		if open && r.Target != "" {
			l.release(id, dispatch.Outcome{Result: dispatch.CancelledByCaller})
		}
	default:
		l.send(&fescuepb.SlotRequest{Body: &fescuepb.SlotRequest_Cancel{Cancel: id}})
	}
}

// send queues a message for the stream. Without a stream the message is dropped:
// the server releases all slots of a stream when it ends.
func (l *link) send(m *fescuepb.SlotRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sendQueue != nil {
		l.sendQueue.Offer(m)
	}
}

// decodeReply returns the ticket of a reply that grants a slot, or the refusal.
func (l *link) decodeReply(r *fescuepb.SlotReply) (*dispatch.Ticket, *dispatch.Load, error) {
	load := decodeLoad(r.Load)
	if r.Target == "" {
		return nil, &load, dispatch.NewRefusal(errkind.Kind(r.ErrorKind), r.Reason, microseconds(r.RetryAfterUs))
	}
	info := dispatch.TargetInfo{ID: r.Target, Addr: r.Address, Incarnation: r.Incarnation}
	return dispatch.NewTicket(info, microseconds(r.QueuedUs), r.Reason, func(o dispatch.Outcome) { l.release(r.Id, o) }), &load, nil
}

// release returns a slot to the dispatcher with the outcome of the request.
func (l *link) release(id uint64, o dispatch.Outcome) {
	l.send(&fescuepb.SlotRequest{Body: &fescuepb.SlotRequest_Done{Done: &fescuepb.SlotDone{
		Id: id, Result: uint32(o.Result), LatencyUs: o.Latency.Microseconds(), FirstByteUs: o.FirstByte.Microseconds(), Leaving: o.Leaving,
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

// closeLocked ends the stream and fails the pending requests. The caller holds
// l.mu.
func (l *link) closeLocked() {
	if l.sendQueue == nil {
		return
	}
	l.cancel()
	l.sendQueue, l.replyDue = nil, time.Time{}
	l.failPendingLocked()
}
