package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
)

// start serves handler and returns the address and the server.
func startServer(t *testing.T, limits Limits, handler http.HandlerFunc) (string, *Server) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Handler: handler, Limits: func() Limits { return limits }, Log: logging.Discard()}
	done := make(chan error, 1)
	go func() { done <- s.Serve(lis) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx) // a test may leave a request open
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return lis.Addr().String(), s
}

var generousLimits = Limits{HeaderBytes: 4 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}

// client is a caller that writes and reads by hand.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{t: t, Conn: c, r: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func (c *client) readResponse() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("body: %v", err)
	}
	return resp, string(body)
}

// Guards against requests of a connection that wait for each other, and against
// answers that go out in another order than the requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	both := make(chan struct{}, 2)
	addr, _ := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		both <- struct{}{}
		if r.URL.Path == "/1" {
			for len(both) < 2 {
				time.Sleep(time.Millisecond) // until the second request runs
			}
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, addr)
	c.send(getRequest("/1") + getRequest("/2"))
	for _, want := range []string{"/1", "/2"} {
		if _, got := c.readResponse(); got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
	}
}

// Guards against a request that must not be repeated being passed on while an
// earlier answer may still close the connection: the caller would send it again.
func TestAwaitTurnBlocksUntilEarlierResponses(t *testing.T) {
	release := make(chan struct{})
	passed := make(chan error, 1)
	addr, s := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			passed <- AwaitTurn(r.Context())
			return
		}
		<-release
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
	})
	c := dial(t, addr)
	c.send(getRequest("/1") + getRequest("/2"))
	select {
	case err := <-passed:
		t.Fatalf("passed on before the first answer: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	if err := <-passed; err != nil {
		t.Error(err)
	}
	c.readResponse()
	c.readResponse()

	release = make(chan struct{})
	c = dial(t, addr)
	c.send(getRequest("/abort") + getRequest("/2"))
	time.Sleep(20 * time.Millisecond)
	close(release)
	if err := <-passed; err == nil {
		t.Error("passed on although the connection ended with the first answer")
	}
	_ = s
}

// Guards against work that goes on after its caller has left.
func TestCallerDisconnects(t *testing.T) {
	ended := make(chan struct{}, 3)
	addr, _ := startServer(t, generousLimits, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended <- struct{}{}
	})
	c, last := dial(t, addr), dial(t, addr)
	c.send(getRequest("/1") + getRequest("/2"))
	last.send("GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	c.Close()
	last.Close()
	for range 3 {
		select {
		case <-ended:
		case <-time.After(2 * time.Second):
			t.Fatal("a request goes on after its caller has left")
		}
	}
}

// Guards against an answer that ends early and looks complete.
func TestIncompleteResponseIsDetectable(t *testing.T) {
	addr, _ := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = io.WriteString(w, "some")
		if r.URL.Path != "/length" {
			panic(http.ErrAbortHandler)
		}
	})
	for _, path := range []string{"/length", "/chunked"} {
		c := dial(t, addr)
		c.send(getRequest(path))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			continue // nothing at all is broken as well
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: the answer looks complete", path)
		}
	}
}

// Guards against heads that take too long, are too large or cannot be read and
// get no answer of their own kind.
func TestHeadLimits(t *testing.T) {
	limits := Limits{HeaderBytes: 1 << 10, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 5 * time.Second}
	addr, _ := startServer(t, limits, func(http.ResponseWriter, *http.Request) {})
	for _, tc := range []struct {
		text   string
		status int
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\n", http.StatusRequestTimeout},
		{"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"nonsense\r\n\r\n", http.StatusBadRequest},
	} {
		c := dial(t, addr)
		c.send(tc.text)
		if resp, _ := c.readResponse(); resp.StatusCode != tc.status || !resp.Close {
			t.Errorf("%.20q: status %d, close %v; want %d and close", tc.text, resp.StatusCode, resp.Close, tc.status)
		}
	}
}

// Guards against idle connections that are kept for ever or closed while a
// request is in progress.
func TestIdleTimeout(t *testing.T) {
	limits := Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: 150 * time.Millisecond}
	addr, _ := startServer(t, limits, func(http.ResponseWriter, *http.Request) { time.Sleep(400 * time.Millisecond) })
	c := dial(t, addr)
	c.send(getRequest("/"))
	c.readResponse()
	began := time.Now()
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("idle connection: %v", err)
	}
	if idle := time.Since(began); idle < 100*time.Millisecond || idle > time.Second {
		t.Errorf("closed after %v", idle)
	}
}

