package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
)

// Guards against a final answer from an old version: an entry that was suspended, or whose
// source is silent, does not know a route that was added meanwhile, and callers do not
// repeat a request after 404.
func TestRouteIsUnknownOnlyInAConfirmedVersion(t *testing.T) {
	w := newTestEntry(t, false, target(t, func(http.ResponseWriter, *http.Request) {}))
	var confirmed atomic.Bool
	w.h.Confirmed = confirmed.Load
	unknown := func() *http.Request { return w.request("GET", "/", "", dialect.HeaderService, "nowhere") }
	w.expectError(unknown(), errkind.NotReady, errkind.No)
	if resp, _, err := w.do(w.request("GET", "/", "")); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v, %v: a cut-off entry serves the routes that it knows", resp, err)
	}
	confirmed.Store(true)
	w.expectError(unknown(), errkind.UnknownService, errkind.No)
}

// Guards against callers that lose an attempt at an entry that is about to be ready, and against
// requests that are held although the entry will not be ready in time.
func TestRequestsWaitForTheEndOfTheStart(t *testing.T) {
	const readyAfter = 150 * time.Millisecond
	for name, tc := range map[string]struct {
		timeout time.Duration // of the caller
		until   time.Duration // end of the usual start
		served  bool
		atMost  time.Duration // until the answer
	}{
		"time to wait":            {4 * time.Second, 2 * time.Second, true, time.Second},
		"little time":             {200 * time.Millisecond, 2 * time.Second, false, 120 * time.Millisecond},
		"start takes long":        {4 * time.Second, 50 * time.Millisecond, false, 120 * time.Millisecond},
		"start took long already": {4 * time.Second, -time.Second, false, 40 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEntry(t, false, target(t, func(http.ResponseWriter, *http.Request) {}))
			var ready atomic.Bool
			started := make(chan struct{})
			w.h.Ready = ready.Load
			w.h.Start = Start{Ready: started, Until: w.h.Now().Add(tc.until)}
			time.AfterFunc(readyAfter, func() { ready.Store(true); close(started) })
			asked := time.Now()
			req := w.request("GET", "/", "", dialect.HeaderDeadline, strconv.FormatInt(tc.timeout.Milliseconds(), 10))
			if tc.served {
				resp, _, err := w.do(req)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("%v, %v", resp, err)
				}
			} else {
				w.expectError(req, errkind.NotReady, errkind.No)
			}
			if took := time.Since(asked); took > tc.atMost {
				t.Errorf("answered after %v, want at most %v", took, tc.atMost)
			}
		})
	}
}
