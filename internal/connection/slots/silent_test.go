package slots

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// startedLink returns a link whose stream takes questions and delivers nothing.
func startedLink() *link {
	return &link{
		c: &Client{Log: logging.Discard()}, cancel: func() {}, pending: map[uint64]question{},
		sendQueue: ring.New[*fescuepb.SlotRequest](sendQueueSize),
	}
}

// Guards against a dispatcher that is gone and is asked for ever: requests whose deadline is
// sooner than silentAfter end without a decision whether the dispatcher is absent.
func TestAbsentDispatcherIsNoticedByShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startedLink()
		defer l.close()
		for range 20 { // 8 s
			start := time.Now()
			ctx, cancel := context.WithDeadline(t.Context(), start.Add(400*time.Millisecond))
			w := dispatch.Work{Route: "r", Objective: start.Add(200 * time.Millisecond), Deadline: start.Add(400 * time.Millisecond)}
			_, _, err := l.acquire(ctx, pool, w, start)
			cancel()
			if errors.Is(err, ErrNoReply) {
				return
			}
			time.Sleep(time.Until(start.Add(400 * time.Millisecond)))
		}
		t.Error("a dispatcher that answers nothing was asked 20 times in 8 s, and no request went on to another one")
	})
}

// Guards against a dispatcher that is passed over although it works: it has queued all
// questions of the entry, as it should, and its refusals are 150 ms late.
func TestQueueingDispatcherIsNotSilent(t *testing.T) {
	const late = 150 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		l := startedLink()
		defer l.close()
		start := time.Now()
		w := dispatch.Work{Route: "r", Objective: start.Add(600 * time.Millisecond), Deadline: start.Add(1200 * time.Millisecond)}
		time.AfterFunc(600*time.Millisecond+late, func() {
			l.deliver(&fescuepb.SlotReply{Id: 1, ErrorKind: string(errkind.DeadlineUnmeetable), Reason: "too late"})
		})
		if _, _, err := l.acquire(t.Context(), pool, w, start); errors.Is(err, ErrNoReply) {
			t.Errorf("after %v the dispatcher counts as absent; its reply was on its way", time.Since(start))
		}
	})
}

// Guards against a request that stays with an absent dispatcher until its objective although
// the link has been silent for long.
func TestRequestDoesNotWaitForAnAbsentDispatcherUntilItsObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startedLink()
		defer l.close()
		go func() { // finds out after 500 ms
			now := time.Now()
			_, _, _ = l.acquire(t.Context(), pool, dispatch.Work{Route: "r", NoQueue: true, Deadline: now.Add(time.Second)}, now)
		}()
		synctest.Wait()
		start := time.Now()
		w := dispatch.Work{Route: "r", Objective: start.Add(2900 * time.Millisecond), Deadline: start.Add(3 * time.Second)}
		ctx, cancel := context.WithDeadline(t.Context(), w.Deadline)
		defer cancel()
		_, _, err := l.acquire(ctx, pool, w, start)
		if took := time.Since(start); took > time.Second {
			t.Errorf("the link was found silent after 500 ms; the request ended after %v: %v", took, err)
		}
	})
}
