package follow

import (
	"context"
	"net"
	"sync"
)

// pipeListener accepts connections within the process, for servers in a synctest bubble.
//
// It replaces google.golang.org/grpc/test/bufconn, which sets timers of zero length. In a
// bubble, such a timer runs at once with the race context that all goroutines of the bubble
// share, and two at a time crash the race detector.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// DialContext returns the other end of an accepted connection. Writes to it wait until the
// server has read them.
func (l *pipeListener) DialContext(ctx context.Context) (net.Conn, error) {
	local, remote := net.Pipe()
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }
