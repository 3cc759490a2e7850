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
const maxOpen = 4096

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
	h := &holder{s: s, ctx: ctx, stream: stream, held: map[uint64]*held{}}
	defer h.giveAllBack()
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
			h.ask(b.Ask)
		case *fescuepb.SlotRequest_Done:
			h.end(b.Done.Id, outcome(b.Done))
		case *fescuepb.SlotRequest_Cancel:
			h.end(b.Cancel, dispatch.Outcome{Result: dispatch.CancelledByCaller})
		}
	}
}

// holder is the state of one stream.
type holder struct {
	s      *Server
	ctx    context.Context
	sendMu sync.Mutex // one Send at a time
	stream grpc.BidiStreamingServer[fescuepb.SlotRequest, fescuepb.SlotReply]

	mu   sync.Mutex
	held map[uint64]*held
	over bool
}

// held is an ask that was not given back yet.
type held struct {
	cancel context.CancelFunc
	ticket *dispatch.Ticket // nil while it waits
}

func (h *holder) ask(a *fescuepb.SlotAsk) {
	d := h.s.Dispatcher(Pool{a.Service, a.Region})
	if d == nil {
		h.refuse(a.Id, errkind.New(errkind.NotDispatcher, "the pool is not dispatched here"), dispatch.Load{})
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	if !h.hold(a.Id, &held{cancel: cancel}) {
		cancel()
		h.refuse(a.Id, errkind.New(errkind.QueueFull, "too many asks are open"), d.Load())
		return
	}
	go h.acquire(ctx, a, d)
}

func (h *holder) hold(id uint64, e *held) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over || len(h.held) >= maxOpen {
		return false
	}
	h.held[id] = e
	return true
}

func (h *holder) acquire(ctx context.Context, a *fescuepb.SlotAsk, d *dispatch.Dispatcher) {
	t, err := d.Acquire(ctx, work(a, h.s.Now()))
	if err != nil {
		h.end(a.Id, dispatch.Outcome{})
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
		Reason: t.Reason, Load: pbLoad(d.Load()),
	})
}

func (h *holder) refuse(id uint64, err error, load dispatch.Load) {
	after, _ := dispatch.RetryAfter(err) // without one there is no hint
	h.reply(&fescuepb.SlotReply{
		Id: id, ErrorKind: string(errkind.Of(err)), Reason: err.Error(), RetryAfterUs: after.Microseconds(), Load: pbLoad(load),
	})
}

// reply sends an answer. If that fails, the stream ends and gives the slot
// back.
func (h *holder) reply(r *fescuepb.SlotReply) {
	h.sendMu.Lock()
	defer h.sendMu.Unlock()
	_ = h.stream.Send(r)
}

// end gives a slot back or withdraws an ask.
func (h *holder) end(id uint64, o dispatch.Outcome) {
	h.mu.Lock()
	e := h.held[id]
	delete(h.held, id)
	h.mu.Unlock()
	if e != nil {
		e.end(o)
	}
}

func (e *held) end(o dispatch.Outcome) {
	if e.ticket != nil {
		e.ticket.Done(o)
	}
	e.cancel()
}

func (h *holder) giveAllBack() {
	h.mu.Lock()
	all := h.held
	h.held, h.over = map[uint64]*held{}, true
	h.mu.Unlock()
	for _, e := range all {
		e.end(dispatch.Outcome{Result: dispatch.CancelledByCaller})
	}
}
