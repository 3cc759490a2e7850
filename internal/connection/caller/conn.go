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
	// maxPipelined bounds the requests of one connection that are in progress.
	maxPipelined    = 16
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	// maxDiscardedBody bounds the part of a request body, in bytes, that is read
	// and discarded if the handler did not read it, so that the connection can be
	// reused.
	maxDiscardedBody  = 256 << 10
	discardTimeout    = time.Second
	errorWriteTimeout = time.Second // for writing the response to an unreadable request head
	// lingerTimeout is how long the connection stays open after the last
	// response. Closing it while bytes from the caller are unread would reset it,
	// and the caller could lose the response.
	lingerTimeout = 200 * time.Millisecond
)

// phase is what the reading goroutine of a connection is doing.
type phase int

const (
	waitingForRequest phase = iota // no byte of the next request has arrived
	readingRequest                 // the head or the body of a request is being read
)

// conn is a connection from a caller. One goroutine reads the requests. Each
// request is handled in its own goroutine, and the responses are written in the
// order of the requests.
type conn struct {
	s             *Server
	raw           net.Conn
	limited       *limitedReader
	r             *bufio.Reader
	w             *bufio.Writer
	ctx           context.Context // cancelled when the connection ends
	cancel        context.CancelFunc
	pipelineSlots chan struct{} // one for each request in progress

	mu             sync.Mutex
	phase          phase
	inProgress     map[*exchange]struct{} // requests that are read but not answered
	lastWritten    chan struct{}          // closed when the responses to all requests so far are written
	lastHasHead    bool                   // the head of the response to the last request is written
	noMoreRequests bool                   // only the requests in progress are still answered
	ending         bool                   // idle; closes unless a request has been read already
	closed         bool                   // nothing more is read or written
}

// expired is a deadline in the past. It ends a read that waits for bytes.
var expired = time.Unix(1, 0)

// newConn returns the state of an accepted connection.
func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{s: s, raw: raw, limited: &limitedReader{r: raw}, pipelineSlots: make(chan struct{}, maxPipelined), inProgress: map[*exchange]struct{}{}}
	c.r = bufio.NewReaderSize(c.limited, readBufferSize)
	c.w = bufio.NewWriterSize(raw, writeBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	alreadyWritten := make(chan struct{})
	close(alreadyWritten)
	c.lastWritten = alreadyWritten
	return c
}

// serve reads requests and starts their handlers until the connection ends.
func (c *conn) serve() {
	defer c.s.remove(c)
	defer c.abort()
	for {
		req, err := c.readRequest()
		if errors.Is(err, errNoMoreRequests) {
			<-c.ctx.Done() // the exchange that writes the last response closes the connection
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
		if x.callerCloses { // no further request follows on this connection
			c.awaitLastExchange(x)
			return
		}
	}
}

// awaitLastExchange waits until the last exchange has ended or the caller has
// closed the connection.
func (c *conn) awaitLastExchange(x *exchange) {
	if err := c.awaitRequest(0); err != nil {
		return // the caller closed the connection, or the response was written
	}
	<-x.done // bytes after the last request are not read
}

// readRequest reads the head of the next request. The error is errConnClosed,
// errNoMoreRequests, one of kind Stopping or one that headError classified.
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
	if errors.Is(err, os.ErrDeadlineExceeded) && c.s.isClosed() {
		return nil, errkind.Wrap(errkind.Stopping, ErrShutdown, "request head is not complete")
	}
	if err != nil {
		return nil, headError(err)
	}
	_ = c.raw.SetReadDeadline(time.Time{}) // fails only on a closed connection; the next read then fails as well
	c.limited.setLimit(unlimited)
	req.RemoteAddr = c.raw.RemoteAddr().String()
	return req, nil
}

// awaitRequest waits for the first byte of a request, for at most idle unless
// other requests of the connection are in progress.
func (c *conn) awaitRequest(idle time.Duration) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return errConnClosed
	}
	c.phase = waitingForRequest
	switch {
	case c.ending:
		_ = c.raw.SetReadDeadline(expired)
	case len(c.inProgress) == 0:
		_ = c.raw.SetReadDeadline(time.Now().Add(idle))
	default:
		_ = c.raw.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	_, err := c.r.Peek(1)
	if err != nil && c.isEnding() && c.takeArrived() {
		_, err = c.r.Peek(1)
	}
	if err != nil {
		return errConnClosed // the caller closed the connection or was idle for too long
	}
	return nil
}

// isEnding reports whether Shutdown has ended the wait for a request. A read that is
// ended by its deadline does not return bytes that have arrived.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && !c.closed
}

