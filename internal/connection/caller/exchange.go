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

// exchange is a request and its response. It implements http.ResponseWriter for
// the request.
type exchange struct {
	c            *conn
	req          *http.Request
	body         *body
	ctx          context.Context
	cancel       context.CancelCauseFunc
	callerCloses bool // the request asks to close the connection after the response

	previousWritten chan struct{} // closed when the responses to all earlier requests are written
	written         chan struct{} // closed when this response is written
	done            chan struct{} // closed when the exchange has ended

	header        http.Header
	headWritten   bool // the response head was written
	chunked       bool
	noBody        bool  // the status or the method rules out a response body
	remaining     int64 // bytes of the Content-Length that are not written yet
	writeDeadline time.Time
	writeErr      error
	closeAfter    bool // the connection closes after this response
}

// exchangeKey is the context key of a request's exchange.
type exchangeKey struct{}

// AwaitTurn blocks until all earlier requests of the connection have been
// answered. A request that must not run twice has to wait for this before it is
// forwarded: if an earlier response closes the connection, the caller assumes
// that the later request was not read and sends it again. If AwaitTurn returns an
// error, the request must not be forwarded. For a request that did not arrive
// through this package it returns nil at once.
func AwaitTurn(ctx context.Context) error {
	x, ok := ctx.Value(exchangeKey{}).(*exchange)
	if !ok {
		return nil // the request did not arrive through this package
	}
	return x.awaitTurn(x.ctx)
}

// awaitTurn blocks until the responses to all earlier requests are written. It
// returns an error if ctx ends first.
func (x *exchange) awaitTurn(ctx context.Context) error {
	select {
	case <-x.previousWritten:
	case <-ctx.Done():
		return ctx.Err()
	}
	if x.c.isClosed() {
		return errConnClosed
	}
	return nil
}

// run calls the handler and completes the response. It closes the connection if
// the response is the last one or is incomplete.
func (x *exchange) run() {
	defer close(x.done)
	ok := x.callHandler()
	if ok {
		ok = x.finish()
	}
	if ok && !x.body.discardRest() {
		x.closeAfter = true
	}
	x.cancel(nil)
	if !ok {
		x.c.abort()
	}
	if x.closeAfter && ok {
		x.c.linger()
		x.c.abort()
	}
	x.c.exchangeDone(x)
	close(x.written)
}

// callHandler calls the handler and reports whether the response may be
// completed. After a panic it must not, so that the caller sees an incomplete
// response.
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

// awaitBody waits until the request body has been read, because the next request
// follows it on the connection. It reports whether the connection stays open.
func (x *exchange) awaitBody() bool {
	select {
	case <-x.body.done:
		if !x.body.incomplete {
			return true
		}
		<-x.done // the response states what was wrong with the body
		return false
	case <-x.done:
		return !x.c.isClosed()
	case <-x.c.ctx.Done():
		return false
	}
}

