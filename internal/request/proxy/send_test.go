package proxy

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	connection "github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/lab/ports"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// okAnswer and shedAnswer are raw answers of targets: a success, and a refusal
// that states that the request did not run.
const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
const shedAnswer = "HTTP/1.1 503 Busy\r\nFescue-Not-Run: true\r\nContent-Length: 0\r\n\r\n"

// Guards against a request that net/http sends again by itself after a reused
// connection failed, although the target has read it.
func TestNeverSentTwice(t *testing.T) {
	for _, c := range []struct{ method, path, body string }{
		{"POST", "/claim", "x"}, {"POST", "/claim", ""}, {"GET", "/claim", ""}, {"GET", "/", ""}, {"DELETE", "/", ""},
	} {
		addr, seen := rawTarget(t, func(n int) (string, bool) {
			if n == 2 {
				return "", true
			}
			return okAnswer, false
		})
		w := newTestEntry(t, false, addr)
		if _, _, err := w.do(w.request("GET", "/", "")); err != nil {
			t.Fatal(err)
		}
		w.expectError(w.request(c.method, c.path, c.body, dialect.HeaderKey, "k"), errkind.TargetFailed, errkind.Unknown)
		if seen.Load() != 2 {
			t.Errorf("%s %s: the target read %d requests, want 2", c.method, c.path, seen.Load())
		}
		if end := w.ledger.ended.Load(); c.path == "/claim" && end != "abandoned" {
			t.Errorf("the ledger recorded %v", end)
		}
		w.waitReleased()
	}
}

// Guards against a request that is not retried after the target has shed it, and
// against an at-most-once request that is.
func TestShedAnswer(t *testing.T) {
	shedFirst := func(n int) (string, bool) {
		if n == 1 {
			return shedAnswer, false
		}
		return okAnswer, false
	}
	for _, path := range []string{"/", "/claim"} {
		addr, seen := rawTarget(t, shedFirst)
		w := newTestEntry(t, false, addr, addr)
		req := w.request("GET", path, "", dialect.HeaderKey, "k")
		if path == "/claim" {
			w.expectError(req, errkind.TargetShed, errkind.No)
			if w.ledger.ended.Load() != "not run" || seen.Load() != 1 {
				t.Errorf("the ledger recorded %v after %d attempts", w.ledger.ended.Load(), seen.Load())
			}
		} else if resp, body, err := w.do(req); err != nil || body != "ok" || seen.Load() != 2 {
			t.Error(resp, body, err)
		}
		w.waitReleased()
	}
}

// Guards against the slower attempt of a hedged request that keeps running while
// the answer of the faster one is streamed, or that keeps its slot.
func TestHedgeLoser(t *testing.T) {
	gone := make(chan struct{})
	var slow, long atomic.Bool
	f := func(w http.ResponseWriter, r *http.Request) {
		if slow.CompareAndSwap(true, false) {
			<-r.Context().Done()
			close(gone)
			return
		}
		if long.Load() {
			_, _ = w.Write(make([]byte, 2*answerBufferBytes))
			select {
			case <-gone:
			case <-time.After(time.Second):
				t.Error("the slower attempt was not cancelled")
			}
		}
		_, _ = io.WriteString(w, "ok")
	}
	w := newTestEntry(t, false, target(t, f), target(t, f))
	for range 25 { // the latency of the route must be known before it is hedged
		_, _, _ = w.do(w.request("GET", "/safe", ""))
	}
	slow.Store(true)
	long.Store(true)
	if resp, body, err := w.do(w.request("GET", "/safe", "")); err != nil || !strings.HasSuffix(body, "ok") {
		t.Fatal(resp, err)
	}
	w.waitReleased()
}

