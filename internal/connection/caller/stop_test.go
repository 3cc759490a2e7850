package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
)

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
