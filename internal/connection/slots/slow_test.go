package slots

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// Guards against a busy dispatcher that is passed over: the entries that dispatch in its
// place do not know its requests, and overload the targets. A dispatcher that
// answers no one must still be passed over, and one that answers others but not this
// request must not hold it until its deadline.
func TestSlowDispatcherIsNotPassedOver(t *testing.T) {
	const never = time.Hour
	overloaded := dispatch.RefuseOverloaded(overloadedRetryAfter)
	for _, tc := range []struct {
		name      string
		others    time.Duration // between replies to other requests
		reply     time.Duration // until the reply to this request
		want      error         // nil: a slot
		wantAfter time.Duration
	}{
		{"answers in time", never, 50 * time.Millisecond, nil, 50 * time.Millisecond},
		{"answers others, and this request late", 50 * time.Millisecond, 400 * time.Millisecond, nil, 400 * time.Millisecond},
		{"answers this request late, after a time without questions", never, 400 * time.Millisecond, nil, 400 * time.Millisecond},
		{"answers no one", never, never, ErrNoReply, silentAfter},
		{"answers others only", 50 * time.Millisecond, never, overloaded, silentAfter},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &link{
					c: &Client{Log: logging.Discard()}, cancel: func() {}, pending: map[uint64]question{},
					sendQueue: ring.New[*fescuepb.SlotRequest](sendQueueSize),
				}
				defer l.close()
				start := time.Now()
				others := time.NewTicker(tc.others)
				defer others.Stop()
				done := make(chan struct{})
				go func() {
					reply := time.After(tc.reply)
					for {
						select {
						case <-others.C:
							l.deliver(&fescuepb.SlotReply{Id: 99})
						case <-reply:
							l.deliver(&fescuepb.SlotReply{Id: 1, Target: "t1"})
						case <-done:
							return
						}
					}
				}()
				w := dispatch.Work{Route: "r", NoQueue: true, Deadline: start.Add(3 * time.Second)}
				_, _, err := l.acquire(t.Context(), pool, w, start)
				took := time.Since(start)
				close(done)
				switch {
				case tc.want == nil && err != nil,
					tc.want != nil && (errkind.Of(err) != errkind.Of(tc.want) || dispatch.IsOverloaded(tc.want) != dispatch.IsOverloaded(err)):
					t.Errorf("got %v, want %v", err, tc.want)
				case took > tc.wantAfter || tc.want == nil && took != tc.wantAfter:
					t.Errorf("decided after %v, want %v", took, tc.wantAfter)
				}
			})
		})
	}
}