// Guards against units and slots that stay in use when the caller disconnects
// before the answer or stops reading it.
func TestCallerGone(t *testing.T) {
	started := make(chan struct{}, 3)
	w := newTestEntry(t, false, target(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/big" {
			_, err := w.Write(make([]byte, 64<<20))
			_ = err
			return
		}
		started <- struct{}{}
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	if _, _, err := w.do(w.request("GET", "/", "").WithContext(ctx)); err == nil {
		t.Error("got an answer after the caller had disconnected")
	}
	w.waitReleased()
	conn, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /big HTTP/1.1\r\nHost: x\r\nFescue-Service: rota\r\nFescue-Shift: s1\r\nFescue-Deadline-Ms: 300\r\n\r\n")
	for w.caps.inUse.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	w.waitReleased()
}

// Guards against a target that is not told the deadline and the request identifier,
// and against internal headers of callers that are obeyed or passed on.
func TestTargetHeader(t *testing.T) {
	var got http.Header
	w := newTestEntry(t, false, target(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Clone() }))
	// The request would be refused if its hop count of 9 were read.
	_, _, err := w.do(w.request("GET", "/", "", headerHops, "9", headerForwardedBy, "e2", headerRecorded, "1", headerRemote, "1",
		dialect.HeaderRequestID, "id-1", dialect.HeaderDeadline, "99999999", "Connection", "X-Drop", "X-Drop", "1"))
	if err != nil {
		t.Fatal(err)
	}
	// A deadline is limited to one minute.
	if ms := got.Get(dialect.HeaderDeadline); len(ms) != 5 || ms > "60000" || got.Get(dialect.HeaderRequestID) != "id-1" || got.Get("X-Drop") != "" {
		t.Errorf("target got %v", got)
	}
	for _, name := range internalHeaders {
		if got.Get(name) != "" {
			t.Errorf("target got %s", name)
		}
	}
	w.ledger.start = errkind.New(errkind.OutcomeUnknown, "not here")
	w.expectError(w.request("GET", "/claim", "", headerRecorded, "1", dialect.HeaderKey, "k"), errkind.OutcomeUnknown, errkind.Unknown)
}

// Guards against a request that keeps running at the target although the budget
// lease that admitted it expired while the request was being sent.
func TestLeaseLapsedDuringSend(t *testing.T) {
	var running atomic.Int32
	w := newTestEntry(t, false, target(t, func(_ http.ResponseWriter, r *http.Request) {
		running.Add(1)
		<-r.Context().Done()
		running.Add(-1)
	}))
	w.caps.expired.Store(true)
	w.expectError(w.request("GET", "/", ""), errkind.OutcomeUnknown, errkind.Unknown)
	w.waitReleased()
	// The request may be cancelled before it reaches the target.
	time.Sleep(50 * time.Millisecond)
	for end := time.Now().Add(3 * time.Second); running.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request still runs at the target")
		}
	}
}

// Guards against headers in a target's answer that only entries may set. An entry
// would mistake the answer for the refusal of another entry and send the request
// again.
func TestEntryOnlyHeadersOfTargetsRemoved(t *testing.T) {
	addr, seen := rawTarget(t, constantAnswer("HTTP/1.1 200 OK\r\nFescue-Error-Kind: not_dispatcher\r\nFescue-Not-Run: true\r\nFescue-Replayed: x\r\nContent-Length: 2\r\n\r\nok"))
	home := newTestEntry(t, true, addr)
	w := newTestEntry(t, false)
	w.groups.moveTo(home.addr)
	resp, body, err := w.do(w.request("GET", "/", ""))
	if err != nil || body != "ok" || resp.Header.Get(dialect.HeaderNotRun) != "" || resp.Header.Get(dialect.HeaderReplayed) != "" || seen.Load() != 1 {
		t.Errorf("%v %q %v after %d requests at the target", resp, body, err, seen.Load())
	}
}

