package slots

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"google.golang.org/grpc"
)

// maxOpen bounds the asks of one stream that are not given back.
const maxHeldPerStream = 4096

// Server answers the asks of other entries.
type Server struct {
	fescuepb.UnimplementedSlotsServer
	// Dispatcher returns the dispatcher of a pool in this entry, or nil.
	Dispatcher func(p Pool) *dispatch.Dispatcher
	Now        func() time.Time
}

// Hold serves one entry until its stream ends, and then gives back every slot
// that it holds: the connections that used them end with the entry.
func (s *Server) Hold(stream grpc.BidiStreamingServer[fescuepb.SlotRequest, fescuepb.SlotReply]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	ss := &serverStream{s: s, ctx: ctx, stream: stream, held: map[uint64]*heldSlot{}}
	defer ss.releaseAll()
	defer cancel()
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch b := m.Body.(type) {
		case *fescuepb.SlotRequest_Ask:
			ss.handleAsk(b.Ask)
		case *fescuepb.SlotRequest_Done:
			ss.release(b.Done.Id, decodeOutcome(b.Done))
		case *fescuepb.SlotRequest_Cancel:
			ss.release(b.Cancel, dispatch.Outcome{Result: dispatch.CancelledByCaller})
		}
	}
}

// holder is the state of one stream.
type serverStream struct {
	s      *Server
	ctx    context.Context
	sendMu sync.Mutex // one Send at a time
	stream grpc.BidiStreamingServer[fescuepb.SlotRequest, fescuepb.SlotReply]

	mu     sync.Mutex
	held   map[uint64]*heldSlot
	closed bool
}

// held is an ask that was not given back yet.
type heldSlot struct {
	cancel context.CancelFunc
	ticket *dispatch.Ticket // nil while it waits
}

func (ss *serverStream) handleAsk(a *fescuepb.SlotAsk) {
	d := ss.s.Dispatcher(Pool{a.Service, a.Region})
	if d == nil {
		ss.refuse(a.Id, errkind.New(errkind.NotDispatcher, "the pool is not dispatched here"), dispatch.Load{})
		return
	}
	ctx, cancel := context.WithCancel(ss.ctx)
	if !ss.register(a.Id, &heldSlot{cancel: cancel}) {
		cancel()
		ss.refuse(a.Id, errkind.New(errkind.QueueFull, "too many asks are open"), d.Load())
		return
	}
	go ss.acquire(ctx, a, d)
}

func (ss *serverStream) register(id uint64, e *heldSlot) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.closed || len(ss.held) >= maxHeldPerStream {
		return false
	}
	ss.held[id] = e
	return true
}

func (ss *serverStream) acquire(ctx context.Context, a *fescuepb.SlotAsk, d *dispatch.Dispatcher) {
	t, err := d.Acquire(ctx, decodeWork(a, ss.s.Now()))
	if err != nil {
		ss.release(a.Id, dispatch.Outcome{})
		ss.refuse(a.Id, err, d.Load())
		return
	}
	ss.mu.Lock()
	e := ss.held[a.Id]
	if e != nil {
		e.ticket = t
	}
	ss.mu.Unlock()
	if e == nil { // withdrawn meanwhile
		t.Done(dispatch.Outcome{Result: dispatch.CancelledByCaller})
		return
	}
	ss.reply(&fescuepb.SlotReply{
		Id: a.Id, Target: t.Target.ID, Address: t.Target.Addr, QueuedUs: t.QueuedFor.Microseconds(),
		Reason: t.Reason, Load: encodeLoad(d.Load()),
	})
}

func (ss *serverStream) refuse(id uint64, err error, load dispatch.Load) {
	after, _ := dispatch.RetryAfter(err) // without one there is no hint
	ss.reply(&fescuepb.SlotReply{
		Id: id, ErrorKind: string(errkind.Of(err)), Reason: err.Error(), RetryAfterUs: after.Microseconds(), Load: encodeLoad(load),
	})
}

// reply sends an answer. If that fails, the stream ends and gives the slot
// back.
func (ss *serverStream) reply(r *fescuepb.SlotReply) {
	ss.sendMu.Lock()
	defer ss.sendMu.Unlock()
	_ = ss.stream.Send(r)
}

// end gives a slot back or withdraws an ask.
func (ss *serverStream) release(id uint64, o dispatch.Outcome) {
	ss.mu.Lock()
	e := ss.held[id]
	delete(ss.held, id)
	ss.mu.Unlock()
	if e != nil {
		e.release(o)
	}
}

func (e *heldSlot) release(o dispatch.Outcome) {
	if e.ticket != nil {
		e.ticket.Done(o)
	}
	e.cancel()
}

func (ss *serverStream) releaseAll() {
	ss.mu.Lock()
	all := ss.held
	ss.held, ss.closed = map[uint64]*heldSlot{}, true
	ss.mu.Unlock()
	for _, e := range all {
		e.release(dispatch.Outcome{Result: dispatch.CancelledByCaller})
	}
}
