package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startScriptedTarget starts a target that passes each connection to handle,
// with n counting the connections from 1. It returns the address of the target
// and the number of connections so far.
func startScriptedTarget(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) (addr string, conns *atomic.Int32) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns = &atomic.Int32{}
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1))
			go func() {
				defer c.Close()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return lis.Addr().String(), conns
}

// readRequest reads one request and its body.
func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newTransport(t *testing.T) *Transport {
	tr := &Transport{
		Dial:       Dial,
		RequestID:  func(req *http.Request) string { return req.Header.Get("Id") },
		ResponseID: func(resp *http.Response) string { return resp.Header.Get("Id") },
	}
	t.Cleanup(tr.CloseIdleConnections)
	return tr
}

// sendRequest sends a POST request. It returns the body of the response and
// whether a byte of the request was written.
func sendRequest(t *testing.T, tr *Transport, addr, id, body string) (text string, wrote bool, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote = true }})
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", id)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return "", wrote, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), wrote, err
}

// Guards against opening a new connection for each request, and against reusing
// a connection that the target has closed or on which it has sent bytes that
// belong to no request.
func TestConnectionsAreReused(t *testing.T) {
	for _, tc := range []struct {
		name, after string // what the target sends or does right after its response
		conns       int32
	}{
		{"kept", "", 1},
		{"extra bytes", "garbage", 3},
		{"closing", "close", 3},
	} {
		addr, conns := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, okResponse)
				if tc.after == "close" {
					return
				}
				_, _ = io.WriteString(c, tc.after)
			}
		})
		tr := newTransport(t)
		for i := range 3 {
			if text, _, err := sendRequest(t, tr, addr, fmt.Sprint(i), "body"); text != "ok" || err != nil {
				t.Errorf("%s: %q, %v", tc.name, text, err)
			}
			time.Sleep(10 * time.Millisecond) // lets the bytes or the close after the response arrive
		}
		if got := conns.Load(); got != tc.conns {
			t.Errorf("%s: %d connections, want %d", tc.name, got, tc.conns)
		}
	}
}

// Guards against returning a late response to an earlier request on the same
// connection as the response to a later request.
func TestLateResponseIsSkipped(t *testing.T) {
	addr, conns := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		earlier := ""
		for {
			req, _, err := readRequest(r)
			if err != nil {
				return
			}
			own := req.Header.Get("Id")
			for _, id := range []string{earlier, own} {
				if id != "" {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
				}
			}
			earlier = own
		}
	})
	tr := newTransport(t)
	for _, id := range []string{"one", "two", "three"} {
		if text, _, err := sendRequest(t, tr, addr, id, ""); text != id || err != nil {
			t.Errorf("response %q, %v; want %q", text, err, id)
		}
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections, want 1", conns.Load())
	}
}

// Guards against a repeated response that is taken for a foreign one because many
// requests lie between it and the request that it names. The right response follows
// it, and must be returned.
func TestResponseToAnyEarlierRequestIsSkipped(t *testing.T) {
	const requests = 20
	named := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
	addr, conns := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for n := 1; ; n++ {
			req, _, err := readRequest(r)
			if err != nil {
				return
			}
			if n == requests {
				_, _ = io.WriteString(c, named("id-1"))
			}
			_, _ = io.WriteString(c, named(req.Header.Get("Id")))
		}
	})
	tr := newTransport(t)
	for n := 1; n <= requests; n++ {
		id := fmt.Sprintf("id-%d", n)
		if text, _, err := sendRequest(t, tr, addr, id, ""); text != id || err != nil {
			t.Errorf("response %q, %v; want %q", text, err, id)
		}
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections, want 1", conns.Load())
	}
}

// Guards against a repeated response that is taken for the one to a later request
// with the same identifier.
func TestSameIdentifierTakesAnotherConnection(t *testing.T) {
	addr, conns := startScriptedTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := readRequest(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 1\r\n\r\n%d", req.Header.Get("Id"), n)
		}
	})
	tr := newTransport(t)
	for _, c := range []struct{ id, conn string }{{"a", "1"}, {"b", "1"}, {"a", "2"}, {"c", "2"}, {"b", "2"}, {"a", "3"}} {
		if text, _, err := sendRequest(t, tr, addr, c.id, ""); text != c.conn || err != nil {
			t.Errorf("request %s on connection %s, %v; want %s", c.id, text, err, c.conn)
		}
	}
	if conns.Load() != 3 {
		t.Errorf("%d connections, want 3", conns.Load())
	}
}

// Guards against the reuse of a connection after a response that names another
// request or, unlike the earlier ones, none: the right response may still follow.
func TestConnectionIsNotReusedAfterForeignResponse(t *testing.T) {
	for _, head := range []string{"Id: other\r\n", ""} {
		addr, conns := startScriptedTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			for i := 1; ; i++ {
				req, _, err := readRequest(r)
				if err != nil {
					return
				}
				if n == 1 && i == 2 {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 0\r\n\r\n")
					continue // the target works on the request
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("Id"))
			}
		})
		tr := newTransport(t)
		for i, want := range []string{"ok", "", "ok"} {
			if text, _, err := sendRequest(t, tr, addr, fmt.Sprint(i), ""); text != want || err != nil {
				t.Errorf("%q, request %d: %q, %v", head, i, text, err)
			}
		}
		if conns.Load() != 2 {
			t.Errorf("%q: %d connections, want 2", head, conns.Load())
		}
	}
}

