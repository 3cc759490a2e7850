// Package caller implements the HTTP/1.1 server for callers.
//
// Pipelined requests of one connection are handled concurrently, and their
// responses are written in the order of the requests. A handler that must not
// run while an earlier response is outstanding calls AwaitTurn. The server does
// not read ahead of the requests that it handles, so that a caller can tell
// which of its requests were accepted.
package caller

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/sirupsen/logrus"
)

// Limits bounds the size of request heads and the time that callers may take.
type Limits struct {
	HeaderBytes   int           // size of a request head
	HeaderTimeout time.Duration // from the first to the last byte of a request head
	IdleTimeout   time.Duration // without a request in progress
}

// Server serves HTTP/1.1 on the connections of callers.
type Server struct {
	Handler http.Handler
	Limits  func() Limits // returns the limits currently in force
	// Refusal returns the response to an unreadable request head. The kind of err
	// is HeaderTooLarge, SlowSender, BadRequest or Stopping. If Refusal is nil, the
	// response has the status of the kind and no body.
	Refusal func(err error) (status int, header http.Header, body []byte)
	// FinalResponseTime is how long Shutdown waits, after its context has ended, for
	// the responses to the requests that it cancels. 0 means FinalResponseTime of
	// the package.
	FinalResponseTime time.Duration
	Log               *logrus.Entry

	mu       sync.Mutex
	lis      net.Listener
	serving  chan struct{} // closed when Serve has returned; nil before Serve
	conns    map[*conn]struct{}
	draining bool // the last response of each connection says that it closes
	closed   bool // Shutdown has begun
	ended    bool // Shutdown has closed the connections
}

// Serve accepts connections until the listener fails or is closed. It returns
// http.ErrServerClosed after Shutdown and the error of the listener otherwise.
func (s *Server) Serve(lis net.Listener) error {
	s.mu.Lock()
	s.lis = lis
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.serving = make(chan struct{})
	defer close(s.serving)
	closed := s.closed
	s.mu.Unlock()
	if closed {
		_ = lis.Close()
		return http.ErrServerClosed
	}
	for {
		raw, err := lis.Accept()
		if err != nil {
			if s.isClosed() {
				s.acceptRest(lis)
				return http.ErrServerClosed
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				s.Log.WithError(err).Warn("cannot accept a connection")
				time.Sleep(acceptRetryDelay)
				continue
			}
			return err
		}
		s.start(raw)
	}
}

// listenerWithDeadline is a listener whose Accept can be ended without closing it.
type listenerWithDeadline interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// acceptRest accepts the connections that are established already and closes the
// listener, which would reset them.
func (s *Server) acceptRest(lis net.Listener) {
	defer lis.Close()
	l, ok := lis.(syscall.Conn)
	if !ok {
		return
	}
	for raw := acceptAvailable(l); raw != nil; raw = acceptAvailable(l) {
		s.start(raw)
	}
}

// start serves a new connection in its own goroutine.
func (s *Server) start(raw net.Conn) {
	if c := s.add(raw); c != nil {
		go c.serve()
	}
}

func (s *Server) refusal(err error) (status int, header http.Header, body []byte) {
	if s.Refusal != nil {
		return s.Refusal(err)
	}
	s.Log.WithError(err).Info("unreadable request head rejected")
	return errkind.Of(err).Response().Status, nil, nil
}

// acceptRetryDelay is the delay after a temporary failure to accept a
// connection, such as a lack of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// add registers a new connection. At the end of Shutdown it closes the connection
// and returns nil.
func (s *Server) add(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = raw.Close()
		return nil
	}
	c := newConn(s, raw)
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Drain makes each connection close after the requests that it has in progress,
// or after the next request if there are none. New connections are still
// accepted, but close after one request.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		c.takeNoFurtherRequests()
	}
}

// ErrShutdown is the cause with which Shutdown cancels the requests that are not
// answered in time.
var ErrShutdown = errors.New("the server shuts down")

// FinalResponseTime is the default of Server.FinalResponseTime.
const FinalResponseTime = 200 * time.Millisecond

// Shutdown stops accepting connections, closes idle ones and waits until the
// requests in progress are answered. If ctx ends first, it cancels the remaining
// requests with ErrShutdown, waits up to s.FinalResponseTime for their responses,
// closes the remaining connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.stopAccepting()
	if s.awaitIdle(ctx) {
		return nil
	}
	s.cancelRequests()
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(s.FinalResponseTime, FinalResponseTime))
	defer cancel()
	s.awaitIdle(final)
	s.closeAll()
	return ctx.Err()
}

// stopAccepting ends Serve and waits until it has accepted the connections that are
// established already.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.closed = true
	lis, serving := s.lis, s.serving
	s.mu.Unlock()
	if lis == nil {
		return
	}
	if l, ok := lis.(listenerWithDeadline); !ok || l.SetDeadline(expired) != nil {
		_ = lis.Close()
	}
	<-serving
}

// awaitIdle ends connections as they become idle. It reports whether none is left
// before ctx ends.
func (s *Server) awaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for s.endIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

const shutdownPollInterval = 5 * time.Millisecond

// endIdle makes the connections without a request end and returns the number of
// connections that are still open.
func (s *Server) endIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.endIfIdle()
	}
	return len(s.conns)
}

func (s *Server) cancelRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancelRequests(ErrShutdown)
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for c := range s.conns {
		c.abort()
	}
}
