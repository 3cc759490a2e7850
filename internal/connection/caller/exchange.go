package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"
)

// exchange is one request with its answer. It is the http.ResponseWriter of
// the request.
type exchange struct {
	c            *conn
	req          *http.Request
	body         *body
	ctx          context.Context
	cancel       context.CancelFunc
	callerCloses bool // the caller wants no further request on this connection

	previousWritten chan struct{} // closed when the answers before this one are written
	written         chan struct{} // closed when this one is
	done            chan struct{} // closed when everything about the request is over

	header        http.Header
	headWritten   bool // the head was written
	chunked       bool
	noBody        bool  // the answer has no body by its status or method
	remaining     int64 // bytes of the announced length that are not written yet
	writeDeadline time.Time
	writeErr      error
	closeAfter    bool // the connection ends with this answer
}

type exchangeKey struct{}

// Await blocks until every earlier request of the connection is answered. A
// request that must not be repeated needs it before it is passed on: its caller
// takes it for unread, and sends it again, if an earlier answer closes the
// connection. The error says that it must not be passed on.
func AwaitTurn(ctx context.Context) error {
	x, ok := ctx.Value(exchangeKey{}).(*exchange)
	if !ok {
		return nil // not a connection of this package
	}
	return x.awaitTurn()
}

func (x *exchange) awaitTurn() error {
	select {
	case <-x.previousWritten:
	case <-x.ctx.Done():
		return x.ctx.Err()
	}
	if x.c.isClosed() {
		return errConnClosed
	}
	return nil
}

// run has the request handled and finishes its answer.
func (x *exchange) run() {
	defer close(x.done)
	ok := x.callHandler()
	if ok {
		ok = x.finish()
	}
	if ok && !x.body.discardRest() {
		x.closeAfter = true
	}
	x.cancel()
	if !ok {
		x.c.abort()
	}
	if x.closeAfter && ok {
		x.c.linger()
		x.c.abort()
	}
	x.c.exchangeDone()
	close(x.written)
}

// handle calls the handler and reports whether the answer may be finished.
func (x *exchange) callHandler() (ok bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		ok = false
		if err, is := v.(error); !is || !errors.Is(err, http.ErrAbortHandler) {
			x.c.s.Log.WithField("panic", fmt.Sprint(v)).WithField("stack", string(debug.Stack())).Error("request handler panicked")
		}
	}()
	x.c.s.Handler.ServeHTTP(x, x.req)
	return true
}

// awaitBody waits until the request's body was read, so that the next request
// can be, and reports whether the connection goes on.
func (x *exchange) awaitBody() bool {
	select {
	case <-x.body.done:
		if !x.body.incomplete {
			return true
		}
		<-x.done // the answer says what was wrong with the body
		return false
	case <-x.done:
		return !x.c.isClosed()
	case <-x.c.ctx.Done():
		return false
	}
}

// Header returns the header of the answer.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader writes the head once it is this answer's turn.
func (x *exchange) WriteHeader(status int) {
	if x.headWritten || x.writeErr != nil {
		return
	}
	if err := x.awaitTurn(); err != nil {
		x.writeErr = err
		return
	}
	x.headWritten = true
	if !x.writeDeadline.IsZero() {
		_ = x.c.raw.SetWriteDeadline(x.writeDeadline)
	}
	x.setFraming(status)
	x.closeAfter = x.closeAfter || x.callerCloses || x.c.isLastResponse(x.written)
	if x.closeAfter {
		x.header.Set("Connection", "close")
	}
	if x.header.Get("Date") == "" {
		x.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	_, _ = x.c.w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = x.header.Write(x.c.w)                 // errors of the buffered writer stay
	_, x.writeErr = x.c.w.WriteString("\r\n") // and are returned here
}

// frame decides how the end of the body is recognised.
func (x *exchange) setFraming(status int) {
	never := status == http.StatusNoContent || status == http.StatusNotModified
	x.noBody = never || x.req.Method == http.MethodHead
	if never {
		x.header.Del("Content-Length")
	}
	length, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64)
	switch {
	case x.noBody:
	case err == nil && length >= 0:
		x.remaining = length
	case x.req.ProtoAtLeast(1, 1):
		x.header.Del("Content-Length")
		x.header.Set("Transfer-Encoding", "chunked")
		x.chunked = true
	default:
		x.remaining, x.closeAfter = unlimited, true // HTTP/1.0: ends with the connection
	}
}

