package target

import (
	"context"
	"net"
	"sync/atomic"
	"time"
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
	keepAlive   = 15 * time.Second
)

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}
