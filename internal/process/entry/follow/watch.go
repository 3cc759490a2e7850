package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/feed"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
)

const (
	// ackDelay is how long an acknowledgement waits for those of other instances
	// that this one relays, so that one message carries them all.
	ackDelay = 20 * time.Millisecond
)

// watch is one stream of updates from a source.
type watch struct {
	source
	progress watchProgress
	cancel   context.CancelFunc
	acks     chan struct{}
	session  atomic.Uint64 // 0 until the watch becomes the current one
	heardAt  time.Time     // when the last update was received; zero before the first
}

// event is an update received on a watch, or the error that ended it.
type event struct {
	watch  *watch
	update *fescuepb.Update
	err    error
}

// openWatch starts a watch that delivers its updates to events. It ends when its
// cancel function is called; if it fails before, it delivers the error.
func (f *Follower) openWatch(ctx context.Context, s source, events *ring.Ring[event]) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{source: s, cancel: cancel, acks: make(chan struct{}, 1)}
	w.progress.lastProgress = f.now()
	w.progress.contentAt = w.progress.lastProgress
	go func() {
		err := f.receive(ctx, w, events)
		_ = events.Put(ctx, event{watch: w, err: err}) // fails only if the watch has been closed
	}()
	return w
}

// receive delivers the updates of a watch until the stream fails or ctx ends, and
// returns why it ended.
func (f *Follower) receive(ctx context.Context, w *watch, events *ring.Ring[event]) error {
	stream, done, err := f.openStream(ctx, w.addr, f.watchRequest(0))
	if err != nil {
		return err
	}
	defer done()
	go f.sendAcks(ctx, w, stream)
	for {
		u, err := receiveUpdate(stream)
		if err != nil {
			return err
		}
		if err := events.Put(ctx, event{watch: w, update: u}); err != nil {
			return err
		}
	}
}

// receiveUpdate returns the next update of a stream, decompressed.
func receiveUpdate(stream grpc.BidiStreamingClient[fescuepb.WatchRequest, fescuepb.Update]) (*fescuepb.Update, error) {
	u, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	return feed.Decompress(u)
}

// openStream dials a source, opens a stream and sends the first request. The
// caller calls done to close the connection. Each watch has its own connection,
// since gRPC delays the reconnection of a shared one after a failure.
func (f *Follower) openStream(ctx context.Context, addr string, first *fescuepb.WatchRequest) (stream grpc.BidiStreamingClient[fescuepb.WatchRequest, fescuepb.Update], done func(), err error) {
	conn, err := f.cfg.Dial(addr)
	if err != nil {
		return nil, nil, err
	}
	done = func() { _ = conn.Close() }
	stream, err = fescuepb.NewFollowClient(conn).Watch(ctx, grpc.MaxCallRecvMsgSize(feed.MaxUpdateBytes))
	if err == nil {
		err = stream.Send(first)
	}
	if err != nil {
		done()
		return nil, nil, err
	}
	return stream, done, nil
}

// sendAcks sends an acknowledgement ackDelay after it was requested, and at least
// one every feed.AckInterval, until the stream fails or ctx ends.
func (f *Follower) sendAcks(ctx context.Context, w *watch, stream grpc.BidiStreamingClient[fescuepb.WatchRequest, fescuepb.Update]) {
	tick := time.NewTicker(feed.AckInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.acks:
			time.Sleep(ackDelay)
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if stream.Send(f.watchRequest(w.session.Load())) != nil {
			return
		}
	}
}

// acknowledge makes the watch send an acknowledgement soon.
func (w *watch) acknowledge() { signal(w.acks) }

// logFields returns what was received on a watch, and why it is given up.
func (w *watch) logFields(reason string, now time.Time) logrus.Fields {
	fields := logrus.Fields{
		"source": w.addr, "kind": string(w.kind), "reason": reason,
		"counter": w.progress.lastCounter, "stood_ms": now.Sub(w.progress.lastProgress).Milliseconds(),
		"pages": w.progress.pages, "page_age_ms": now.Sub(w.progress.contentAt).Milliseconds(),
	}
	if !w.heardAt.IsZero() {
		fields["heard_ms"] = now.Sub(w.heardAt).Milliseconds()
	}
	return fields
}
