package target

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"
)

const (
	// maxStale bounds the answers to other requests that are skipped before the
	// answer to this one.
	maxStale = 4
	// maxStaleBytes bounds the body of such an answer.
	maxStaleBytes = 1 << 20
	// inlineBytes of a request are written before its answer is read. A longer
	// body is written beside it: a target may answer before it has read the
	// body, and reads on later.
	inlineBytes = 16 << 10
	// idleLifetime is how long an idle connection is kept if the target does not
	// say how long it keeps it.
	idleLifetime = 30 * time.Second
	// idleMargin before the end that a target states, a connection is no longer
	// used: a request that meets the close may have run.
	idleMargin    = 1500 * time.Millisecond
	sweepInterval = time.Second
	connBuffer    = 4 << 10
)

// Transport sends requests over HTTP/1.1 on connections of its own. It sends a
// request once: it is the caller's part to repeat it. It calls the hooks of
// httptrace: GotConn, and WroteHeaders as soon as a byte was written. It is safe
// for concurrent use.
type Transport struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// RequestID and AnswerID return the identifier of a request and the one that
	// an answer names, "" if there is none. A late answer to an earlier request
	// of the same connection is skipped. Without them every answer is taken.
	RequestID func(req *http.Request) string
	AnswerID  func(resp *http.Response) string

	mu    sync.Mutex
	idle  map[string][]*conn // by address, used last at the end
	swept time.Time
}

// conn is one connection. It serves one request at a time.
type conn struct {
	raw     net.Conn
	addr    string
	r       *bufio.Reader
	expires time.Time // when the target may close it
	earlier []string  // identifiers of its last requests, at most maxStale
}

// carried notes a request that the connection has carried.
func (c *conn) carried(id string) {
	if id == "" {
		return
	}
	if len(c.earlier) == maxStale {
		c.earlier = slices.Delete(c.earlier, 0, 1)
	}
	c.earlier = append(c.earlier, id)
}

// RoundTrip sends a request and returns the head of its answer. The connection
// is used again once the body was read to its end.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	c, err := t.conn(ctx, req.URL.Host)
	if err != nil {
		return nil, err
	}
	x := &exchange{t: t, c: c, req: req}
	x.unwatch = context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	resp, err := x.run()
	if err != nil {
		x.end(false)
		return nil, err
	}
	return resp, nil
}

// conn returns an idle connection that is sound, or a new one.
func (t *Transport) conn(ctx context.Context, addr string) (*conn, error) {
	for {
		c := t.takeIdle(addr)
		if c == nil {
			break
		}
		if quiet(c.raw) {
			gotConn(ctx, c, true)
			return c, nil
		}
		_ = c.raw.Close()
	}
	raw, err := t.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{raw: raw, addr: addr, r: bufio.NewReaderSize(raw, connBuffer)}
	gotConn(ctx, c, false)
	return c, nil
}

func gotConn(ctx context.Context, c *conn, reused bool) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c.raw, Reused: reused})
	}
}

func (t *Transport) takeIdle(addr string) *conn {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	list := t.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	t.idle[addr] = list[:len(list)-1]
	return c
}

// sweep closes the idle connections that have expired.
func (t *Transport) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for addr, list := range t.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.raw.Close()
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(t.idle, addr)
			continue
		}
		t.idle[addr] = kept
	}
}

func (t *Transport) putIdle(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idle == nil {
		t.idle = map[string][]*conn{}
	}
	t.idle[c.addr] = append(t.idle[c.addr], c)
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, list := range t.idle {
		for _, c := range list {
			_ = c.raw.Close()
		}
	}
	t.idle = nil
}
