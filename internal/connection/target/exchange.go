package target

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// exchange is a request and its response on a connection.
type exchange struct {
	t              *Transport
	c              *conn
	req            *http.Request
	stopCancelHook func() bool // stops the function that runs when the context ends
	once           sync.Once

	bodyResult chan error // result of writing the body concurrently; nil if it is not written concurrently
	writeErr   error      // error of writing the request before the response was read
	wroteAny   bool       // at least one byte of the request was written
	reusable   bool
}

// run writes the request and reads the head of its response.
func (x *exchange) run() (*http.Response, error) {
	x.writeErr = x.writeRequest()
	// The target may have rejected the request and closed the connection before the
	// request was completely written.
	resp, err := x.readHead()
	if err != nil {
		return nil, cmp.Or(x.writeErr, err)
	}
	resp.Close = resp.Close || x.writeErr != nil
	return x.wrapResponse(resp), nil
}

func (x *exchange) writeRequest() error {
	head := x.encodeHead()
	body := x.req.Body
	if body == nil || x.req.ContentLength == 0 {
		return x.send(head)
	}
	if x.req.ContentLength > 0 && x.req.ContentLength <= maxInlineBody {
		data, err := io.ReadAll(io.LimitReader(body, x.req.ContentLength+1))
		if err != nil || int64(len(data)) != x.req.ContentLength {
			return fmt.Errorf("read %d bytes of a request body of %d bytes: %w", len(data), x.req.ContentLength, errors.Join(err, errBodyLength))
		}
		return x.send(append(head, data...))
	}
	if err := x.send(head); err != nil {
		return err
	}
	x.bodyResult = make(chan error, 1)
	go func() { x.bodyResult <- x.sendBody(body) }()
	return nil
}

var errBodyLength = errors.New("the length of the request body differs from its Content-Length")

// sendBody writes a body whose length was sent as Content-Length.
func (x *exchange) sendBody(body io.Reader) error {
	n, err := io.Copy(x.c.raw, io.LimitReader(body, x.req.ContentLength))
	if err == nil && n != x.req.ContentLength {
		err = errBodyLength
	}
	return err
}

// send writes data and calls the WroteHeaders hook after the first byte.
func (x *exchange) send(data []byte) error {
	n, err := x.c.raw.Write(data)
	if n > 0 && !x.wroteAny {
		x.wroteAny = true
		if trace := httptrace.ContextClientTrace(x.req.Context()); trace != nil && trace.WroteHeaders != nil {
			trace.WroteHeaders()
		}
	}
	return err
}

// encodeHead returns the request line and the header.
func (x *exchange) encodeHead() []byte {
	var b bytes.Buffer
	target := x.req.URL.Opaque
	if target == "" {
		target = x.req.URL.RequestURI()
	}
	host := x.req.Host
	if host == "" {
		host = x.req.URL.Host
	}
	b.WriteString(x.req.Method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	if x.req.Body != nil && x.req.ContentLength > 0 {
		b.WriteString("Content-Length: " + strconv.FormatInt(x.req.ContentLength, 10) + "\r\n")
	} else if x.req.Method == http.MethodPost || x.req.Method == http.MethodPut || x.req.Method == http.MethodPatch {
		b.WriteString("Content-Length: 0\r\n")
	}
	_ = x.req.Header.WriteSubset(&b, excludedHeaders) // writing to a bytes.Buffer does not fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// excludedHeaders are not copied from the request's header: encodeHead sets
// them from fields of the request or leaves them out.
var excludedHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// readHead reads the head of the response to the request. It skips late
// responses to earlier requests.
func (x *exchange) readHead() (*http.Response, error) {
	x.c.head.arm()
	defer x.c.head.disarm()
	for stale := 0; ; {
		resp, err := x.parseHead()
		if x.c.head.exceeded { // the bytes before the limit may look like a malformed line
			return nil, errHeadTooLong
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return resp, nil
			}
			continue // informational; the final response follows
		}
		if !x.isLate(resp) {
			return resp, nil
		}
		if stale++; stale > maxSkippedResponses || resp.Close {
			return nil, errLateResponses
		}
		x.c.head.disarm()
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1)); err != nil || n > maxSkippedBytes {
			return nil, errors.Join(errLateResponses, err)
		}
		if err := checkTrailer(resp.Trailer); err != nil {
			return nil, err
		}
		x.c.head.arm()
	}
}

