// Package caller serves HTTP/1.1 to callers over connections of its own.
//
// Requests of one connection that are safe run side by side, and their answers
// go out in the order of the requests. What a connection carries is read only
// as far as it is worked on, so a caller can tell which of its requests were
// taken.
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/sirupsen/logrus"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout   time.Duration // between two requests
}

// Server serves the connections of callers.
type Server struct {
	Handler http.Handler
	Limits  func() Limits // those in force now
	// Refusal returns the answer to a head that cannot be read; err has the kind
	// HeaderTooLarge, SlowSender or BadRequest. Nil answers with the status alone.
	Refusal func(err error) (status int, header http.Header, body []byte)
	Log     *logrus.Entry

	mu       sync.Mutex
	lis      net.Listener
	conns    map[*conn]struct{}
	draining bool // answers ask the caller to connect elsewhere
	closed   bool
}

// Serve accepts connections until the listener is closed, by Shutdown or
// otherwise. It returns http.ErrServerClosed after Shutdown.
func (s *Server) Serve(lis net.Listener) error {
	s.mu.Lock()
	s.lis = lis
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
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
				return http.ErrServerClosed
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				s.Log.WithError(err).Warn("connection not accepted")
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		if c := s.add(raw); c != nil {
			go c.serve()
		}
	}
}

func (s *Server) refusal(err error) (status int, header http.Header, body []byte) {
	if s.Refusal != nil {
		return s.Refusal(err)
	}
	s.Log.WithError(err).Info("request head refused")
	return errkind.Of(err).Response().Status, nil, nil
}

// acceptPause follows a failure to accept, such as no free descriptor.
const acceptPause = 10 * time.Millisecond

func (s *Server) add(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
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

// Drain makes each connection end with the requests that it has in progress, or
// else with the next one. New connections are still accepted, for one request
// each.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		c.endWithRunning()
	}
}

// Shutdown stops accepting, closes idle connections and waits until the
// requests in flight are answered or ctx ends; then it closes the rest and
// returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.mu.Lock()
	s.closed = true
	if s.lis != nil {
		_ = s.lis.Close()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for {
		if s.closeIdle() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.closeAll()
			return ctx.Err()
		}
	}
}

const shutdownPoll = 5 * time.Millisecond

// closeIdle closes the connections without a request and returns how many are
// left.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.closeIfIdle() {
			delete(s.conns, c)
		}
	}
	return len(s.conns)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
}
