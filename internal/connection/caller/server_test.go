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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
)

// startServer starts a server and returns its address and the server.
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
		_ = s.Shutdown(ctx) // a test may leave a request in progress
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return lis.Addr().String(), s
}

var generousLimits = Limits{HeaderBytes: 4 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}

// client is a caller that writes raw requests and parses the responses.
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
		c.t.Fatalf("no response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("response body: %v", err)
	}
	return resp, string(body)
}

// Guards against pipelined requests that are handled one after another, and
// against responses in another order than the requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	started := make(chan struct{}, 2)
	addr, _ := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		if r.URL.Path == "/1" {
			for len(started) < 2 {
				time.Sleep(time.Millisecond) // wait until the second request is handled
			}
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, addr)
	c.send(getRequest("/1") + getRequest("/2"))
	for _, want := range []string{"/1", "/2"} {
		if _, got := c.readResponse(); got != want {
			t.Errorf("response %q, want %q", got, want)
		}
	}
}

// Guards against forwarding a request that must not run twice while an earlier
// response may still close the connection: the caller would then send the
// request again.
func TestAwaitTurnBlocksUntilEarlierResponses(t *testing.T) {
	release := make(chan struct{})
	awaited := make(chan error, 1)
	addr, s := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			awaited <- AwaitTurn(r.Context())
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
	case err := <-awaited:
		t.Fatalf("AwaitTurn returned before the first response: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	if err := <-awaited; err != nil {
		t.Error(err)
	}
	c.readResponse()
	c.readResponse()

	release = make(chan struct{})
	c = dial(t, addr)
	c.send(getRequest("/abort") + getRequest("/2"))
	time.Sleep(20 * time.Millisecond)
	close(release)
	if err := <-awaited; err == nil {
		t.Error("AwaitTurn returned no error although the connection ended with the first response")
	}
	_ = s
}

// Guards against requests that continue after the caller has closed the
// connection.
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
			t.Fatal("a request continues after its caller has closed the connection")
		}
	}
}

// Guards against an incomplete response that looks complete to the caller.
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
			continue // no response head is an incomplete response as well
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: the response looks complete", path)
		}
	}
}

// Guards against request heads that arrive too slowly, are too large or are
// malformed without getting the status for that fault.
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

// Guards against idle connections that are never closed, and against closing a
// connection by the idle timeout while a request is in progress.
func TestIdleTimeout(t *testing.T) {
	limits := Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: 150 * time.Millisecond}
	addr, _ := startServer(t, limits, func(http.ResponseWriter, *http.Request) { time.Sleep(400 * time.Millisecond) })
	c := dial(t, addr)
	c.send(getRequest("/"))
	c.readResponse()
	began := time.Now()
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("read on the idle connection: %v", err)
	}
	if idle := time.Since(began); idle < 100*time.Millisecond || idle > time.Second {
		t.Errorf("idle connection closed after %v", idle)
	}
}

// Guards against a planned stop that aborts a request, or that accepts another
// request on a connection after the response with Connection: close.
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
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- s.Shutdown(context.Background()) }()
	if _, err := idle.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read on the idle connection: %v", err)
	}
	select {
	case err := <-shutdownDone:
		t.Fatalf("Shutdown returned with a request in progress: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	resp, body := busy.readResponse()
	if body != "whole" || !resp.Close {
		t.Errorf("response %q, close %v", body, resp.Close)
	}
	busy.Write([]byte(getRequest("/"))) // may fail: the connection closes
	if err := <-shutdownDone; err != nil {
		t.Error(err)
	}
	if len(started) > 0 {
		t.Error("a request was accepted after the last response")
	}
}

// Guards against a request that is neither answered nor refused for the rest of a
// planned stop: the head of the response before it was written before the stop
// began, so it did not say that the connection closes.
func TestDrainBetweenHeadAndEndOfResponse(t *testing.T) {
	headWritten, release := make(chan struct{}), make(chan struct{})
	addr, s := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			return
		}
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		close(headWritten)
		<-release
	})
	c := dial(t, addr)
	c.send(getRequest("/long"))
	<-headWritten
	s.Drain()
	close(release)
	if resp, _ := c.readResponse(); resp.Close {
		t.Error("the response closes the connection although its head was written before the stop")
	}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	c.send(getRequest("/next"))
	if resp, _ := c.readResponse(); !resp.Close {
		t.Error("the first response after the stop began does not close the connection")
	}
}

// Guards against a planned stop that closes the connections of the requests still in
// progress at its end before these requests can be answered.
func TestShutdownLetsCancelledRequestsAnswer(t *testing.T) {
	started := make(chan struct{}, 2)
	addr, s := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		_, _ = io.WriteString(w, context.Cause(r.Context()).Error())
	})
	c := dial(t, addr)
	c.send(getRequest("/1") + getRequest("/2"))
	<-started
	<-started
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- s.Shutdown(ended) }()
	for _, last := range []bool{false, true} {
		if resp, body := c.readResponse(); body != ErrShutdown.Error() || resp.Close != last {
			t.Errorf("response %q, close %v, want the cause of the shutdown and close %v", body, resp.Close, last)
		}
	}
	if err := <-shutdownDone; !errors.Is(err, context.Canceled) {
		t.Errorf("Shutdown returned %v", err)
	}
}

