package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
)

// endlessTarget starts a target that answers requests to paths that contain "good" and
// sends head and then block without end to any other request, or once if stall is set.
// open counts the connections on which it does so, and sent the bytes of all blocks.
func endlessTarget(t *testing.T, head string, block []byte, stall bool) (addr string, open *atomic.Int32, sent *atomic.Int64) {
	open, sent = &atomic.Int32{}, &atomic.Int64{}
	return serveConns(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if strings.Contains(req.URL.Path, "good") {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				continue
			}
			open.Add(1)
			defer open.Add(-1)
			_, err = io.WriteString(c, head)
			for err == nil {
				var n int
				n, err = c.Write(block)
				sent.Add(int64(n))
				if stall {
					_, _ = io.Copy(io.Discard, r)
					return
				}
			}
			return
		}
	}), open, sent
}

// heapInUse returns the bytes of the objects on the heap after a collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // the second one frees what finalizers and pools kept
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// waitFor waits up to 5 s until n has the value want.
func waitFor(t *testing.T, what string, n *atomic.Int32, want int32) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); n.Load() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d %s, want %d", n.Load(), what, want)
		}
	}
}

// expectGood sends a request that the target of endlessTarget answers.
func (w *testEntry) expectGood() {
	w.Helper()
	req := w.request("GET", "/safe/good", "")
	req.Host = "rota.example"
	if resp, body, err := w.do(req); err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		w.Errorf("another request got %v %q, error %v", resp, body, err)
	}
}

// Guards against a target that sends bytes without end where a head is due: the caller
// must learn soon that the request may have run, and other requests must be answered.
func TestEndlessHeadIsAnswered(t *testing.T) {
	for name, tc := range map[string]struct {
		head, repeated string
		stall          bool
		kind           errkind.Kind
	}{
		"no response":        {"", "bytes that are no response ", false, errkind.TargetFailed},
		"malformed line":     {"", "bytes that are no response\r\n", false, errkind.TargetFailed},
		"field":              {"HTTP/1.1 200 OK\r\nField: ", "value", false, errkind.TargetFailed},
		"fields":             {"HTTP/1.1 200 OK\r\n", "a:\r\n", false, errkind.TargetFailed},
		"interim":            {"", "HTTP/1.1 103 Early Hints\r\n\r\n", false, errkind.TargetFailed},
		"refusal in a field": {"HTTP/1.1 503 Service Unavailable\r\n", dialect.HeaderNotRun + ": true\r\n", false, errkind.TargetFailed},
		"stalled":            {"HTTP/1.1 200 OK\r\nField: ", "x", true, errkind.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			addr, open, _ := endlessTarget(t, tc.head, bytes.Repeat([]byte(tc.repeated), 1000), tc.stall)
			w := newTestEntry(t, false, addr)
			timeout, limit := 5*time.Second, 2500*time.Millisecond
			if tc.stall {
				timeout, limit = 400*time.Millisecond, 2*time.Second // far above the timeout, for a machine with other work
			}
			w.useDocument(endlessTimeout(timeout.String()))
			w.expectGood()
			req := w.request("GET", "/safe/1", "")
			req.Host = "rota.example"
			start := time.Now()
			w.expectError(req, tc.kind, errkind.Unknown)
			if took := time.Since(start); took > limit {
				t.Errorf("answered after %v", took)
			}
			waitFor(t, "connections to the target", open, 0)
			w.expectGood()
			w.waitReleased()
		})
	}
}

// openUnread sends n requests whose answers are not read, and returns their connections.
func (w *testEntry) openUnread(n int) (callers []net.Conn) {
	w.Helper()
	for range n {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			w.Fatal(err)
		}
		w.Cleanup(func() { c.Close() })
		callers = append(callers, c)
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10) // the default grows to 32 MB, which take long to fill
		if _, err := io.WriteString(c, "GET /safe/1 HTTP/1.1\r\nHost: rota.example\r\nFescue-Shift: s1\r\n\r\n"); err != nil {
			w.Fatal(err)
		}
	}
	return callers
}

// waitStalled waits up to 10 s until the buffers of the connections are full: n stays the
// same for 300 ms.
func waitStalled(t *testing.T, n *atomic.Int64) {
	t.Helper()
	end := time.Now().Add(10 * time.Second)
	for before := int64(-1); n.Load() != before; time.Sleep(300 * time.Millisecond) {
		before = n.Load()
		if time.Now().After(end) {
			t.Fatalf("%d bytes were sent and there is no end", before)
		}
	}
}

// endlessBodies holds the heads and the repeated bytes of bodies without end.
func endlessBodies() map[string]struct {
	head  string
	block []byte
} {
	data := bytes.Repeat([]byte("x"), 32<<10)
	chunk := slices.Concat(fmt.Appendf(nil, "%x\r\n", len(data)), data, []byte("\r\n"))
	return map[string]struct {
		head  string
		block []byte
	}{
		"length":         {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", data},
		"chunked":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
		"small chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", bytes.Repeat([]byte("100\r\n"+strings.Repeat("x", 256)+"\r\n"), 100)},
		"without length": {"HTTP/1.1 200 OK\r\n\r\n", data},
	}
}