// Header returns the header of the response.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader writes the response head after the responses to all earlier
// requests.
func (x *exchange) WriteHeader(status int) {
	if x.headWritten || x.writeErr != nil {
		return
	}
	if err := x.awaitTurn(x.c.ctx); err != nil {
		x.writeErr = err
		return
	}
	x.headWritten = true
	if !x.writeDeadline.IsZero() {
		_ = x.c.raw.SetWriteDeadline(x.deadlineFromTurn(time.Now()))
	}
	x.setFraming(status)
	last := x.c.startHead(x.written)
	x.closeAfter = x.closeAfter || x.callerCloses || last
	if x.closeAfter {
		x.header.Set("Connection", "close")
	}
	if x.header.Get("Date") == "" {
		x.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	_, _ = x.c.w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = x.header.Write(x.c.w)                 // an error of a bufio.Writer persists
	_, x.writeErr = x.c.w.WriteString("\r\n") // and is returned by the last write
}

// minWriteTime is how long the caller has at least to take a response, from when its turn
// has come.
const minWriteTime = time.Second

// deadlineFromTurn returns the write deadline of a response whose turn has come at now. The
// deadline was set when the response was ready. It may have passed while the response waited
// for earlier ones, and the connection would then be closed without it.
func (x *exchange) deadlineFromTurn(now time.Time) time.Time {
	if earliest := now.Add(minWriteTime); x.writeDeadline.Before(earliest) {
		return earliest
	}
	return x.writeDeadline
}

// setFraming determines how the caller recognises the end of the response body:
// by Content-Length, by chunked encoding or by the end of the connection.
func (x *exchange) setFraming(status int) {
	statusWithoutBody := status == http.StatusNoContent || status == http.StatusNotModified
	x.noBody = statusWithoutBody || x.req.Method == http.MethodHead
	if statusWithoutBody {
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
		x.remaining, x.closeAfter = unlimited, true // HTTP/1.0: the body ends when the connection closes
	}
}

// Write writes a part of the response body. Data beyond the Content-Length is
// rejected with http.ErrContentLength.
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

// Flush sends buffered data to the caller.
func (x *exchange) Flush() {
	if x.headWritten && x.writeErr == nil {
		x.writeErr = x.c.w.Flush()
	}
}

// SetReadDeadline sets the deadline for reading the request body.
func (x *exchange) SetReadDeadline(t time.Time) error { return x.body.setDeadline(t) }

// SetWriteDeadline sets the deadline for writing the response. It takes effect
// when all earlier responses are written.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	x.writeDeadline = t
	if !x.headWritten {
		return nil
	}
	return x.c.raw.SetWriteDeadline(t)
}

// finish completes the response and reports whether it was written in full.
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
		return false // shorter than its Content-Length: the caller must see that it is incomplete
	}
	x.Flush()
	return x.writeErr == nil
}

// writeTrailer ends a chunked body with the trailers named in the Trailer header.
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

// body is the body of a request. When it has been read to its end, the next
// request can be read from the connection.
type body struct {
	x               *exchange
	source          io.ReadCloser
	expectsContinue bool          // the caller waits for 100 Continue before it sends the body
	done            chan struct{} // closed when the body was read to its end or failed
	incomplete      bool          // the body did not arrive in full
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

// markDone records that nothing more can be read from the body. Only the first
// call has an effect.
func (b *body) markDone(incomplete bool) {
	b.doneOnce.Do(func() {
		b.incomplete = incomplete
		close(b.done)
	})
}

// Read reads the body. It first sends 100 Continue if the caller waits for it.
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

// sendContinue sends 100 Continue after the responses to all earlier requests,
// unless the response to this one has begun.
func (b *body) sendContinue() error {
	b.expectsContinue = false
	if err := b.x.awaitTurn(b.x.c.ctx); err != nil {
		return err
	}
	if b.x.headWritten {
		return nil
	}
	_, _ = b.x.c.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	return b.x.c.w.Flush()
}

// Close does nothing; discardRest reads the rest of the body.
func (b *body) Close() error { return nil }

// setDeadline sets the deadline for reading the body. It has no effect after the
// end of the body, because the connection is then used to read the next request.
func (b *body) setDeadline(t time.Time) error {
	select {
	case <-b.done:
		return nil
	default:
		return b.x.c.raw.SetReadDeadline(t)
	}
}

// discardRest reads and discards the part of the body that the handler did not
// read, at most maxDiscardedBody bytes within discardTimeout. It reports whether
// the connection can be reused.
func (b *body) discardRest() bool {
	select {
	case <-b.done:
		return !b.incomplete
	default:
	}
	if b.expectsContinue {
		return false // the caller was not told to send the body
	}
	_ = b.setDeadline(time.Now().Add(discardTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxDiscardedBody+1))
	return err == nil && n <= maxDiscardedBody && !b.incomplete
}
