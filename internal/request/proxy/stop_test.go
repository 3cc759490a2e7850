package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Guards against a request whose body ends late in a planned stop, that is sent to
// a target and then cut at the end of the stop.
func TestRequestCompletedAfterLingerIsRefused(t *testing.T) {
	var runs atomic.Int32
	w := newTestEntry(t, false, target(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	var refusing atomic.Bool
	w.h.Stopping = func() Stop { return Stop{Deadline: time.Now().Add(time.Minute), Refusing: refusing.Load()} }
	body, sender := io.Pipe()
	go func() {
		_, _ = io.WriteString(sender, "first ")
		refusing.Store(true)
		_, _ = io.WriteString(sender, "last")
		_ = sender.Close()
	}()
	req := w.request("POST", "/", "")
	req.Body, req.ContentLength = body, int64(len("first last"))
	w.expectError(req, errkind.Stopping, errkind.No)
	if runs.Load() != 0 {
		t.Error("the target got the request")
	}
}

// Guards against a request whose body is incomplete at the end of a planned stop, and
// that gets no answer or one that does not say that it did not run.
func TestIncompleteBodyAtTheEndOfAPlannedStopIsRefused(t *testing.T) {
	w := newTestEntry(t, false, target(t, func(http.ResponseWriter, *http.Request) { t.Error("the target got the request") }))
	conn, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nFescue-Service: rota\r\nFescue-Shift: s1\r\nContent-Length: 10\r\n\r\npart")
	time.Sleep(50 * time.Millisecond) // lets the entry wait for the rest
	end, cancel := context.WithCancel(context.Background())
	cancel()
	_ = w.server.Shutdown(end) // reports that a request was in progress
	answer, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 503 ") || !strings.Contains(string(answer), `"kind":"stopping","message"`) ||
		!strings.Contains(string(answer), `"did_run":"no"`) {
		t.Errorf("got %q, %v; want a refusal as stopping, not run", answer, err)
	}
}

// Guards against a caller that waits before it sends a request to another entry, which
// can serve it at once. The hint of other refusals, a third of the time that the caller
// has left, is meant for a lack of slots.
func TestRefusalOfAStoppingEntryAsksForAnImmediateRetry(t *testing.T) {
	w := newTestEntry(t, false)
	c := &call{route: &snapshot.Route{Host: "rota.example"}, deadline: time.Now().Add(9 * time.Second)}
	stopping := errkind.New(errkind.Stopping, "stopping")
	if got := w.h.retryHint(c, stopping); got != stoppingRetryAfter {
		t.Errorf("retry after %v, want %v", got, stoppingRetryAfter)
	}
	if got := w.h.retryHint(c, errkind.New(errkind.NoTarget, "none")); got < 2*time.Second {
		t.Errorf("another refusal asks for a retry after %v", got)
	}
}

// Guards against a target that works on a request, accepted during a planned stop,
// longer than the process can deliver the answer.
func TestDeadlineEndsWithPlannedStop(t *testing.T) {
	const left = 300 * time.Millisecond
	var stated atomic.Int64
	w := newTestEntry(t, false, target(t, func(_ http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.ParseInt(r.Header.Get(dialect.HeaderDeadline), 10, 64)
		stated.Store(ms)
		<-r.Context().Done()
	}))
	end := time.Now().Add(left)
	w.h.Stopping = func() Stop { return Stop{Deadline: end} }
	w.expectError(w.request("GET", "/", ""), errkind.DeadlineExceeded, errkind.Unknown)
	if ms := stated.Load(); ms <= 0 || ms > left.Milliseconds() {
		t.Errorf("the target was given %d ms, the stop ends after %v", ms, left)
	}
}

// Guards against a planned stop that ends requests without an answer: queued ones
// must be refused as not run, running ones get an answer that leaves it open.
func TestEveryRequestIsAnsweredAtTheEndOfAPlannedStop(t *testing.T) {
	for _, path := range []string{"/", "/safe", "/claim"} {
		t.Run(path, func(t *testing.T) {
			started := make(chan struct{}, 10)
			w := newTestEntry(t, false, target(t, func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-r.Context().Done()
			}))
			var answered sync.WaitGroup
			send := func(kind errkind.Kind, didRun errkind.DidRun) {
				answered.Go(func() { w.expectError(w.request("POST", path, "", "Idempotency-Key", "k"), kind, didRun) })
			}
			const slots = 2
			for range slots {
				send(errkind.DeadlineExceeded, errkind.Unknown)
				<-started
			}
			send(errkind.Stopping, errkind.No)
			for w.d.Load().Queued == 0 {
				time.Sleep(time.Millisecond)
			}
			end, cancel := context.WithCancel(context.Background())
			cancel()
			_ = w.server.Shutdown(end) // reports that requests were in progress
			answered.Wait()
		})
	}
}

// Guards against requests that the entry which forwarded them loses when the other
// entry stops: one at work there must be answered, one that waits there must be
// handled elsewhere, and a kept connection that the other entry closed must not be
// used.
func TestRequestsForwardedToAStoppingEntry(t *testing.T) {
	started := make(chan struct{}, 10)
	home := newTestEntry(t, true, target(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
	}))
	next := newTestEntry(t, true, target(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	w := newTestEntry(t, false)
	w.groups.moveTo(home.addr)
	var answered sync.WaitGroup
	const slots = 2
	for range slots {
		answered.Go(func() { w.expectError(w.request("POST", "/", ""), errkind.DeadlineExceeded, errkind.Unknown) })
		<-started
	}
	answered.Go(func() {
		if resp, body, err := w.do(w.request("POST", "/", "")); err != nil || body != "ok" {
			t.Errorf("the request that waited: %v %q, %v", resp, body, err)
		}
	})
	for home.d.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	w.groups.moveTo(next.addr)
	end, cancel := context.WithCancel(context.Background())
	cancel()
	_ = home.server.Shutdown(end) // reports that requests were in progress
	answered.Wait()
	w.groups.moveTo(home.addr)
	w.expectError(w.request("POST", "/", "", dialect.HeaderDeadline, "300"), errkind.TargetUnreachable, errkind.No)
}
