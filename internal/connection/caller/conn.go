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
	maxPipelined    = 16
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	// maxUnreadBody of a request that was answered without reading its body is
	// read so that the connection can be used again.
	maxDiscardedBody  = 256 << 10
	discardTimeout    = time.Second
	errorWriteTimeout = time.Second // of writing an answer to a request that cannot be read
	// lingerTimeout lets a caller read its last answer before bytes that it has
	// sent meanwhile reset the connection.
	lingerTimeout = 200 * time.Millisecond
)

// phase is what the reader of a connection is doing.
type phase int

const (
	waitingForRequest phase = iota // for the first byte of a request
	readingRequest                 // head or body of a request
)

// conn is one connection of a caller. Its reader takes requests; each runs in
// a goroutine of its own, and the answers are written in order.
type conn struct {
	s             *Server
	raw           net.Conn
	limited       *limitedReader
	r             *bufio.Reader
	w             *bufio.Writer
	ctx           context.Context // ends with the connection
	cancel        context.CancelFunc
	pipelineSlots chan struct{} // one for each request in progress

	mu             sync.Mutex
	phase          phase
	inProgress     int           // requests in progress
	lastWritten    chan struct{} // closed when every answer so far is written
	noMoreRequests bool          // the answer being written is the last one
	closed         bool          // nothing further is read or written
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{s: s, raw: raw, limited: &limitedReader{r: raw}, pipelineSlots: make(chan struct{}, maxPipelined)}
	c.r = bufio.NewReaderSize(c.limited, readBufferSize)
	c.w = bufio.NewWriterSize(raw, writeBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	first := make(chan struct{})
	close(first)
	c.lastWritten = first
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.s.remove(c)
	defer c.abort()
	for {
		req, err := c.readRequest()
		if errors.Is(err, errNoMoreRequests) {
			<-c.ctx.Done() // whoever writes the last answer ends the connection
			return
		}
		if err != nil {
			c.rejectHead(err)
			return
		}
		select {
		case c.pipelineSlots <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		x := c.newExchange(req)
		go x.run()
		if !x.awaitBody() {
			return
		}
		if x.callerCloses { // nothing follows on this connection
			c.awaitLastExchange(x)
			return
		}
	}
}

// watch waits for the end of the last request, or for its caller to leave.
func (c *conn) awaitLastExchange(x *exchange) {
	if err := c.awaitRequest(0); err != nil {
		return // the caller left, or the answer was written
	}
	<-x.done // what was sent behind the last request is not read
}

// next reads the head of the next request.
func (c *conn) readRequest() (*http.Request, error) {
	limits := c.s.Limits()
	c.limited.setLimit(int64(limits.HeaderBytes) + readBufferSize)
	if err := c.awaitRequest(limits.IdleTimeout); err != nil {
		return nil, err
	}
	if err := c.startReading(limits.HeaderTimeout); err != nil {
		return nil, err
	}
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return nil, headError(err)
	}
	_ = c.raw.SetReadDeadline(time.Time{}) // fails only if the connection is closed, which reading shows
	c.limited.setLimit(unlimited)
	req.RemoteAddr = c.raw.RemoteAddr().String()
	return req, nil
}

// await waits for the first byte of a request. While requests are in
// progress the caller is not idle.
func (c *conn) awaitRequest(idle time.Duration) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return errConnClosed
	}
	c.phase = waitingForRequest
	if c.inProgress == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(idle))
	} else {
		_ = c.raw.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	if _, err := c.r.Peek(1); err != nil {
		return errConnClosed // the caller went away or was idle for too long
	}
	return nil
}

// enter notes that a request has begun to arrive. After the last answer no
// request is taken.
func (c *conn) startReading(timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noMoreRequests {
		return errNoMoreRequests
	}
	c.phase = readingRequest
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout))
	return nil
}

// errClosing ends a connection without an answer; errNoMore ends it after the
// one that is being written.
var (
	errConnClosed     = errors.New("the connection ends")
	errNoMoreRequests = errors.New("the connection takes no further request")
)

// headError gives an error of reading a head the kind that tells the caller
// why. A connection that ended needs no answer.
func headError(err error) error {
	var op *net.OpError
	switch {
	case errors.Is(err, errHeadTooLarge):
		return errkind.Wrap(errkind.HeaderTooLarge, err, "the request's head exceeds the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(errkind.SlowSender, err, "the request's head did not arrive in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.As(err, &op):
		return errConnClosed
	}
	return errkind.Wrap(errkind.BadRequest, err, "the request's head is not HTTP/1.1")
}

// refuse answers a head that cannot be read, after the answers before it.
func (c *conn) rejectHead(err error) {
	if errors.Is(err, errConnClosed) {
		return
	}
	c.mu.Lock()
	turn := c.lastWritten
	c.mu.Unlock()
	select {
	case <-turn:
	case <-c.ctx.Done():
		return
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
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
	_, _ = io.Copy(io.Discard, io.LimitReader(c.raw, maxDiscardedBody)) // whatever ends it, the connection ends
}

// begin makes the exchange of a request.
func (c *conn) newExchange(req *http.Request) *exchange {
	draining := c.s.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	x := &exchange{c: c, previousWritten: c.lastWritten, written: make(chan struct{}), done: make(chan struct{}), header: http.Header{}}
	x.ctx, x.cancel = context.WithCancel(context.WithValue(c.ctx, exchangeKey{}, x))
	x.req = req.WithContext(x.ctx)
	x.body = newBody(x, req)
	x.req.Body = x.body
	x.callerCloses = req.Close || !req.ProtoAtLeast(1, 1)
	c.lastWritten = x.written
	c.noMoreRequests = c.noMoreRequests || draining
	c.inProgress++
	return x
}

// finished notes that the answer of a request was written, or that its
// connection ends.
func (c *conn) exchangeDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress--
	<-c.pipelineSlots
	if c.inProgress == 0 && c.phase == waitingForRequest && !c.closed {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.s.Limits().IdleTimeout))
	}
}

// endWithRunning takes no request beyond those in progress.
func (c *conn) takeNoFurtherRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noMoreRequests = c.noMoreRequests || c.inProgress > 0
}

// isLast reports whether the present answer is the last one: no further request
// is taken, and none that was taken follows it.
func (c *conn) isLastResponse(next chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noMoreRequests && c.lastWritten == next
}

// closeIfIdle closes the connection if no request is in progress.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress > 0 || c.phase != waitingForRequest {
		return false
	}
	c.closeLocked()
	return true
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *conn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	c.cancel()
	_ = c.raw.Close()
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// unlimited allows any number of bytes.
const unlimited = int64(1) << 62

// limitedReader bounds the bytes that a request head may take. It is used by
// the reader of a connection, and by the reader of a body while that one waits.
type limitedReader struct {
	r         io.Reader
	remaining int64
}

var errHeadTooLarge = errors.New("the head of the request is too large")

func (l *limitedReader) setLimit(n int64) { l.remaining = n }

// Read reads within the bound.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	return n, err
}
