package feed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
)

// constantSource is a source whose version and counter never change.
type constantSource struct{}

func (constantSource) Version() uint64 { return 5 }
func (constantSource) Counter() uint64 { return 9 }
func (constantSource) Since(base uint64) *fescuepb.Update {
	return &fescuepb.Update{Base: base, Version: 5}
}

func (s constantSource) Page(p view.Position, _ int) *fescuepb.Update { return s.Since(p.Version) }
func (s constantSource) Beat(p view.Position) *fescuepb.Update        { return s.Since(p.Version) }

// Guards against followers that wait for a source whose counter stands still, or
// that leave one whose counter advances again, because an update that was encoded
// earlier is sent.
func TestStalledSourceIsReported(t *testing.T) {
	stalled := false
	h := NewHub(Config{Instance: "source", Source: constantSource{}, Stalled: func() bool { return stalled }})
	for _, stalled = range []bool{false, true, true, false} {
		f, err := h.frame(frameKey{})
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

func (s *changingSource) Page(p view.Position, _ int) *fescuepb.Update { return s.Since(p.Version) }
func (s *changingSource) Beat(p view.Position) *fescuepb.Update        { return s.Since(p.Version) }

// recordingStream counts the updates that a follower gets, with the time of the last.
type recordingStream struct {
	grpc.BidiStreamingServer[fescuepb.WatchRequest, fescuepb.Update]
	mu      sync.Mutex
	pushes  int
	version uint64
	at      time.Time
	frames  []*frame
	paged   int // pages among frames that were applied
}

func (s *recordingStream) SendMsg(m any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushes, s.version, s.at = s.pushes+1, m.(*frame).version, time.Now()
	s.frames = append(s.frames, m.(*frame))
	return nil
}

// pages applies the updates that were recorded and returns how many pages were sent in
// all.
func (s *recordingStream) pages(t *testing.T, r *view.Receiver) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.frames {
		u := &fescuepb.Update{}
		err := proto.Unmarshal(f.data, u)
		if err == nil {
			u, err = Decompress(u)
		}
		if err != nil {
			t.Fatal(err)
		}
		if len(u.Members) > 0 {
			s.paged++
		}
		r.Apply(u)
	}
	s.frames = nil
	return s.paged
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
		go func() {
			done <- newPusher(h, stream, &fescuepb.WatchRequest{Version: 1, Position: view.At(1).Message()}).run(ctx)
		}()
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

// sectionSource serves a section that has its routes apart.
type sectionSource struct{ view *view.View }

func (s sectionSource) Version() uint64                    { return s.view.Version }
func (s sectionSource) Counter() uint64                    { return 1 }
func (s sectionSource) Since(base uint64) *fescuepb.Update { return s.view.Since(base) }
func (s sectionSource) Page(p view.Position, maxBytes int) *fescuepb.Update {
	return s.view.Page(p, maxBytes)
}
func (s sectionSource) Beat(p view.Position) *fescuepb.Update { return s.view.Beat(p) }

// Guards against a follower of an earlier build that gets routes apart from their
// section, which it would ignore: a replica sends it whole sections, and a relay that
// has none ends the watch, so that it follows a replica.
func TestFollowerWithoutPagesGetsWholeSections(t *testing.T) {
	replica := view.New()
	whole := &fescuepb.Section{Team: "rota", Revision: 1, Version: 3, Yaml: []byte("with routes")}
	head := &fescuepb.Section{Team: "rota", Revision: 1, Version: 3, RoutesApart: true}
	replica.SetSectionWithRoutes(whole, head, []*fescuepb.HostRoute{{Team: "rota", Name: "r"}})
	relay := view.NewReceiver()
	relay.Apply(replica.Page(view.Position{}, maxPageBytes))
	var u fescuepb.Update
	f, err := NewHub(Config{Source: sectionSource{replica}}).frame(frameKey{whole: true})
	if err == nil {
		err = proto.Unmarshal(f.data, &u)
	}
	if err != nil || len(u.Sections) != 1 || string(u.Sections[0].Yaml) != "with routes" || len(u.Routes) != 0 {
		t.Errorf("a replica sends %v, %v", &u, err)
	}
	if _, err := NewHub(Config{Source: sectionSource{relay.View}}).frame(frameKey{whole: true}); errkind.Of(err) != errkind.Of(errRoutesApart) {
		t.Errorf("a relay without whole sections answers %v", err)
	}
}

// Guards against a counter that waits behind the pages of a large update, against pages
// that are sent without waiting for the follower, and against a page that is lost for
// good.
func TestCounterPassesPagesThatWaitForTheFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := view.New()
		for i := range 2000 {
			large.SetMember(&fescuepb.Member{Instance: fmt.Sprint("instance-", i), DataCentre: "dc1", ChangedVersion: uint64(i + 1)})
		}
		h := NewHub(Config{Source: sectionSource{large}})
		stream := &recordingStream{}
		p := newPusher(h, stream, &fescuepb.WatchRequest{Position: view.Position{}.Message()})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = p.run(ctx) }()
		received := view.NewReceiver()
		advance := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				h.Wake()
			}
			synctest.Wait()
		}
		advance(pageTimeout - 100*time.Millisecond)
		if pages := stream.pages(t, received); pages != 1 {
			t.Errorf("%d pages were sent before the first one was acknowledged", pages)
		}
		if pushes, _, _ := stream.take(); pushes < 10 {
			t.Errorf("%d updates in 2 s, want the counter while the page waits", pushes)
		}
		advance(300 * time.Millisecond)
		if pages := stream.pages(t, received); pages != 2 {
			t.Errorf("%d pages after the timeout, want the first one again", pages)
		}
		for range 100 {
			p.acknowledged(&fescuepb.WatchRequest{Position: received.Position().Message()})
			synctest.Wait()
			stream.pages(t, received)
		}
		if received.View.Version != 2000 {
			t.Errorf("the follower has version %d, want 2000", received.View.Version)
		}
	})
}
