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
