// Package feed implements the serving side of the gRPC method Follow.Watch, which
// pushes versions of the replicated state to followers. Control replicas use it,
// and so do entries that relay versions to other entries of their data centre.
package feed

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"google.golang.org/grpc"
)

// Source is the content that a hub serves. The counter must never be ahead of the
// content: what Since returns must include every version that was accepted before
// the counter reached its value.
type Source interface {
	Version() uint64 // newest version
	Counter() uint64 // quorum-confirmed counter
	// Since returns the update from version base to the newest version.
	Since(base uint64) *fescuepb.Update
}

const (
	// PushInterval is how often the counter is pushed while no version changes.
	PushInterval = 500 * time.Millisecond
	// StallTimeout is how long a counter may stand still before its source counts
	// as stalled. At least two consecutive pushes were lost by then.
	StallTimeout = 1200 * time.Millisecond
	// A new follower may act only after it has seen the counter advance. For that
	// reason the first initialCounterPushes counter values are pushed at
	// initialPushInterval.
	initialPushInterval  = 60 * time.Millisecond
	initialCounterPushes = 4
	// minPushGap is the least time between two pushes to a follower after the initial ones.
	// A relay shares a narrow link with its callers. With a message for each version, some
	// tens of versions a second to twenty followers fill it, and the newest one waits
	// behind those that it makes obsolete.
	minPushGap = 100 * time.Millisecond
	// maxCachedFrames limits the encoded updates cached for one version and counter.
	maxCachedFrames = 64
)

// Config configures a hub.
type Config struct {
	Instance string
	Source   Source
	// Uninterrupted reports whether the instance has followed confirmed versions
	// without interruption since its start. Nil means that it has not.
	Uninterrupted func() bool
	// Stalled reports whether the counter of the source has stood still for
	// StallTimeout. Nil means that it is not known.
	Stalled func() bool
	// OnAcknowledged is called after a request changed an acknowledged version. It
	// may be nil.
	OnAcknowledged func()
	// Sessions tracks the sessions of the followers. It may be nil.
	Sessions *Sessions
}

// Hub serves the watches of followers. A slow follower skips intermediate versions,
// because each update covers everything since the version that was sent last. Hub
// is safe for concurrent use.
type Hub struct {
	cfg  Config
	Acks *Acks

	mu      sync.Mutex
	wake    chan struct{}
	version uint64
	counter uint64
	stalled bool
	frames  map[uint64]*frame // encoded updates to version and counter with stalled, by base version
	stopped bool
}

// NewHub returns a hub. Callers call Wake whenever there is something to push.
func NewHub(cfg Config) *Hub {
	return &Hub{cfg: cfg, Acks: NewAcks(), wake: make(chan struct{}), frames: map[uint64]*frame{}}
}

// Wake makes every watch push the current version and counter.
func (h *Hub) Wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.wake)
	h.wake = make(chan struct{})
}

// Stop ends every watch, so that followers change to another source at once.
func (h *Hub) Stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.Wake()
}

// wakeSignal returns a channel that the next Wake closes, and whether the hub has
// stopped.
func (h *Hub) wakeSignal() (<-chan struct{}, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wake, h.stopped
}

// frame returns the encoded update from base to the current version.
func (h *Hub) frame(base uint64) (*frame, error) {
	counter := h.cfg.Source.Counter() // read before the version, so that it cannot be ahead of it
	version := h.cfg.Source.Version()
	stalled := h.cfg.Stalled != nil && h.cfg.Stalled()
	h.mu.Lock()
	defer h.mu.Unlock()
	if version != h.version || counter != h.counter || stalled != h.stalled || len(h.frames) >= maxCachedFrames {
		h.version, h.counter, h.stalled = version, counter, stalled
		h.frames = map[uint64]*frame{}
	}
	base = min(base, version)
	if f := h.frames[base]; f != nil {
		return f, nil
	}
	u := h.cfg.Source.Since(base)
	u.Counter, u.Stalled = counter, stalled
	u.Source = h.cfg.Instance
	u.Uninterrupted = h.cfg.Uninterrupted != nil && h.cfg.Uninterrupted()
	f, err := newFrame(u)
	if err != nil {
		return nil, err
	}
	h.frames[base] = f
	return f, nil
}

// Watch serves one follower until its stream ends or the hub stops.
func (h *Hub) Watch(stream grpc.BidiStreamingServer[fescuepb.WatchRequest, fescuepb.Update]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	if !first.Degraded { // a degraded follower has no version in force and needs one update only
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

// recordAck records the acknowledgements that a request contains.
func (h *Hub) recordAck(req *fescuepb.WatchRequest) {
	if s := h.cfg.Sessions; s != nil {
		s.recordRequest(req)
	}
	if h.Acks.Record(req) && h.cfg.OnAcknowledged != nil {
		h.cfg.OnAcknowledged()
	}
}

// pushUpdates sends updates, starting from version sent, which the follower already
// has. It sends on each Wake, but at most one update in minPushGap, and at
// initialPushInterval if the counter or the version has advanced.
func (h *Hub) pushUpdates(ctx context.Context, stream grpc.ServerStream, sent uint64) error {
	fast := time.NewTicker(initialPushInterval)
	defer fast.Stop()
	initialLeft, counter, ticked, sentAt := initialCounterPushes, uint64(0), false, time.Time{}
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
			counter, sent, sentAt = f.counter, max(sent, f.version), time.Now()
		}
		if initialLeft <= 0 {
			fast.Stop()
			if err := h.awaitGap(ctx, sentAt); err != nil {
				return err
			}
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

// awaitGap waits until minPushGap has passed since a push. It returns early if the hub stops,
// whose followers look for another source at once, or with an error if ctx ends.
func (h *Hub) awaitGap(ctx context.Context, sentAt time.Time) error {
	gap := time.NewTimer(minPushGap - time.Since(sentAt))
	defer gap.Stop()
	for {
		wake, stopped := h.wakeSignal()
		if stopped {
			return nil
		}
		select {
		case <-gap.C:
			return nil
		case <-wake:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