// parseHead checks and parses the next response head.
func (x *exchange) parseHead() (*http.Response, error) {
	if err := x.c.checkHead(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(x.c.r, x.req)
	if err != nil {
		return nil, shortError(err)
	}
	return resp, checkTrailer(resp.Trailer)
}

// isLate reports whether a response belongs to an earlier request on the
// connection. A response that names a request which the connection has not
// carried is not skipped, because the right one may never follow. The caller of
// RoundTrip detects it by its identifier.
func (x *exchange) isLate(resp *http.Response) bool {
	id := x.responseID(resp)
	return id != x.id() && x.c.carried(id)
}

// responseID returns the identifier that a response names, or "" if it names none.
func (x *exchange) responseID(resp *http.Response) string {
	if x.t.ResponseID == nil {
		return ""
	}
	return x.t.ResponseID(resp)
}

// checkName reports whether the response may belong to the request by its
// identifier. A response without one does not if an earlier response on the
// connection had one. The response to the request may then still follow.
func (x *exchange) checkName(resp *http.Response) bool {
	switch x.responseID(resp) {
	case "":
		return !x.c.named
	case x.id():
		x.c.named = true
		return true
	}
	return x.t.RequestID == nil
}

// id returns the identifier of the request, or "" if it has none.
func (x *exchange) id() string {
	if x.t.RequestID == nil {
		return ""
	}
	return x.t.RequestID(x.req)
}

var errLateResponses = errors.New("the connection carries responses to earlier requests")

// wrapResponse makes the end of the response body release the connection. A
// response without a body releases it at once.
func (x *exchange) wrapResponse(resp *http.Response) *http.Response {
	x.reusable = x.checkName(resp) && x.reusableAfter(resp)
	x.c.expires = time.Now().Add(idleTimeout(resp.Header))
	if resp.Body == http.NoBody || resp.ContentLength == 0 && x.requestWritten() {
		x.release(x.reusable && x.requestWritten())
		return resp
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, x: x, resp: resp}
	return resp
}

// reusableAfter reports whether the connection can carry another request after
// the response. A response without a stated length ends when its connection
// closes.
func (x *exchange) reusableAfter(resp *http.Response) bool {
	return !resp.Close && x.isFramed(resp) && resp.ProtoAtLeast(1, 1) && !announcesForbiddenBody(resp)
}

// announcesForbiddenBody reports whether a response that has no body, by its status,
// announces one. Its bytes may follow.
func announcesForbiddenBody(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return resp.StatusCode == http.StatusNoContent && (len(resp.TransferEncoding) > 0 || length != "" && length != "0")
}

// isFramed reports whether the head of a response says where its body ends.
func (x *exchange) isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || x.req.Method == http.MethodHead
}

// idleTimeout returns how long the connection may stay idle: the timeout in the
// Keep-Alive header less idleTimeoutMargin, or DefaultIdleTimeout without one.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(s)*time.Second - idleTimeoutMargin
		}
	}
	return DefaultIdleTimeout
}

// requestWritten reports whether the whole request has been written.
func (x *exchange) requestWritten() bool {
	if x.bodyResult == nil {
		return true
	}
	select {
	case err := <-x.bodyResult:
		x.bodyResult <- err
		return err == nil
	default:
		return false
	}
}

// release returns the connection to the pool or closes it. Only the first call
// has an effect.
func (x *exchange) release(reuse bool) {
	x.once.Do(func() {
		watched := x.stopCancelHook()
		// Bytes that have already arrived belong to no request, so a connection
		// with buffered bytes is closed.
		x.c.addRequestID(x.id())
		if reuse && watched && x.c.buffered() == 0 && time.Now().Before(x.c.expires) && len(x.c.earlier) < maxRequests {
			x.t.putIdle(x.c)
			return
		}
		_ = x.c.raw.Close()
	})
}

// responseBody is the body of a response. It releases the connection when the
// body has been read to its end or is closed.
type responseBody struct {
	io.ReadCloser
	x    *exchange
	resp *http.Response
	err  error // result of the read at which the body ended
}

// Read reads the body and releases the connection at its end or on an error.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.checkEnd()
	}
	if err != nil {
		b.err = err
		b.x.release(err == io.EOF && b.x.reusable && b.x.requestWritten())
	}
	return n, err
}

// checkEnd returns io.EOF if the body is whole and its trailers are well formed.
func (b *responseBody) checkEnd() error {
	if !b.x.isFramed(b.resp) {
		if err := b.x.resetWhileWriting(); err != nil {
			return errkind.Wrap(errkind.AnswerBroken, err, "the connection was reset before the end of the response")
		}
	}
	if err := checkTrailer(b.resp.Trailer); err != nil {
		return err
	}
	return io.EOF
}

// resetWhileWriting returns the error of writing the request if it shows that the target
// reset the connection, rather than closing it.
//
// The kernel reports a reset once, to a read or a write. After a write has got it, a read
// finds the end of the stream as after a close. If the close had come first, the write
// fails with EPIPE.
func (x *exchange) resetWhileWriting() error {
	err := x.writeErr
	if x.bodyResult != nil {
		_ = x.c.raw.SetWriteDeadline(time.Unix(1, 0)) // the target has closed its side and gets no more
		err = <-x.bodyResult
		x.bodyResult <- err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

// Close closes the connection if the body has not been read to its end.
func (b *responseBody) Close() error {
	b.x.release(false)
	return nil
}
