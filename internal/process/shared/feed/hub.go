// Package feed implements the serving side of the gRPC method Follow.Watch, which
// pushes versions of the replicated state to followers. Control replicas use it,
// and so do entries that relay versions to other entries of their data centre.
package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"google.golang.org/grpc"
)

// Source is the content that a hub serves. The counter must never be ahead of the
// content: what Since returns must include every version that was accepted before
// the counter reached its value.
type Source interface {
	Version() uint64 // newest version
	Counter() uint64 // quorum-confirmed counter
	// Since returns the update from version base to the newest version, with whole
	// sections if the source has them.
	Since(base uint64) *fescuepb.Update
	// Page and Beat are those of view.View.
	Page(p view.Position, maxBytes int) *fescuepb.Update
	Beat(p view.Position) *fescuepb.Update
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
	// maxPageBytes bounds the content of a page before compression, which makes it
	// three to six times smaller. A follower gets one page at a time, so that the
	// counter does not wait behind the others on a narrow link: 10 KB pass a link of
	// 2 Mbit/s in 40 ms.
	maxPageBytes = 32 << 10
	// pageTimeout is how long a page may be without acknowledgement before it is sent
	// again, from the position that the follower acknowledged last.
	pageTimeout = 2 * time.Second
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
	// Pending returns the counter that the source's own source has reached while the
	// content of the source is still behind, or 0. Nil means that it never is.
	Pending func() uint64
	// OnAcknowledged is called after a request changed an acknowledged version. It
	// may be nil.
	OnAcknowledged func()
	// Sessions tracks the sessions of the followers. It may be nil.
	Sessions *Sessions
}

// Hub serves the watches of followers. A slow follower skips intermediate versions,
// because each update covers everything since the version that was sent last. An
// update that is large is sent in pages. The counter is pushed meanwhile, in updates
// without content. Hub is safe for concurrent use.
type Hub struct {
	cfg  Config
	Acks *Acks

	mu      sync.Mutex
	wake    chan struct{}
	state   sourceState
	frames  map[frameKey]*frame // encoded updates of state
	stopped bool
}

// sourceState is what all updates of a moment have in common.
type sourceState struct {
	version, counter, pending uint64
	stalled                   bool
}

// frameKey identifies an update among those of a sourceState.
type frameKey struct {
	from  view.Position
	beat  bool // without content
	whole bool // in one piece with whole sections
}

// NewHub returns a hub. Callers call Wake whenever there is something to push.
func NewHub(cfg Config) *Hub {
	return &Hub{cfg: cfg, Acks: NewAcks(), wake: make(chan struct{}), frames: map[frameKey]*frame{}}
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

// frame returns an encoded update to the current version.
func (h *Hub) frame(key frameKey) (*frame, error) {
	now := sourceState{counter: h.cfg.Source.Counter()} // read before the version, so that it cannot be ahead of it
	now.version = h.cfg.Source.Version()
	now.stalled = h.cfg.Stalled != nil && h.cfg.Stalled()
	if h.cfg.Pending != nil {
		now.pending = h.cfg.Pending()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now != h.state || len(h.frames) >= maxCachedFrames {
		h.state, h.frames = now, map[frameKey]*frame{}
	}
	if f := h.frames[key]; f != nil {
		return f, nil
	}
	u, err := h.update(key)
	if err != nil {
		return nil, err
	}
	u.Counter, u.Stalled, u.Pending = now.counter, now.stalled, now.pending
	u.Source = h.cfg.Instance
	u.Uninterrupted = h.cfg.Uninterrupted != nil && h.cfg.Uninterrupted()
	f, err := newFrame(u, !key.whole)
	if err != nil {
		return nil, err
	}
	h.frames[key] = f
	return f, nil
}

// update returns the content of a frame.
func (h *Hub) update(key frameKey) (*fescuepb.Update, error) {
	switch {
	case key.beat:
		return h.cfg.Source.Beat(key.from), nil
	case !key.whole:
		return h.cfg.Source.Page(key.from, maxPageBytes), nil
	}
	u := h.cfg.Source.Since(key.from.Version)
	if slices.ContainsFunc(u.Sections, func(s *fescuepb.Section) bool { return s.RoutesApart }) {
		return nil, errRoutesApart
	}
	return u, nil
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
	p := newPusher(h, stream, first)
	go func() {
		for {
			req, err := stream.Recv()
			if err != nil {
				cancel(err)
				return
			}
			if !req.Degraded {
				h.recordAck(req)
			}
			p.acknowledged(req)
		}
	}()
	return p.run(ctx)
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
