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

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSkippedResponses bounds the late responses to earlier requests that
	// are skipped before the response to the current one.
	maxSkippedResponses = 4
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
	// maxRequests bounds the requests of a connection, and so the memory for their
	// identifiers.
	maxRequests = 1024
	// maxInlineBody is the largest body, in bytes, that is written before the
	// response is read. A larger body is written concurrently: a target may
	// respond before it reads the rest of the body, and a transport that first
	// wrote the whole body would block.
	maxInlineBody = 16 << 10
	// DefaultIdleTimeout is how long an idle connection is kept if the target
	// states no keep-alive timeout.
	DefaultIdleTimeout = 30 * time.Second
	// idleTimeoutMargin is subtracted from the keep-alive timeout that a target
	// states. If the target closes the connection while a request is on its way,
	// it cannot be known whether the request has run.
	idleTimeoutMargin = 1500 * time.Millisecond
	sweepInterval     = time.Second // of closing expired idle connections
	readBufferSize    = 4 << 10     // bytes
	// maxHeadBytes limits the head of a response, in bytes, with the interim responses
	// before it. Without a limit, a target that sends bytes without end would fill the
	// memory until the deadline. Several hundred connections may receive a head at once;
	// other proxies accept heads of up to 60 KiB.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the lines of a head, with the interim responses before it. A
	// parsed field takes about 80 bytes of memory, however short it is, so 64 KiB of
	// short fields would take more than 1 MB.
	maxHeadLines = 1000
)

// Transport is an http.RoundTripper for HTTP/1.1 with a connection pool. It
// sends each request once; retries are left to the caller of RoundTrip. Of the
// httptrace hooks it calls GotConn, and WroteHeaders as soon as the first byte
// has been written. If the context ends during GotConn, nothing is written. It
// is safe for concurrent use.
type Transport struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// RequestID returns the identifier of a request and ResponseID the one that
	// a response names, or "" if there is none. They let the transport skip a
	// late or repeated response to an earlier request on the same connection. A
	// connection never carries two requests with the same identifier, whose
	// responses could not be told apart. If the functions are nil, every response
	// is accepted.
	RequestID  func(req *http.Request) string
	ResponseID func(resp *http.Response) string

	mu        sync.Mutex
	idle      map[string][]*conn // by address, most recently used last
	lastSweep time.Time
	checks    map[string]*crashCheck // by address
}

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	raw     net.Conn
	addr    string
	head    *headLimiter
	source  *replayReader // of r; reads from head
	r       *bufio.Reader
	expires time.Time // when the target may close it while it is idle
	earlier []uint64  // hashes of the identifiers of all earlier requests, at most maxRequests
	named   bool      // a response has named its request
}

// addRequestID records the identifier of a request that the connection has
// carried.
func (c *conn) addRequestID(id string) {
	if id != "" {
		c.earlier = append(c.earlier, xxhash.Sum64String(id))
	}
}

// carried reports whether the connection has carried an earlier request with the
// identifier.
func (c *conn) carried(id string) bool {
	return id != "" && slices.Contains(c.earlier, xxhash.Sum64String(id))
}

// RoundTrip sends a request and returns its response as soon as the response
// head has been read. The connection is reused after the response body has been
// read to its end.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	x := &exchange{t: t, req: req}
	c, err := t.getConn(ctx, req.URL.Host, x.id())
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil { // the GotConn hook may cancel the request
		t.putIdle(c)
		return nil, err
	}
	x.c = c
	x.stopCancelHook = context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	resp, err := x.run()
	if err != nil {
		x.release(false)
		return nil, err
	}
	return resp, nil
}

// getConn returns an idle connection that is still usable and has not carried a
// request with the identifier id, or opens a new one.
func (t *Transport) getConn(ctx context.Context, addr, id string) (*conn, error) {
	for {
		c := t.takeIdle(addr, id)
		if c == nil {
			break
		}
		if usable(c.raw) {
			traceGotConn(ctx, c, true)
			return c, nil
		}
		_ = c.raw.Close()
	}
	raw, err := t.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := newConn(raw, addr)
	traceGotConn(ctx, c, false)
	return c, nil
}

func newConn(raw net.Conn, addr string) *conn {
	head := &headLimiter{raw: raw}
	source := &replayReader{head: head}
	return &conn{raw: raw, addr: addr, head: head, source: source, r: bufio.NewReaderSize(source, readBufferSize)}
}

func traceGotConn(ctx context.Context, c *conn, reused bool) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c.raw, Reused: reused})
	}
}

// takeIdle returns the idle connection that was used last, of those that have not
// carried a request with the identifier id, or nil.
func (t *Transport) takeIdle(addr, id string) *conn {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	list := t.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !c.carried(id) {
			t.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// sweep closes the idle connections that have expired, at most once per
// sweepInterval. The caller holds t.mu.
func (t *Transport) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
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

// CloseIdleConnections closes all connections that carry no request.
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