// Guards against a planned stop that cuts a request or takes another one on a
// connection whose last answer said that it closes.
func TestDrainAndShutdown(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 10)
	addr, s := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	idle, busy := dial(t, addr), dial(t, addr)
	busy.send(getRequest("/"))
	<-started
	s.Drain()
	down := make(chan error, 1)
	go func() { down <- s.Shutdown(context.Background()) }()
	if _, err := idle.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v", err)
	}
	select {
	case err := <-down:
		t.Fatalf("shut down with a request in flight: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	resp, body := busy.readResponse()
	if body != "whole" || !resp.Close {
		t.Errorf("answer %q, close %v", body, resp.Close)
	}
	busy.Write([]byte(getRequest("/"))) // may fail: the connection closes
	if err := <-down; err != nil {
		t.Error(err)
	}
	if len(started) > 0 {
		t.Error("a request was taken after the last answer")
	}
}

// Guards against a connection with pipelined requests that never ends while its
// server drains.
func TestDrainEndsPipelinedConnection(t *testing.T) {
	var taken atomic.Int32
	addr, s := startServer(t, generousLimits, func(_ http.ResponseWriter, r *http.Request) {
		taken.Add(1)
		time.Sleep(50 * time.Millisecond)
	})
	c := dial(t, addr)
	c.send(getRequest("/1") + getRequest("/2"))
	time.Sleep(20 * time.Millisecond)
	s.Drain()
	c.send(getRequest("/3"))
	if resp, _ := c.readResponse(); resp.Close {
		t.Error("the first answer closes although a second request was taken")
	}
	if resp, _ := c.readResponse(); !resp.Close {
		t.Error("the last answer does not close")
	}
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last answer: %v", err)
	}
	if taken.Load() != 2 {
		t.Errorf("%d requests were taken, want 2", taken.Load())
	}
}

// Guards against a request body that is taken for the next request, and
// against a connection that is lost because a handler did not read a body.
func TestRequestBodies(t *testing.T) {
	addr, _ := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			data, err := io.ReadAll(r.Body)
			fmt.Fprintf(w, "%s %v", data, err)
		}
	})
	post := func(path, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	}
	chunked := "POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	c := dial(t, addr)
	c.send(post("/skip", getRequest("/smuggled")) + post("/read", "abc") + chunked + getRequest("/last"))
	for i, want := range []string{"", "abc <nil>", "abc <nil>", ""} {
		if _, got := c.readResponse(); got != want {
			t.Errorf("answer %d: %q, want %q", i, got, want)
		}
	}
	c.send("POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.Contains(line, "100") {
		t.Fatalf("%q, %v", line, err)
	}
	_, _ = c.r.ReadString('\n')
	c.send("abc")
	if _, got := c.readResponse(); got != "abc <nil>" {
		t.Errorf("answer %q", got)
	}
}

// Guards against a connection that is closed before the answer to a request
// whose body did not arrive.
func TestResponseToIncompleteBody(t *testing.T) {
	addr, _ := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := io.ReadAll(r.Body); err == nil {
			t.Error("the body is whole")
		}
		time.Sleep(5 * time.Millisecond)
		w.WriteHeader(http.StatusRequestTimeout)
	})
	for range 20 {
		c := dial(t, addr)
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nonly this")
		if resp, _ := c.readResponse(); resp.StatusCode != http.StatusRequestTimeout {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
}
