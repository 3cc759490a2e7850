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
	h := &serverStream{s: s, ctx: ctx, stream: stream, held: map[uint64]*heldSlot{}}
	defer h.releaseAll()
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
			h.handleAsk(b.Ask)
		case *fescuepb.SlotRequest_Done:
			h.release(b.Done.Id, decodeOutcome(b.Done))
		case *fescuepb.SlotRequest_Cancel:
			h.release(b.Cancel, dispatch.Outcome{Result: dispatch.CancelledByCaller})
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

func (h *serverStream) handleAsk(a *fescuepb.SlotAsk) {
	d := h.s.Dispatcher(Pool{a.Service, a.Region})
	if d == nil {
		h.refuse(a.Id, errkind.New(errkind.NotDispatcher, "the pool is not dispatched here"), dispatch.Load{})
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	if !h.register(a.Id, &heldSlot{cancel: cancel}) {
		cancel()
		h.refuse(a.Id, errkind.New(errkind.QueueFull, "too many asks are open"), d.Load())
		return
	}
	go h.acquire(ctx, a, d)
}

func (h *serverStream) register(id uint64, e *heldSlot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || len(h.held) >= maxHeldPerStream {
		return false
	}
	h.held[id] = e
	return true
}

func (h *serverStream) acquire(ctx context.Context, a *fescuepb.SlotAsk, d *dispatch.Dispatcher) {
	t, err := d.Acquire(ctx, decodeWork(a, h.s.Now()))
	if err != nil {
		h.release(a.Id, dispatch.Outcome{})
		h.refuse(a.Id, err, d.Load())
		return
	}
	h.mu.Lock()
	e := h.held[a.Id]
	if e != nil {
		e.ticket = t
	}
	h.mu.Unlock()
	if e == nil { // withdrawn meanwhile
		t.Done(dispatch.Outcome{Result: dispatch.CancelledByCaller})
		return
	}
	h.reply(&fescuepb.SlotReply{
		Id: a.Id, Target: t.Target.ID, Address: t.Target.Addr, QueuedUs: t.QueuedFor.Microseconds(),
		Reason: t.Reason, Load: encodeLoad(d.Load()),
	})
}

func (h *serverStream) refuse(id uint64, err error, load dispatch.Load) {
	after, _ := dispatch.RetryAfter(err) // without one there is no hint
	h.reply(&fescuepb.SlotReply{
		Id: id, ErrorKind: string(errkind.Of(err)), Reason: err.Error(), RetryAfterUs: after.Microseconds(), Load: encodeLoad(load),
	})
}

// reply sends an answer. If that fails, the stream ends and gives the slot
// back.
func (h *serverStream) reply(r *fescuepb.SlotReply) {
	h.sendMu.Lock()
	defer h.sendMu.Unlock()
	_ = h.stream.Send(r)
}

// end gives a slot back or withdraws an ask.
func (h *serverStream) release(id uint64, o dispatch.Outcome) {
	h.mu.Lock()
	e := h.held[id]
	delete(h.held, id)
	h.mu.Unlock()
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

func (h *serverStream) releaseAll() {
	h.mu.Lock()
	all := h.held
	h.held, h.closed = map[uint64]*heldSlot{}, true
	h.mu.Unlock()
	for _, e := range all {
		e.release(dispatch.Outcome{Result: dispatch.CancelledByCaller})
	}
}