// Guards against a connection whose memory of identifiers grows without bound.
func TestConnectionEndsAfterMaxRequests(t *testing.T) {
	addr, conns := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	tr := newTransport(t)
	for n := range maxRequests + 1 {
		if _, _, err := sendRequest(t, tr, addr, fmt.Sprint(n), ""); err != nil {
			t.Fatal(err)
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections for %d requests, want 2", conns.Load(), maxRequests+1)
	}
}

// Guards against skipping a response that names a request which the connection
// never carried. If a target confuses the responses of two connections, the
// right one does not follow, and the request would wait until its deadline.
func TestResponseWithUnknownIDIsReturned(t *testing.T) {
	addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok")
		_, _ = r.ReadByte()
	})
	began := time.Now()
	if text, _, err := sendRequest(t, newTransport(t), addr, "one", ""); text != "ok" || err != nil {
		t.Errorf("%q, %v after %v; want the response with the other identifier", text, err, time.Since(began))
	}
}

// Guards against reporting a request as not sent although a byte of it was
// written, and as sent although nothing was written.
func TestWroteHeadersReportsSentBytes(t *testing.T) {
	addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) { _, _, _ = readRequest(r) })
	if _, wrote, err := sendRequest(t, newTransport(t), addr, "a", ""); err == nil || !wrote {
		t.Errorf("closed without a response: wrote %v, %v", wrote, err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis.Close()
	if _, wrote, err := sendRequest(t, newTransport(t), lis.Addr().String(), "a", ""); err == nil || wrote {
		t.Errorf("refused connection: wrote %v, %v", wrote, err)
	}
}

// Guards against accepting a truncated or malformed response as a complete one.
func TestMalformedResponses(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"nonsense",
		"",
	} {
		addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(c, text)
		})
		if got, _, err := sendRequest(t, newTransport(t), addr, "a", ""); err == nil {
			t.Errorf("%q: accepted as the complete response %q", text, got)
		}
	}
}

// Guards against accepting a response without a length as complete although the
// connection was reset while it was sent.
func TestResponsesWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok")
			if reset {
				time.Sleep(20 * time.Millisecond) // lets the bytes arrive before the reset
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		text, _, err := sendRequest(t, newTransport(t), addr, "a", "")
		if reset != (err != nil) || !reset && text != "ok" {
			t.Errorf("reset %v: %q, %v", reset, text, err)
		}
	}
}

// Guards against two faults when a target responds before it has read a large
// body: a response that does not arrive, and bytes of the next request that are
// sent within the rest of the body. The target reads the body only after the
// response has arrived, so a transport that first writes the whole body gets no
// response.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	const size = 8 << 20
	bodyRead, answered := make(chan int64, 1), make(chan struct{})
	addr, _ := startScriptedTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(c, okResponse)
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno")
		<-answered
		got, _ := io.Copy(io.Discard, req.Body)
		bodyRead <- got
	})
	tr := newTransport(t)
	text, _, err := sendRequest(t, tr, addr, "a", strings.Repeat("x", size))
	close(answered)
	if text != "no" || err != nil {
		t.Errorf("%q, %v", text, err)
	}
	if text, _, err := sendRequest(t, tr, addr, "b", ""); text != "ok" || err != nil {
		t.Errorf("next request: %q, %v", text, err)
	}
	if got := <-bodyRead; got > size {
		t.Errorf("target read a body of %d bytes, %d were sent", got, size)
	}
}

// Guards against a target that continues to work on a request that has been
// cancelled: the cancellation must close the connection.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, err := r.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := newTransport(t).RoundTrip(req); err == nil {
		t.Error("got a response to a cancelled request")
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open")
	}
}

// Guards against reusing a connection close to or after the end of the
// keep-alive timeout that the target states.
func TestKeepAliveTimeoutIsRespected(t *testing.T) {
	addr, conns := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	tr := newTransport(t)
	for range 2 {
		if _, _, err := sendRequest(t, tr, addr, "a", ""); err != nil {
			t.Fatal(err)
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2: the target may close the connection within the margin", conns.Load())
	}
}

// Guards against a target that sends bytes without end where a response head is due:
// they must not be kept in memory until the deadline.
func TestEndlessHeads(t *testing.T) {
	const most = 32 << 20 // bytes; far more than a head and the buffers of a connection
	for name, text := range map[string]struct{ start, repeated string }{
		"no response":          {"", strings.Repeat("x", 1<<10)},
		"status line":          {"HTTP/1.1 200 ", strings.Repeat("x", 1<<10)},
		"header line":          {"HTTP/1.1 200 OK\r\nField: ", strings.Repeat("x", 1<<10)},
		"continued line":       {"HTTP/1.1 200 OK\r\nField: x\r\n", " " + strings.Repeat("x", 1<<10) + "\r\n"},
		"header lines":         {"HTTP/1.1 200 OK\r\n", "Field: " + strings.Repeat("x", 1<<10) + "\r\n"},
		"interim responses":    {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"responses to request": {"", "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 2\r\n\r\nok")
				if _, _, err := readRequest(r); err != nil {
					return
				}
				_, err := io.WriteString(c, text.start)
				total := 0
				for block := strings.Repeat(text.repeated, 1+(64<<10)/len(text.repeated)); err == nil && total < most; {
					var n int
					n, err = io.WriteString(c, block)
					total += n
				}
				sent <- total
			})
			tr := newTransport(t)
			if _, _, err := sendRequest(t, tr, addr, "earlier", ""); err != nil {
				t.Fatal(err)
			}
			if got, _, err := sendRequest(t, tr, addr, "later", ""); err == nil {
				t.Errorf("accepted as the response %q", got)
			}
			if n := <-sent; n >= most {
				t.Errorf("the connection was kept until the target had sent %d bytes", n)
			}
		})
	}
}
