package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

const (
	// maxPipelined bounds the requests of one connection that are worked on.
	maxPipelined = 16
	readBuffer   = 4 << 10
	writeBuffer  = 4 << 10
	// maxUnreadBody of a request that was answered without reading its body is
	// read so that the connection can be used again.
	maxUnreadBody = 256 << 10
	unreadTimeout = time.Second
	errorTimeout  = time.Second // of writing an answer to a request that cannot be read
	// lingerTimeout lets a caller read its last answer before bytes that it has
	// sent meanwhile reset the connection.
	lingerTimeout = 200 * time.Millisecond
)

// phase is what the reader of a connection is doing.
type phase int

const (
	waiting phase = iota // for the first byte of a request
	reading              // head or body of a request
)

// conn is one connection of a caller. Its reader takes requests; each runs in
// a goroutine of its own, and the answers are written in order.
type conn struct {
	s      *Server
	raw    net.Conn
	in     *limitedReader
	r      *bufio.Reader
	w      *bufio.Writer
	ctx    context.Context // ends with the connection
	cancel context.CancelFunc
	slots  chan struct{} // one for each request in progress

	mu      sync.Mutex
	phase   phase
	running int           // requests in progress
	turn    chan struct{} // closed when every answer so far is written
	noMore  bool          // the answer being written is the last one
	closing bool          // nothing further is read or written
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{s: s, raw: raw, in: &limitedReader{r: raw}, slots: make(chan struct{}, maxPipelined)}
	c.r = bufio.NewReaderSize(c.in, readBuffer)
	c.w = bufio.NewWriterSize(raw, writeBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	first := make(chan struct{})
	close(first)
	c.turn = first
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.s.remove(c)
	defer c.abort()
	for {
		req, err := c.next()
		if errors.Is(err, errNoMore) {
			<-c.ctx.Done() // whoever writes the last answer ends the connection
			return
		}
		if err != nil {
			c.refuse(err)
			return
		}
		select {
		case c.slots <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		x := c.begin(req)
		go x.run()
		if !x.awaitBody() {
			return
		}
		if x.last { // nothing follows on this connection
			c.watch(x)
			return
		}
	}
}

// watch waits for the end of the last request, or for its caller to leave.
func (c *conn) watch(x *exchange) {
	if err := c.await(0); err != nil {
		return // the caller left, or the answer was written
	}
	<-x.done // what was sent behind the last request is not read
}

// next reads the head of the next request.
func (c *conn) next() (*http.Request, error) {
	limits := c.s.Limits()
	c.in.allow(int64(limits.HeaderBytes) + readBuffer)
	if err := c.await(limits.IdleTimeout); err != nil {
		return nil, err
	}
	if err := c.enter(limits.HeaderTimeout); err != nil {
		return nil, err
	}
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return nil, headError(err)
	}
	_ = c.raw.SetReadDeadline(time.Time{}) // fails only if the connection is closed, which reading shows
	c.in.allow(unlimited)
	req.RemoteAddr = c.raw.RemoteAddr().String()
	return req, nil
}

// await waits for the first byte of a request. While requests are in
// progress the caller is not idle.
func (c *conn) await(idle time.Duration) error {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return errClosing
	}
	c.phase = waiting
	if c.running == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(idle))
	} else {
		_ = c.raw.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	if _, err := c.r.Peek(1); err != nil {
		return errClosing // the caller went away or was idle for too long
	}
	return nil
}

// enter notes that a request has begun to arrive. After the last answer no
// request is taken.
func (c *conn) enter(timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noMore {
		return errNoMore
	}
	c.phase = reading
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout))
	return nil
}

// errClosing ends a connection without an answer; errNoMore ends it after the
// one that is being written.
var (
	errClosing = errors.New("the connection ends")
	errNoMore  = errors.New("the connection takes no further request")
)

// headError gives an error of reading a head the kind that tells the caller
// why. A connection that ended needs no answer.
func headError(err error) error {
	var op *net.OpError
	switch {
	case errors.Is(err, errTooLarge):
		return errkind.Wrap(errkind.HeaderTooLarge, err, "the request's head exceeds the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(errkind.SlowSender, err, "the request's head did not arrive in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.As(err, &op):
		return errClosing
	}
	return errkind.Wrap(errkind.BadRequest, err, "the request's head is not HTTP/1.1")
}

// refuse answers a head that cannot be read, after the answers before it.
func (c *conn) refuse(err error) {
	if errors.Is(err, errClosing) {
		return
	}
	c.mu.Lock()
	turn := c.turn
	c.mu.Unlock()
	select {
	case <-turn:
	case <-c.ctx.Done():
		return
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(errorTimeout))
	status, header, body := c.s.refusal(err)
	head := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header: header, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	if head.Write(c.w) == nil && c.w.Flush() == nil {
		c.linger()
	}
}

// linger closes the sending side and takes what the caller still sends: closing
// with unread bytes would reset the connection, and the caller could lose the
// answer.
func (c *conn) linger() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.raw, maxUnreadBody)) // whatever ends it, the connection ends
}

// begin makes the exchange of a request.
func (c *conn) begin(req *http.Request) *exchange {
	draining := c.s.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	x := &exchange{c: c, turn: c.turn, next: make(chan struct{}), done: make(chan struct{}), header: http.Header{}}
	x.ctx, x.cancel = context.WithCancel(context.WithValue(c.ctx, exchangeKey{}, x))
	x.req = req.WithContext(x.ctx)
	x.body = newBody(x, req)
	x.req.Body = x.body
	x.last = req.Close || !req.ProtoAtLeast(1, 1)
	c.turn = x.next
	c.noMore = c.noMore || draining
	c.running++
	return x
}

// finished notes that the answer of a request was written, or that its
// connection ends.
func (c *conn) finished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	<-c.slots
	if c.running == 0 && c.phase == waiting && !c.closing {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.s.Limits().IdleTimeout))
	}
}

// endWithRunning takes no request beyond those in progress.
func (c *conn) endWithRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noMore = c.noMore || c.running > 0
}

// isLast reports whether the present answer is the last one: no further request
// is taken, and none that was taken follows it.
func (c *conn) isLast(next chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noMore && c.turn == next
}

// closeIfIdle closes the connection if no request is in progress.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running > 0 || c.phase != waiting {
		return false
	}
	c.endLocked()
	return true
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked()
}

func (c *conn) endLocked() {
	if c.closing {
		return
	}
	c.closing = true
	c.cancel()
	_ = c.raw.Close()
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// unlimited allows any number of bytes.
const unlimited = int64(1) << 62

// limitedReader bounds the bytes that a request head may take. It is used by
// the reader of a connection, and by the reader of a body while that one waits.
type limitedReader struct {
	r    io.Reader
	left int64
}

var errTooLarge = errors.New("the head of the request is too large")

func (l *limitedReader) allow(n int64) { l.left = n }

// Read reads within the bound.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= int64(n)
	return n, err
}