// Guards against forwarded requests that lose their identifier, exceed the hop
// limit or return to the entry that forwarded them.
func TestForward(t *testing.T) {
	var got http.Header
	peer := target(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set(dialect.HeaderRequestID, r.Header.Get(dialect.HeaderRequestID))
	})
	w := newTestEntry(t, true)
	w.groups.moveTo(peer)
	resp, _, err := w.do(w.request("GET", "/", "", headerHops, "2", headerForwardedBy, "e3", dialect.HeaderRequestID, "id-1"))
	if err != nil || resp.StatusCode != 200 || got.Get(headerHops) != "3" || got.Get(dialect.HeaderRequestID) != "id-1" ||
		got.Get(dialect.HeaderService) != "rota" || got.Get(headerForwardedBy) != "e1" || resp.Header.Get(dialect.HeaderRequestID) != "id-1" {
		t.Errorf("peer got %v; answer %v %v", got, resp, err)
	}
	w.expectError(w.request("GET", "/", "", headerHops, "3"), errkind.HopLimit, errkind.No)
	w.expectError(w.request("GET", "/", "", headerHops, "4"), errkind.HopLimit, errkind.No)
	w.expectError(w.request("GET", "/", "", headerHops, "x"), errkind.BadRequest, errkind.No)
	w.expectError(w.request("GET", "/", "", headerHops, "1", headerForwardedBy, "e2"), errkind.NotDispatcher, errkind.No)
	// The home of the key has proved that the key had not started before.
	w.expectError(w.request("GET", "/claim", "", headerHops, "1", headerForwardedBy, "e2", headerRecorded, "1", dialect.HeaderKey, "k"), errkind.NotDispatcher, errkind.No)
}

// Guards against a request with a large header that its entry accepts, and that the
// next entry refuses because of the internal headers.
func TestForwardedHeaderMayExceedTheLimitOfCallers(t *testing.T) {
	home := newTestEntry(t, true, target(t, func(http.ResponseWriter, *http.Request) {}))
	w := newTestEntry(t, false)
	w.groups.moveTo(home.addr)
	const callerHeaders = 250 // bytes, with the line of the filler
	filler := strings.Repeat("x", document.DefaultMaxHeaderBytes-callerHeaders)
	if resp, body, err := w.do(w.request("GET", "/", "", "X-Filler", filler)); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v %s, %v", resp, body, err)
	}
}

// Guards against queued requests that are refused when the dispatcher stops. They
// must be forwarded to the next dispatcher.
func TestStopWhileQueued(t *testing.T) {
	ok := target(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	next := newTestEntry(t, true, ok)
	w := newTestEntry(t, false, ok)
	var held []*dispatch.Ticket
	for range 2 {
		tk, err := w.d.Acquire(context.Background(), dispatch.Work{Class: document.Short})
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, tk)
	}
	go func() {
		for w.d.Load().Queued == 0 {
			time.Sleep(time.Millisecond)
		}
		w.groups.moveTo(next.addr)
		w.d.Stop()
	}()
	if resp, body, err := w.do(w.request("GET", "/", "")); err != nil || body != "ok" {
		t.Error(resp, body, err)
	}
	for _, tk := range held {
		tk.Done(dispatch.Outcome{})
	}
	w.waitReleased()
}