// startReading marks that a request has begun to arrive and sets the deadline
// for its head. It returns errNoMoreRequests if the connection accepts no
// further request, and errConnClosed if it was closed meanwhile.
func (c *conn) startReading(timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return errConnClosed
	case c.noMoreRequests:
		return errNoMoreRequests
	}
	c.phase, c.ending = readingRequest, false
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout))
	return nil
}

// errConnClosed ends a connection without a response. errNoMoreRequests ends it
// after the responses to the requests in progress.
var (
	errConnClosed     = errors.New("connection closed")
	errNoMoreRequests = errors.New("connection accepts no further requests")
)

// headError gives an error from reading a request head the kind that determines
// the response. If the connection ended, there is no response, and headError
// returns errConnClosed.
func headError(err error) error {
	var opErr *net.OpError
	switch {
	case errors.Is(err, errHeadTooLarge):
		return errkind.Wrap(errkind.HeaderTooLarge, err, "request head exceeds the size limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(errkind.SlowSender, err, "request head did not arrive within the header timeout")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.As(err, &opErr):
		return errConnClosed
	}
	return errkind.Wrap(errkind.BadRequest, err, "request head is not valid HTTP/1.1")
}

// rejectHead writes the error response to an unreadable request head, after the
// responses to the earlier requests.
func (c *conn) rejectHead(err error) {
	if errors.Is(err, errConnClosed) {
		return
	}
	c.mu.Lock()
	lastWritten := c.lastWritten
	c.mu.Unlock()
	select {
	case <-lastWritten:
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

// linger closes the sending side and discards what the caller still sends, for
// at most lingerTimeout. Closing the connection with unread bytes would reset
// it, and the caller could lose the response.
func (c *conn) linger() {
	if halfCloser, ok := c.raw.(interface{ CloseWrite() error }); !ok || halfCloser.CloseWrite() != nil {
		return
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.raw, maxDiscardedBody)) // the connection is closed whatever the result is
}

// newExchange returns the exchange for a request that was read.
func (c *conn) newExchange(req *http.Request) *exchange {
	draining := c.s.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	x := &exchange{c: c, previousWritten: c.lastWritten, written: make(chan struct{}), done: make(chan struct{}), header: http.Header{}}
	x.ctx, x.cancel = context.WithCancelCause(context.WithValue(c.ctx, exchangeKey{}, x))
	x.req = req.WithContext(x.ctx)
	x.body = newBody(x, req)
	x.req.Body = x.body
	x.callerCloses = req.Close || !req.ProtoAtLeast(1, 1)
	c.lastWritten, c.lastHasHead = x.written, false
	c.noMoreRequests = c.noMoreRequests || draining
	c.inProgress[x] = struct{}{}
	return x
}

// exchangeDone removes a request from those in progress, after its response was
// written or the connection ended.
func (c *conn) exchangeDone(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inProgress, x)
	<-c.pipelineSlots
	if len(c.inProgress) == 0 && c.phase == waitingForRequest && !c.closed {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.s.Limits().IdleTimeout))
	}
}

// takeNoFurtherRequests makes the connection end with the requests in progress,
// if the response to the last of them can still announce it. Otherwise the
// caller may send another request, which must be answered.
func (c *conn) takeNoFurtherRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noMoreRequests = c.noMoreRequests || len(c.inProgress) > 0 && !c.lastHasHead
}

// startHead records that the head of the response whose written channel is
// written is about to be written. It reports whether this is the last response of
// the connection: no further request is accepted, and no accepted request follows
// it.
func (c *conn) startHead(written chan struct{}) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastWritten != written {
		return false
	}
	c.lastHasHead = true
	return c.noMoreRequests
}

// endIfIdle makes the connection end if no request is being read or in progress.
// The goroutine that reads requests closes it: only that goroutine knows whether
// it has read bytes of a request, which must then be answered.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.ending || c.phase != waitingForRequest || len(c.inProgress) > 0 {
		return
	}
	c.ending = true
	_ = c.raw.SetReadDeadline(expired)
}

// cancelRequests cancels the requests in progress with the given cause, and ends the
// wait for the rest of a request. All of them can still be answered.
func (c *conn) cancelRequests(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for x := range c.inProgress {
		x.cancel(cause)
	}
	if c.phase == readingRequest {
		_ = c.raw.SetReadDeadline(expired)
	}
}

// abort closes the connection immediately and cancels its requests.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked closes the connection. The caller holds c.mu.
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

// unlimited is a byte limit that is never reached.
const unlimited = int64(1) << 62

// limitedReader bounds the size of a request head. It is not synchronised: the
// goroutine that reads requests uses it, and while that one waits for a body to
// be read, the handler that reads the body.
type limitedReader struct {
	r         io.Reader
	remaining int64
}

var errHeadTooLarge = errors.New("request head too large")

func (l *limitedReader) setLimit(n int64) { l.remaining = n }

// Read reads at most the remaining bytes and returns errHeadTooLarge when none
// remain.
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
