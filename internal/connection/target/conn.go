package target

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection to a target that calls a function after each write.
// net/http reports a request as written before it flushes its buffer. If the
// process is suspended in between, the request would be sent late and the
// process would not notice.
type Conn struct {
	net.Conn
	afterWrite atomic.Pointer[func()]
}

// AfterWrite sets the function that is called after each write. It replaces the
// function set for the previous request on the connection.
func (c *Conn) AfterWrite(f func()) { c.afterWrite.Store(&f) }

// Write writes b and then calls the function set by AfterWrite.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if f := c.afterWrite.Load(); f != nil && *f != nil {
		(*f)()
	}
	return n, err
}

const (
	dialTimeout = time.Second
	// If the peer host disappears without closing the connection, the connection
	// fails after keepAliveIdle plus keepAliveProbes times keepAliveInterval, or
	// when sent data stays unacknowledged for unackedTimeout. Only the missing
	// acknowledgements distinguish such a peer from a slow target.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	unackedTimeout    = 1500 * time.Millisecond
)

// Dial opens a connection to a target. The result is a *Conn with TCP
// keep-alive and a limit on the time that sent data may stay unacknowledged.
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

// setUnackedTimeout sets TCP_USER_TIMEOUT on a socket to unackedTimeout.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}

// headLimiter limits how many bytes and lines are read from a connection while the
// head of a response is due.
type headLimiter struct {
	raw      net.Conn
	bytes    int // that may still be read
	lines    int // that may still be read
	armed    bool
	exceeded bool // a read failed at the limit
}

// arm limits what is read until disarm to maxHeadBytes and maxHeadLines.
func (l *headLimiter) arm() { l.bytes, l.lines, l.armed = maxHeadBytes, maxHeadLines, true }

func (l *headLimiter) disarm() { l.armed = false }

// Read reads from the connection. It fails once a limit is reached. The read that
// reaches the limit of lines succeeds, since it may contain the end of the head and
// lines of the body.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.armed {
		return l.raw.Read(b)
	}
	if l.bytes <= 0 || l.lines <= 0 {
		l.exceeded = true
		return 0, errHeadTooLong
	}
	n, err := l.raw.Read(b[:min(len(b), l.bytes)])
	l.bytes -= n
	l.lines -= bytes.Count(b[:n], []byte{'\n'})
	return n, err
}