// Guards against invalid requests that get the wrong error kind, and against the
// statement "not run" for a key that an earlier request may have used.
func TestBadInput(t *testing.T) {
	w := newTestEntry(t, false)
	w.ledger.start = errkind.New(errkind.LedgerNoBackup, "no backup")
	long := strings.Repeat("x", document.DefaultMaxHeaderBytes)
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		kind                     errkind.Kind
		didRun                   errkind.DidRun
	}{
		{"service", "GET", "/", "", []string{dialect.HeaderService, "none"}, errkind.UnknownService, errkind.No},
		{"no shift", "GET", "/", "", []string{dialect.HeaderShift, ""}, errkind.MissingShift, errkind.No},
		{"shift", "GET", "/", "", []string{dialect.HeaderShift, "none"}, errkind.UnknownShift, errkind.No},
		{"deadline 0", "GET", "/", "", []string{dialect.HeaderDeadline, "0"}, errkind.BadDeadline, errkind.No},
		{"deadline text", "GET", "/", "", []string{dialect.HeaderDeadline, "soon"}, errkind.BadDeadline, errkind.No},
		{"no key", "POST", "/claim", "", nil, errkind.MissingKey, errkind.No},
		{"bad key", "POST", "/claim", "", []string{dialect.HeaderKey, "a b"}, errkind.BadKey, errkind.No},
		{"long key", "POST", "/claim", "", []string{dialect.HeaderKey, long[:maxKeyBytes+1]}, errkind.BadKey, errkind.No},
		{"large header", "GET", "/", "", []string{"X", long}, errkind.HeaderTooLarge, errkind.No},
		{"large body", "POST", "/", strings.Repeat("x", 200001), nil, errkind.BodyTooLarge, errkind.No},
		{"no target", "GET", "/", "", nil, errkind.NoTarget, errkind.No},
		{"key on another route", "GET", "/", "", []string{dialect.HeaderKey, "k"}, errkind.NoTarget, errkind.No},
		// An earlier request with the key may have run.
		{"keyed, service", "POST", "/claim", "", []string{dialect.HeaderKey, "k", dialect.HeaderService, "none"}, errkind.UnknownService, errkind.Unknown},
		{"keyed, shift", "POST", "/claim", "", []string{dialect.HeaderKey, "k", dialect.HeaderShift, "none"}, errkind.UnknownShift, errkind.Unknown},
		{"keyed, deadline", "POST", "/claim", "", []string{dialect.HeaderKey, "k", dialect.HeaderDeadline, "0"}, errkind.BadDeadline, errkind.Unknown},
		{"keyed, large body", "POST", "/claim", strings.Repeat("x", 200001), []string{dialect.HeaderKey, "k"}, errkind.BodyTooLarge, errkind.Unknown},
		// The ledger has checked that the key had not started before.
		{"keyed, no backup", "POST", "/claim", "", []string{dialect.HeaderKey, "k", dialect.HeaderDeadline, "50"}, errkind.LedgerNoBackup, errkind.No},
		{"escaped path", "POST", "/%63laim", "", nil, errkind.MissingKey, errkind.No},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := *w
			w.T = t
			w.expectError(w.request(c.method, c.path, c.body, c.headers...), c.kind, c.didRun)
			w.waitReleased()
		})
	}
	w.h.Ready = func() bool { return false }
	w.expectError(w.request("GET", "/", ""), errkind.NotReady, errkind.No)
	w.expectError(w.request("GET", "/", "", dialect.HeaderKey, "k"), errkind.NotReady, errkind.Unknown)
}

// Guards against request bodies whose total size in memory has no bound.
func TestBodyMemory(t *testing.T) {
	release := make(chan struct{})
	w := newTestEntry(t, false, target(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	}))
	w.h.Bodies = NewBodyMemory(150_000)
	done := make(chan error)
	go func() {
		_, _, err := w.do(w.request("POST", "/", strings.Repeat("x", 100_000)))
		done <- err
	}()
	for w.d.Load().InFlight == 0 {
		time.Sleep(time.Millisecond)
	}
	w.expectError(w.request("POST", "/", strings.Repeat("x", 100_000)), errkind.QueueFull, errkind.No)
	close(release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if resp, _, err := w.do(w.request("POST", "/", strings.Repeat("x", 100_000))); err != nil || resp.StatusCode != 200 {
		t.Error(resp, err)
	}
}

// Guards against a replayed answer that names the wrong request.
func TestReplay(t *testing.T) {
	w := newTestEntry(t, false)
	w.ledger.stored = &StoredAnswer{Status: 201, Header: http.Header{dialect.HeaderRequestID: {"first"}}, Body: []byte("done")}
	resp, body, err := w.do(w.request("POST", "/claim", "", dialect.HeaderKey, "k", dialect.HeaderRequestID, "second"))
	if err != nil || resp.StatusCode != 201 || body != "done" || resp.Header.Get(dialect.HeaderRequestID) != "second" || resp.Header.Get(dialect.HeaderReplayed) != "first" {
		t.Error(resp, body, err)
	}
}

