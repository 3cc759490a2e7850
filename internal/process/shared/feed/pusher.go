package feed

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"google.golang.org/grpc"
)

// pusher sends the updates of one watch.
type pusher struct {
	hub    *Hub
	stream grpc.ServerStream
	whole  bool // the follower takes neither pages nor routes apart

	sent        view.Position // what the follower holds once it has got everything that was sent
	version     uint64        // latest version sent, also without content
	counter     uint64        // latest counter sent
	sentAt      time.Time     // of the latest update
	initialLeft int           // initial pushes left
	awaitsAck   bool          // a page was sent that the follower has not acknowledged
	pageSentAt  time.Time

	mu    sync.Mutex
	acked view.Position // latest position acknowledged
	acks  chan struct{} // signalled on a new one; capacity 1
}

// newPusher returns the pusher of a follower, which holds what its first request says.
func newPusher(h *Hub, stream grpc.ServerStream, first *fescuepb.WatchRequest) *pusher {
	p := &pusher{hub: h, stream: stream, whole: first.Position == nil, initialLeft: initialCounterPushes, acks: make(chan struct{}, 1)}
	p.sent = view.At(first.Version)
	if !p.whole {
		p.sent = view.PositionOf(first.Position)
	}
	p.acked = p.sent
	return p
}

// acknowledged records the position in a request of the follower.
func (p *pusher) acknowledged(req *fescuepb.WatchRequest) {
	if req.Position == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if next := view.PositionOf(req.Position); next != p.acked {
		p.acked = next
		select {
		case p.acks <- struct{}{}:
		default:
		}
	}
}

// run sends an update on each Wake, but at most one in minPushGap, and at
// initialPushInterval if the counter or the version has advanced. The pages of an
// update follow each other as fast as the follower acknowledges them.
func (p *pusher) run(ctx context.Context) error {
	fast := time.NewTicker(initialPushInterval)
	defer fast.Stop()
	ticked := false
	for {
		wake, stopped := p.hub.wakeSignal()
		if stopped {
			return errStopped
		}
		if err := p.push(ticked); err != nil {
			return err
		}
		if p.initialLeft <= 0 {
			fast.Stop()
			if err := p.awaitGap(ctx); err != nil {
				return err
			}
		}
		select {
		case <-wake:
			ticked = false
		case <-fast.C:
			ticked = true
		case <-p.acks:
			p.continueFromAck()
			ticked = false
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// push sends the update that is due. After a tick it sends only what is new.
func (p *pusher) push(ticked bool) error {
	if p.awaitsAck && time.Since(p.pageSentAt) > pageTimeout {
		p.continueFromAck()
		ticked = false
	}
	f, err := p.hub.frame(frameKey{from: p.sent, beat: p.awaitsAck, whole: p.whole})
	if err != nil {
		return err
	}
	if ticked && f.counter <= p.counter && f.version <= p.version {
		return nil
	}
	if err := p.stream.SendMsg(f); err != nil {
		return err
	}
	if f.counter > p.counter && !p.awaitsAck && !f.isPage {
		p.initialLeft--
	}
	p.counter, p.version, p.sentAt = f.counter, max(p.version, f.version), time.Now()
	switch {
	case p.awaitsAck || f.isBeat:
	case f.isPage:
		p.awaitsAck, p.pageSentAt = true, p.sentAt
	case f.version > p.sent.Version || !p.sent.IsWhole():
		p.sent = view.At(f.version)
	}
	return nil
}

// continueFromAck continues with the page after the position acknowledged last.
func (p *pusher) continueFromAck() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.awaitsAck {
		p.sent, p.awaitsAck = p.acked, false
	}
}

// awaitGap waits until minPushGap has passed since the latest update. It returns early
// if a page was acknowledged, or if the hub stops, whose followers look for another
// source at once, or with an error if ctx ends.
func (p *pusher) awaitGap(ctx context.Context) error {
	gap := time.NewTimer(minPushGap - time.Since(p.sentAt))
	defer gap.Stop()
	for {
		wake, stopped := p.hub.wakeSignal()
		if stopped {
			return nil
		}
		select {
		case <-gap.C:
			return nil
		case <-p.acks:
			if p.awaitsAck {
				p.continueFromAck()
				return p.push(false)
			}
		case <-wake:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
