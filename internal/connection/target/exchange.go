package target

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// exchange is one request on a connection.
type exchange struct {
	t       *Transport
	c       *conn
	req     *http.Request
	unwatch func() bool // stops watching the context
	once    sync.Once

	written  chan error // result of a body written beside the answer; nil if it was written before
	wrote    bool       // a byte was written
	reusable bool
}

// run writes the request and reads the head of its answer.
func (x *exchange) run() (*http.Response, error) {
	if err := x.write(); err != nil {
		// A target may have refused the request before it was written whole.
		resp, readErr := x.readHead()
		if readErr != nil {
			return nil, err
		}
		x.reusable = false
		return x.answer(resp), nil
	}
	resp, err := x.readHead()
	if err != nil {
		return nil, err
	}
	return x.answer(resp), nil
}

func (x *exchange) write() error {
	head := x.head()
	body := x.req.Body
	if body == nil || x.req.ContentLength == 0 {
		return x.send(head)
	}
	if x.req.ContentLength > 0 && x.req.ContentLength <= inlineBytes {
		data, err := io.ReadAll(io.LimitReader(body, x.req.ContentLength+1))
		if err != nil || int64(len(data)) != x.req.ContentLength {
			return fmt.Errorf("body of %d bytes instead of %d: %w", len(data), x.req.ContentLength, errors.Join(err, errBodyLength))
		}
		return x.send(append(head, data...))
	}
	if err := x.send(head); err != nil {
		return err
	}
	x.written = make(chan error, 1)
	go func() { x.written <- x.sendBody(body) }()
	return nil
}

var errBodyLength = errors.New("the body has another length than announced")

// sendBody writes a body whose length is announced.
func (x *exchange) sendBody(body io.Reader) error {
	n, err := io.Copy(x.c.raw, io.LimitReader(body, x.req.ContentLength))
	if err == nil && n != x.req.ContentLength {
		err = errBodyLength
	}
	return err
}

// send writes data and tells the trace when the first byte was written.
func (x *exchange) send(data []byte) error {
	n, err := x.c.raw.Write(data)
	if n > 0 && !x.wrote {
		x.wrote = true
		if trace := httptrace.ContextClientTrace(x.req.Context()); trace != nil && trace.WroteHeaders != nil {
			trace.WroteHeaders()
		}
	}
	return err
}

// head returns request line and header.
func (x *exchange) head() []byte {
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
	_ = x.req.Header.WriteSubset(&b, ownHeaders) // a buffer takes everything
	b.WriteString("\r\n")
	return b.Bytes()
}

// ownHeaders are written from the request's fields.
var ownHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// readHead reads the head of the answer that belongs to the request.
func (x *exchange) readHead() (*http.Response, error) {
	for stale := 0; ; {
		resp, err := http.ReadResponse(x.c.r, x.req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return resp, nil
			}
			continue // informational; the final answer follows
		}
		if !x.late(resp) {
			return resp, nil
		}
		if stale++; stale > maxStale || resp.Close {
			return nil, errStaleAnswer
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBytes+1)); err != nil || n > maxStaleBytes {
			return nil, errors.Join(errStaleAnswer, err)
		}
	}
}

// late reports whether an answer belongs to an earlier request of the
// connection. One that names a request which the connection never carried is
// left to the sender, which tells it from its own: nothing shows that the right
// answer would follow.
func (x *exchange) late(resp *http.Response) bool {
	if x.t.AnswerID == nil {
		return false
	}
	id := x.t.AnswerID(resp)
	return id != x.id() && slices.Contains(x.c.earlier, id)
}

// id returns the identifier of the request, "" if it has none.
func (x *exchange) id() string {
	if x.t.RequestID == nil {
		return ""
	}
	return x.t.RequestID(x.req)
}

var errStaleAnswer = errors.New("the connection carries answers to other requests")

// answer ties the end of the answer's body to the connection.
func (x *exchange) answer(resp *http.Response) *http.Response {
	x.reusable = x.reusableAfter(resp)
	x.c.expires = time.Now().Add(keptFor(resp.Header))
	if resp.Body == http.NoBody || resp.ContentLength == 0 && x.bodyWritten() {
		x.end(x.reusable && x.bodyWritten())
		return resp
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, x: x}
	return resp
}

// reusableAfter reports whether another request may follow the answer. One
// without a length ends with its connection.
func (x *exchange) reusableAfter(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || x.req.Method == http.MethodHead
	return !resp.Close && framed && resp.ProtoAtLeast(1, 1)
}

// keptFor returns how long the target keeps the connection.
func keptFor(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return idleLifetime
}

// bodyWritten reports whether the whole request was written.
func (x *exchange) bodyWritten() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		x.written <- err
		return err == nil
	default:
		return false
	}
}

// end gives the connection back or closes it. Only the first call counts.
func (x *exchange) end(reuse bool) {
	x.once.Do(func() {
		watched := x.unwatch()
		// Bytes that are there already belong to no request.
		if reuse && watched && x.c.r.Buffered() == 0 && time.Now().Before(x.c.expires) {
			x.c.carried(x.id())
			x.t.putIdle(x.c)
			return
		}
		_ = x.c.raw.Close()
	})
}

// answerBody returns the connection at the end of the body.
type answerBody struct {
	io.ReadCloser
	x *exchange
}

// Read reads the body.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.x.end(errors.Is(err, io.EOF) && b.x.reusable && b.x.bodyWritten())
	}
	return n, err
}

// Close ends the exchange. A body that was not read to its end closes the
// connection.
func (b *answerBody) Close() error {
	b.x.end(false)
	return nil
}
