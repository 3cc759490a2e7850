// Package feed is the serving side of Follow.Watch, shared by control
// replicas and by the entries that relay to their data centre.
package feed

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"google.golang.org/grpc"
)

// Source is the content that a hub serves. The counter must not run ahead
// of the content: every version accepted before the counter took its value
// is part of what Since returns afterwards.
type Source interface {
	Version() uint64
	Counter() uint64
	Since(base uint64) *fescuepb.Update
}

const (
	// PushInterval is how often the counter is pushed when nothing changes.
	PushInterval = 500 * time.Millisecond
	// fastInterval and fastCounters let a new follower see the counter
	// advance soon after it connects; it may not act before that.
	initialPushInterval  = 60 * time.Millisecond
	initialCounterPushes = 4
	// maxCachedFrames bounds the encoded updates kept for one version.
	maxCachedFrames = 64
)

// Config configures a hub.
type Config struct {
	Instance string
	Source   Source
	// Uninterrupted reports whether the instance has followed confirmed
	// versions since its own start. Nil means never.
	Uninterrupted func() bool
	// Acknowledged is called after acknowledgements arrived; it may be nil.
	OnAcknowledged func()
	// Sessions records who follows; it may be nil.
	Sessions *Sessions
}

// Hub serves watches. A slow follower skips intermediate versions: each send
// starts from the version sent last.
type Hub struct {
	cfg  Config
	Acks *Acks

	mu      sync.Mutex
	wake    chan struct{}
	version uint64
	counter uint64
	frames  map[uint64]*frame // by base, for version and counter
	stopped bool
}

// NewHub returns a hub; call Wake whenever there is something to push.
func NewHub(cfg Config) *Hub {
	return &Hub{cfg: cfg, Acks: NewAcks(), wake: make(chan struct{}), frames: map[uint64]*frame{}}
}

// Wake makes every watch push the present version and counter.
func (h *Hub) Wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.wake)
	h.wake = make(chan struct{})
}

// Stop ends every watch, so that followers move to another source at once.
func (h *Hub) Stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.Wake()
}

func (h *Hub) wakeSignal() (<-chan struct{}, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wake, h.stopped
}

// frame returns the encoded update from base to the present version.
func (h *Hub) frame(base uint64) (*frame, error) {
	counter := h.cfg.Source.Counter() // before the version, see Source
	version := h.cfg.Source.Version()
	h.mu.Lock()
	defer h.mu.Unlock()
	if version != h.version || counter != h.counter || len(h.frames) >= maxCachedFrames {
		h.version, h.counter = version, counter
		h.frames = map[uint64]*frame{}
	}
	base = min(base, version)
	if f := h.frames[base]; f != nil {
		return f, nil
	}
	u := h.cfg.Source.Since(base)
	u.Counter = counter
	u.Source = h.cfg.Instance
	u.Uninterrupted = h.cfg.Uninterrupted != nil && h.cfg.Uninterrupted()
	f, err := newFrame(u)
	if err != nil {
		return nil, err
	}
	h.frames[base] = f
	return f, nil
}

// Watch serves one follower until its stream ends.
func (h *Hub) Watch(stream grpc.BidiStreamingServer[fescuepb.WatchRequest, fescuepb.Update]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	if !first.Degraded { // otherwise one answer is wanted and nothing is in force
		h.recordAck(first)
		done := h.Acks.WatchOpened(first.Instance)
		defer done()
	}
	if s := h.cfg.Sessions; s != nil {
		defer s.watchClosed(first)
	}
	go func() {
		for {
			req, err := stream.Recv()
			if err != nil {
				cancel(err)
				return
			}
			h.recordAck(req)
		}
	}()
	return h.pushUpdates(ctx, stream, first.Version)
}

func (h *Hub) recordAck(req *fescuepb.WatchRequest) {
	if s := h.cfg.Sessions; s != nil {
		s.recordRequest(req)
	}
	if h.Acks.Record(req) && h.cfg.OnAcknowledged != nil {
		h.cfg.OnAcknowledged()
	}
}

// push sends updates from version sent on.
func (h *Hub) pushUpdates(ctx context.Context, stream grpc.ServerStream, sent uint64) error {
	fast := time.NewTicker(initialPushInterval)
	defer fast.Stop()
	initialLeft, counter, ticked := initialCounterPushes, uint64(0), false
	for {
		wake, stopped := h.wakeSignal()
		if stopped {
			return errStopped
		}
		f, err := h.frame(sent)
		if err != nil {
			return err
		}
		if !ticked || f.counter > counter || f.version > sent {
			if err := stream.SendMsg(f); err != nil {
				return err
			}
			if f.counter > counter {
				initialLeft--
			}
			counter, sent = f.counter, max(sent, f.version)
		}
		if initialLeft <= 0 {
			fast.Stop()
		}
		select {
		case <-wake:
			ticked = false
		case <-fast.C:
			ticked = true
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