// busyListener is a listener of a process that is too busy to accept connections and
// to read from them until the channels are closed.
type busyListener struct {
	*net.TCPListener
	accept, read chan struct{}
}

func (l busyListener) Accept() (net.Conn, error) {
	<-l.accept
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return busyConn{c, l.read}, nil
}

type busyConn struct {
	net.Conn
	read chan struct{}
}

func (c busyConn) Read(p []byte) (int, error) {
	<-c.read
	return c.Conn.Read(p)
}

// Guards against connections that are reset, with requests that have arrived, when a
// planned stop closes the listener and the connections without a request in a process
// that was too busy to accept or to read.
func TestRequestsThatHaveArrivedAreAnsweredAtShutdown(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		t.Run(fmt.Sprintf("accepted %v", accepted), func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			busy := busyListener{lis.(*net.TCPListener), make(chan struct{}), make(chan struct{})}
			s := &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Limits: func() Limits { return generousLimits }, Log: logging.Discard()}
			served := make(chan error, 1)
			go func() { served <- s.Serve(busy) }()
			if accepted {
				close(busy.accept)
			}
			c := dial(t, lis.Addr().String())
			c.send(getRequest("/"))
			time.Sleep(20 * time.Millisecond) // lets the request arrive, and the accepted connection wait for it
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(context.Background()) }()
			time.Sleep(20 * time.Millisecond)
			if !accepted {
				close(busy.accept)
			}
			close(busy.read)
			if resp, _ := c.readResponse(); resp.StatusCode != http.StatusOK || !resp.Close {
				t.Errorf("status %d, close %v; want 200 and close", resp.StatusCode, resp.Close)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
			<-served
		})
	}
}

// Guards against a planned stop that closes the connections of requests whose head or
// body is incomplete at its end, without an answer.
func TestShutdownAnswersIncompleteRequests(t *testing.T) {
	for name, text := range map[string]string{
		"head": "GET / HTTP/1.1\r\nHost: h\r\n",
		"body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			addr, s := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
			c := dial(t, addr)
			c.send(text)
			time.Sleep(50 * time.Millisecond) // lets the server read it
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			_ = s.Shutdown(ended) // reports that a request was in progress
			if resp, _ := c.readResponse(); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("status %d, close %v; want 503 and close", resp.StatusCode, resp.Close)
			}
		})
	}
}

// pausingListener accepts connections whose first Read reports on read that it has
// taken bytes, and returns them when release is closed.
type pausingListener struct {
	net.Listener
	read, release chan struct{}
}

func (l pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{Conn: c, l: l}, nil
}

type pausingConn struct {
	net.Conn
	l    pausingListener
	once sync.Once
}

func (c *pausingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.once.Do(func() {
			close(c.l.read)
			<-c.l.release
		})
	}
	return n, err
}

// Guards against a request that the process has taken from a kept connection when a
// planned stop closes the connections without a request: it got no answer, although
// it could be handled.
func TestRequestTakenWhileIdleConnectionsCloseIsAnswered(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	paused := pausingListener{lis, make(chan struct{}), make(chan struct{})}
	s := &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Limits: func() Limits { return generousLimits }, Log: logging.Discard()}
	served := make(chan error, 1)
	go func() { served <- s.Serve(paused) }()
	c := dial(t, lis.Addr().String())
	c.send(getRequest("/"))
	<-paused.read
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	for !s.isClosed() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * shutdownPollInterval) // lets Shutdown look at the connection
	close(paused.release)
	if resp, _ := c.readResponse(); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, close %v; want 200 and close", resp.StatusCode, resp.Close)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	<-served
}

// Guards against a connection that is closed without the response to a pipelined request,
// because the time to write it has passed while it waited for an earlier response.
func TestReadyResponseOutlastsTheWaitForItsTurn(t *testing.T) {
	ready := make(chan struct{})
	addr, _ := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-ready
			time.Sleep(50 * time.Millisecond)
			return
		}
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
		close(ready)
	})
	c := dial(t, addr)
	c.send(getRequest("/slow") + getRequest("/ready"))
	for _, path := range []string{"/slow", "/ready"} {
		if resp, _ := c.readResponse(); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", path, resp.StatusCode)
		}
	}
}

// Guards against a draining server whose connections with pipelined requests stay
// open, and against closing such a connection before all accepted requests are
// answered.
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
		t.Error("the first response closes the connection although a second request was accepted")
	}
	if resp, _ := c.readResponse(); !resp.Close {
		t.Error("the last response does not close the connection")
	}
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after the last response: %v", err)
	}
	if taken.Load() != 2 {
		t.Errorf("%d requests were accepted, want 2", taken.Load())
	}
}

// Guards against parsing a request body as the next request, and against closing
// a connection because a handler did not read a small body. Also checks chunked
// bodies and Expect: 100-continue.
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
			t.Errorf("response %d: %q, want %q", i, got, want)
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
		t.Errorf("response %q", got)
	}
}

// Guards against closing a connection before the response to a request whose body
// did not arrive in full.
func TestResponseToIncompleteBody(t *testing.T) {
	addr, _ := startServer(t, generousLimits, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := io.ReadAll(r.Body); err == nil {
			t.Error("the incomplete body was read without an error")
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
