package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// constantSource is a source whose version and counter never change.
type constantSource struct{}

func (constantSource) Version() uint64 { return 5 }
func (constantSource) Counter() uint64 { return 9 }
func (constantSource) Since(base uint64) *fescuepb.Update {
	return &fescuepb.Update{Base: base, Version: 5}
}

// Guards against followers that wait for a source whose counter stands still, or
// that leave one whose counter advances again, because an update that was encoded
// earlier is sent.
func TestStalledSourceIsReported(t *testing.T) {
	stalled := false
	h := NewHub(Config{Instance: "source", Source: constantSource{}, Stalled: func() bool { return stalled }})
	for _, stalled = range []bool{false, true, true, false} {
		f, err := h.frame(0)
		if err != nil {
			t.Fatal(err)
		}
		var u fescuepb.Update
		if err := proto.Unmarshal(f.data, &u); err != nil {
			t.Fatal(err)
		}
		if u.Stalled != stalled || u.Version != 5 || u.Counter != 9 {
			t.Errorf("update %v of a source with stalled %v", &u, stalled)
		}
	}
}

// changingSource has a new version with each Wake of its hub.
type changingSource struct{ version atomic.Uint64 }

func (s *changingSource) Version() uint64 { return s.version.Load() }
func (s *changingSource) Counter() uint64 { return s.version.Load() }
func (s *changingSource) Since(base uint64) *fescuepb.Update {
	return &fescuepb.Update{Base: base, Version: s.version.Load()}
}

// recordingStream counts the updates that a follower gets, with the time of the last.
type recordingStream struct {
	grpc.BidiStreamingServer[fescuepb.WatchRequest, fescuepb.Update]
	mu      sync.Mutex
	pushes  int
	version uint64
	at      time.Time
}

func (s *recordingStream) SendMsg(m any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushes, s.version, s.at = s.pushes+1, m.(*frame).version, time.Now()
	return nil
}

// take returns what was recorded since the last call.
func (s *recordingStream) take() (pushes int, version uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pushes, s.pushes = s.pushes, 0
	return pushes, s.version, s.at
}

// Guards against a relay whose narrow link is full of versions that later ones have made obsolete:
// a series of changes, 50 a second as in a rolling restart of a large site, must reach a follower in
// few messages, the first and the last one soon, and the end of the source at once.
func TestSeriesOfVersionsIsPushedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &changingSource{}
		source.version.Store(1)
		h := NewHub(Config{Source: source})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stream := &recordingStream{}
		done := make(chan error, 1)
		go func() { done <- h.pushUpdates(ctx, stream, 1) }()
		change := func() {
			source.version.Add(1)
			h.Wake()
		}
		for range 10 { // the initial pushes are not limited
			change()
			time.Sleep(time.Second)
		}
		stream.take()
		start := time.Now()
		change()
		synctest.Wait()
		if _, version, at := stream.take(); version != source.Version() || at != start {
			t.Errorf("a single change was pushed %v later", at.Sub(start))
		}
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			change()
		}
		end := time.Now()
		time.Sleep(time.Second)
		pushes, version, at := stream.take()
		if version != source.Version() || at.Sub(end) > minPushGap {
			t.Errorf("version %d of %d pushed %v after the last change", version, source.Version(), at.Sub(end))
		}
		if limit := int(end.Sub(start)/minPushGap) + 2; pushes > limit {
			t.Errorf("%d messages for a series of 100 changes in %v, want at most %d", pushes, end.Sub(start), limit)
		}
		change()
		change()
		h.Stop()
		synctest.Wait()
		select {
		case err := <-done:
			if errkind.Of(err) != errkind.Of(errStopped) {
				t.Errorf("the watch ended with %v", err)
			}
		default:
			t.Error("the watch of a hub that stops has not ended")
		}
	})
}