// Guards against the statement "not run" that an earlier try has proved, but the
// last one has not: another request with the key may have run in between. Also guards
// against an error kind that depends on whether the deadline comes during a connection
// attempt or between two.
func TestNotRunProofOfEarlierTryExpires(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempts int32 // connection attempts that end; the deadline ends the next one
		kind     errkind.Kind
	}{
		{"refused until the deadline", math.MaxInt32, errkind.TargetUnreachable},
		{"deadline during a connection attempt", 3, errkind.TargetUnreachable},
		{"deadline during the second connection attempt", 1, errkind.Stopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			lis, err := net.Listen("tcp", ports.For(t))
			if err != nil {
				t.Fatal(err)
			}
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = lis.Close()
				w.Header().Set("Connection", "close")
				w.Header().Set(headerKind, string(errkind.Stopping))
				w.Header().Set(dialect.HeaderNotRun, "true")
			})}
			defer srv.Close()
			go func() { _ = srv.Serve(lis) }()
			w := newTestEntry(t, false)
			var dials atomic.Int32
			w.h.Peers = &connection.Transport{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				if dials.Add(1) > c.attempts {
					<-ctx.Done()
				}
				return connection.Dial(ctx, network, addr)
			}}
			w.ledger.elsewhere = true
			w.groups.moveTo(lis.Addr().String())
			// The deadline leaves time for the first answer and three more tries on a busy machine.
			w.expectError(w.request("GET", "/claim", "", dialect.HeaderKey, "k", dialect.HeaderDeadline, "1500"), c.kind, errkind.Unknown)
		})
	}
}

// Guards against the loss of the header that marks a request from another data
// centre, when an entry that does not dispatch the service forwards the request to
// the one that does. The request would bypass the ramp and could be forwarded to a
// third data centre.
func TestRemoteHeaderIsKept(t *testing.T) {
	var got http.Header
	w := newTestEntry(t, true)
	w.groups.moveTo(target(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Clone() }))
	for _, remote := range []string{"1", ""} {
		if _, _, err := w.do(w.request("GET", "/", "", headerHops, "1", headerRemote, remote)); err != nil || got.Get(headerRemote) != remote {
			t.Errorf("%q became %q, %v", remote, got.Get(headerRemote), err)
		}
	}
}

// Guards against a Retry-After hint that is lost when the refusal passes through
// another entry.
func TestForwardedRetryAfter(t *testing.T) {
	w := newTestEntry(t, true)
	w.groups.moveTo(target(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerKind, string(errkind.QueueFull))
		w.Header().Set(headerRetryAfter, "4000")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	resp, _, err := w.do(w.request("GET", "/", "", headerHops, "1", headerRemote, "1"))
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "4" {
		t.Error(resp, err)
	}
}

// Guards against the statement "not run" about a request that an earlier attempt may
// have run, because the last attempt proves it of itself only.
func TestRefusalAfterAttemptThatMayHaveRun(t *testing.T) {
	hangsUp, seen := rawTarget(t, constantAnswer(""))
	for name, others := range map[string][]string{
		"no other target":            nil,
		"the other target sheds":     {target(t, shed)},
		"the other target is closed": {ports.For(t)},
	} {
		t.Run(name, func(t *testing.T) {
			before := seen.Load()
			w := newTestEntry(t, false, append(others, hangsUp)...)
			w.expectError(w.request("GET", "/safe", "", dialect.HeaderDeadline, "400"), errkind.TargetFailed, errkind.Unknown)
			if seen.Load() == before {
				t.Error("no request reached the target that hangs up")
			}
		})
	}
}

// shed refuses a request as a target does that has no slot.
func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(dialect.HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}
