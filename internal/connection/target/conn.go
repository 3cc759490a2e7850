package target

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection to a target that reports each write after it has been
// made. net/http reports a request as written before it flushes its buffer; a
// process that is frozen in between would send late without noticing.
type Conn struct {
	net.Conn
	after atomic.Pointer[func()]
}

// AfterWrite has f called after each write, until it is replaced for the next
// request on the connection.
func (c *Conn) AfterWrite(f func()) { c.after.Store(&f) }

// Write writes b and reports it.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if f := c.after.Load(); f != nil && *f != nil {
		(*f)()
	}
	return n, err
}

const (
	dialTimeout = time.Second
	// A connection whose other end is gone without a sign ends after
	// keepAliveIdle and keepAliveProbes intervals, or when what was sent is not
	// acknowledged for unackedTimeout. Only that tells it from a slow target.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	unackedTimeout    = 1500 * time.Millisecond
)

// Dial opens a connection to a target.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout, Control: setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

// setUnackedTimeout sets TCP_USER_TIMEOUT on a socket.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