// Write writes a part of the body.
func (x *exchange) Write(p []byte) (int, error) {
	if !x.headWritten {
		x.WriteHeader(http.StatusOK)
	}
	if x.writeErr != nil {
		return 0, x.writeErr
	}
	if x.noBody || len(p) == 0 {
		return len(p), nil
	}
	if x.chunked {
		return len(p), x.writeChunk(p)
	}
	if int64(len(p)) > x.remaining {
		return 0, http.ErrContentLength
	}
	n, err := x.c.w.Write(p)
	x.remaining -= int64(n)
	x.writeErr = err
	return n, err
}

func (x *exchange) writeChunk(p []byte) error {
	_, _ = x.c.w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	_, _ = x.c.w.Write(p)
	_, x.writeErr = x.c.w.WriteString("\r\n")
	return x.writeErr
}

// Flush sends what is buffered.
func (x *exchange) Flush() {
	if x.headWritten && x.writeErr == nil {
		x.writeErr = x.c.w.Flush()
	}
}

// SetReadDeadline bounds the reading of the body.
func (x *exchange) SetReadDeadline(t time.Time) error { return x.body.setDeadline(t) }

// SetWriteDeadline bounds the writing of the answer, from its turn on.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	x.writeDeadline = t
	if !x.headWritten {
		return nil
	}
	return x.c.raw.SetWriteDeadline(t)
}

// finish ends the answer and reports whether it went out whole.
func (x *exchange) finish() bool {
	if !x.headWritten {
		if x.header.Get("Content-Length") == "" {
			x.header.Set("Content-Length", "0")
		}
		x.WriteHeader(http.StatusOK)
	}
	if x.writeErr != nil {
		return false
	}
	if x.chunked {
		x.writeTrailer()
	}
	if x.remaining > 0 && x.remaining < unlimited/2 {
		return false // shorter than announced: the caller must see it broken
	}
	x.Flush()
	return x.writeErr == nil
}

// writeTrailer ends a chunked body with the trailers that were announced.
func (x *exchange) writeTrailer() {
	_, _ = x.c.w.WriteString("0\r\n")
	trailer := http.Header{}
	for _, name := range x.header["Trailer"] {
		if values := x.header[http.CanonicalHeaderKey(name)]; values != nil {
			trailer[http.CanonicalHeaderKey(name)] = values
		}
	}
	_ = trailer.Write(x.c.w)
	_, x.writeErr = x.c.w.WriteString("\r\n")
}

// body is the body of a request. Its end lets the connection go on to the
// next one.
type body struct {
	x               *exchange
	source          io.ReadCloser
	expectsContinue bool // the caller waits to be told to send it
	done            chan struct{}
	incomplete      bool // the body did not arrive whole
	doneOnce        sync.Once
}

func newBody(x *exchange, req *http.Request) *body {
	b := &body{x: x, source: req.Body, done: make(chan struct{})}
	b.expectsContinue = req.Header.Get("Expect") != ""
	if req.Body == http.NoBody || req.ContentLength == 0 {
		b.markDone(false)
	}
	return b
}

func (b *body) markDone(broken bool) {
	b.doneOnce.Do(func() {
		b.incomplete = broken
		close(b.done)
	})
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	select {
	case <-b.done:
		return 0, io.EOF
	default:
	}
	if b.expectsContinue {
		if err := b.sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	if err != nil {
		b.markDone(!errors.Is(err, io.EOF))
	}
	return n, err
}

// invite tells the caller to send the body.
func (b *body) sendContinue() error {
	b.expectsContinue = false
	if err := b.x.awaitTurn(); err != nil {
		return err
	}
	if b.x.headWritten {
		return nil
	}
	_, _ = b.x.c.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	return b.x.c.w.Flush()
}

// Close leaves the rest of the body to drain.
func (b *body) Close() error { return nil }

// setDeadline bounds the reading of the body; after its end the connection
// belongs to the next request.
func (b *body) setDeadline(t time.Time) error {
	select {
	case <-b.done:
		return nil
	default:
		return b.x.c.raw.SetReadDeadline(t)
	}
}

// drain reads the rest of a body that the handler did not read, and reports
// whether the connection can be used again.
func (b *body) discardRest() bool {
	select {
	case <-b.done:
		return !b.incomplete
	default:
	}
	if b.expectsContinue {
		return false // the body was never asked for
	}
	_ = b.setDeadline(time.Now().Add(discardTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxDiscardedBody+1))
	return err == nil && n <= maxDiscardedBody && !b.incomplete
}
