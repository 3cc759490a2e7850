package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"google.golang.org/protobuf/proto"
)

// Guards against a source that withholds a new version for pageTimeout from a follower
// that was one version ahead of it when the watch was opened, as after a change from
// control to a relay during a release.
func TestFollowerAheadOfSourceGetsNextVersionSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view.New()
		v.SetMember(&fescuepb.Member{Instance: "a", ChangedVersion: 25})
		h := NewHub(Config{Source: sectionSource{v}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stream := &recordingStream{}
		go func() {
			_ = newPusher(h, stream, &fescuepb.WatchRequest{Version: 30, Position: view.At(30).Message()}).run(ctx)
		}()
		time.Sleep(300 * time.Millisecond)
		h.mu.Lock() // the pusher reads the view with this lock
		v.SetMember(&fescuepb.Member{Instance: "b", ChangedVersion: 31})
		h.mu.Unlock()
		start := time.Now()
		for time.Since(start) < 5*time.Second {
			h.Wake()
			time.Sleep(50 * time.Millisecond)
			stream.mu.Lock()
			for _, f := range stream.frames {
				u := &fescuepb.Update{}
				if err := proto.Unmarshal(f.data, u); err != nil {
					t.Error(err)
				}
				if len(u.Members) > 0 {
					if d := time.Since(start); d > 500*time.Millisecond {
						t.Errorf("version 31 was sent %v after the source had it", d)
					}
					stream.mu.Unlock()
					return
				}
			}
			stream.frames = nil
			stream.mu.Unlock()
		}
		t.Error("version 31 was never sent")
	})
}
