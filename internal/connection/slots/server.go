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

// maxHeldPerStream bounds the slot requests of one stream that are waiting or hold
// a slot.
const maxHeldPerStream = 4096

// Server serves the slot requests of other entries.
type Server struct {
	fescuepb.UnimplementedSlotsServer
	// Slots returns the slots of a pool, or nil if this entry does not dispatch the
	// pool.
	Slots func(p Pool) dispatch.Slots
	Now   func() time.Time
}

// Hold serves the stream of one entry. When the stream ends, Hold releases every
// slot that the entry holds, because its connections to the targets end with the
// entry.
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

// serverStream is the state of one stream.
type serverStream struct {
	s      *Server
	ctx    context.Context
	sendMu sync.Mutex // serialises calls of Send
	stream grpc.BidiStreamingServer[fescuepb.SlotRequest, fescuepb.SlotReply]

	mu     sync.Mutex
	held   map[uint64]*heldSlot // by request ID
	closed bool                 // the stream ended; no further requests are registered
}

// heldSlot is a slot request that waits for a slot or holds one.
type heldSlot struct {
	cancel context.CancelFunc
	ticket *dispatch.Ticket // nil while the request waits
}

func (ss *serverStream) handleAsk(a *fescuepb.SlotAsk) {
	d := ss.s.Slots(Pool{Service: a.Service, Region: a.Region, Part: int(a.Part)})
	if d == nil {
		ss.refuse(a.Id, errkind.New(errkind.NotDispatcher, "this entry does not dispatch the pool"), dispatch.Load{})
		return
	}
	ctx, cancel := context.WithCancel(ss.ctx)
	if !ss.register(a.Id, &heldSlot{cancel: cancel}) {
		cancel()
		ss.refuse(a.Id, errkind.New(errkind.QueueFull, "too many slot requests on the stream"), d.Load())
		return
	}
	go ss.acquire(ctx, a, d)
}

// register adds a slot request. It returns false after the end of the stream or if
// the stream already has maxHeldPerStream requests.
func (ss *serverStream) register(id uint64, e *heldSlot) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.closed || len(ss.held) >= maxHeldPerStream {
		return false
	}
	ss.held[id] = e
	return true
}

func (ss *serverStream) acquire(ctx context.Context, a *fescuepb.SlotAsk, d dispatch.Slots) {
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
	if e == nil { // cancelled in the meantime
		t.Done(dispatch.Outcome{Result: dispatch.CancelledByCaller})
		return
	}
	ss.reply(&fescuepb.SlotReply{
		Id: a.Id, Target: t.Target.ID, Address: t.Target.Addr, Incarnation: t.Target.Incarnation, QueuedUs: t.QueuedFor.Microseconds(),
		Reason: t.Reason, Load: encodeLoad(d.Load()),
	})
}

func (ss *serverStream) refuse(id uint64, err error, load dispatch.Load) {
	after, _ := dispatch.RetryAfter(err) // 0 if the refusal states no retry time
	ss.reply(&fescuepb.SlotReply{
		Id: id, ErrorKind: string(errkind.Of(err)), Reason: err.Error(), RetryAfterUs: after.Microseconds(), Load: encodeLoad(load),
	})
}

// reply sends a reply. A failure is ignored, because the stream then ends and Hold
// releases its slots.
func (ss *serverStream) reply(r *fescuepb.SlotReply) {
	ss.sendMu.Lock()
	defer ss.sendMu.Unlock()
	_ = ss.stream.Send(r)
}

// release releases the slot of a request, or cancels the request if it still
// waits.
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