// endlessTimeout returns endlessDocument with another timeout, and with answers whose end
// only the close of the connection marks.
func endlessTimeout(timeout string) string {
	return strings.NewReplacer("400ms", timeout, "health_path: /health", "health_path: /health, unframed_answers: true").Replace(endlessDocument)
}

// Guards against an answer that is kept in memory while its caller does not read it.
func TestMemoryOfEndlessBodies(t *testing.T) {
	const (
		targets  = 16
		requests = 2 * targets // all slots
		// limit is the memory of a request, in bytes: its first 64 KiB, the 32 KiB with which
		// the rest is copied, and the buffers of both connections.
		limit = 256 << 10
	)
	for name, tc := range endlessBodies() {
		t.Run(name, func(t *testing.T) {
			addr, open, sent := endlessTarget(t, tc.head, tc.block, false)
			w := newTestEntry(t, false, slices.Repeat([]string{addr}, targets)...)
			w.useDocument(endlessTimeout("60s"))
			before := heapInUse()
			callers := w.openUnread(requests)
			waitFor(t, "endless answers", open, requests)
			waitStalled(t, sent)
			got := (heapInUse() - before) / requests
			t.Logf("%d KiB of memory for each request", got>>10)
			if n := open.Load(); n != requests {
				t.Errorf("%d answers are being sent, want %d", n, requests)
			}
			if got > limit {
				t.Errorf("%d KiB of memory for each request, limit %d KiB", got>>10, limit>>10)
			}
			for _, c := range callers {
				c.Close()
			}
			waitFor(t, "connections to the target", open, 0)
			w.waitReleased()
			w.expectGood()
		})
	}
}

// Guards against an answer without end whose caller does not read it and that lasts longer
// than the timeout of the route.
func TestUnreadEndlessBodyEndsAtTimeout(t *testing.T) {
	for name, tc := range endlessBodies() {
		t.Run(name, func(t *testing.T) {
			addr, open, _ := endlessTarget(t, tc.head, tc.block, false)
			w := newTestEntry(t, false, addr)
			w.useDocument(endlessTimeout("400ms"))
			c := w.openUnread(1)[0]
			waitFor(t, "endless answers", open, 1)
			start := time.Now()
			waitFor(t, "connections to the target", open, 0)
			if took := time.Since(start); took > 2*time.Second { // far above the timeout, for a machine with other work
				t.Errorf("the connection to the target was closed after %v", took)
			}
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection to the caller is still open")
			}
			w.waitReleased()
			w.expectGood()
		})
	}
}

// Guards against targets that send a megabyte of an answer to each of many at-most-once
// requests, which the entry keeps whole, and then nothing until the deadline.
func TestMemoryOfAnswersKeptWhole(t *testing.T) {
	const (
		targets  = 32
		requests = 2 * targets // all slots
		memory   = 4 << 20     // bytes for all answers
		// limit is in bytes: the memory for answers, which the growth of a buffer doubles,
		// and 256 KiB for each request as with other bodies.
		limit = 2*memory + requests*256<<10
	)
	addr, open, sent := endlessTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n", bytes.Repeat([]byte("x"), maxStoredBody-1), true)
	w := newTestEntry(t, false, slices.Repeat([]string{addr}, targets)...)
	w.h.Answers = NewBodyMemory(memory)
	before := heapInUse()
	var broken, late atomic.Int32
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			resp, body, err := w.do(w.request("POST", "/claim", "", dialect.HeaderKey, fmt.Sprint(i)))
			switch {
			case err != nil || !strings.Contains(body, `"did_run":"unknown"`):
				t.Errorf("got %v %q, error %v", resp, body, err)
			case resp.StatusCode == errkind.AnswerBroken.Response().Status && strings.Contains(body, string(errkind.AnswerBroken)):
				broken.Add(1)
			case resp.StatusCode == errkind.DeadlineExceeded.Response().Status:
				late.Add(1)
			default:
				t.Errorf("got status %d %q", resp.StatusCode, body)
			}
		})
	}
	waitStalled(t, sent)
	if got := heapInUse() - before; got > limit {
		t.Errorf("%d KiB of memory with %d answers being read, limit %d KiB", got>>10, open.Load(), limit>>10)
	}
	wg.Wait()
	if broken.Load() == 0 || late.Load() == 0 || broken.Load()+late.Load() != requests {
		t.Errorf("%d answers broken, %d not complete before the deadline, of %d", broken.Load(), late.Load(), requests)
	}
	if end := w.ledger.ended.Load(); end != "abandoned" {
		t.Errorf("the ledger has the outcome %v", end)
	}
	w.waitReleased()
	waitFor(t, "connections to the target", open, 0)
	if used := w.h.Answers.used.Load(); used != 0 {
		t.Errorf("%d bytes remain reserved", used)
	}
}
