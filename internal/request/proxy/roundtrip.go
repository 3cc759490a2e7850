package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
)

// exchange is one request to a target or to another entry.
type exchange struct {
	transport http.RoundTripper
	addr      string
	host      string // Host header; "" for that of the address
	header    http.Header
	replay    bool // the transport may send the request again by itself
	// onWritten is called after each write to the connection, if the transport
	// makes connections that report it, and when the request is in the buffer.
	onWritten func()
	// idOf returns the identifier of the request that an answer names.
	idOf func(resp *http.Response) string
}

// writeReporter is a connection that reports its writes. net/http calls
// WroteRequest before it flushes the end of the request.
type writeReporter interface{ AfterWrite(f func()) }

// do sends the call and reads the head of the answer. The error kind says
// whether a byte was sent: TargetUnreachable proves that none was.
func (x *exchange) do(ctx context.Context, c *call) (*reply, error) {
	var headSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(writeReporter); ok {
				c.AfterWrite(x.onWritten)
			}
		},
		WroteHeaders: func() { headSent.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if x.onWritten != nil {
				x.onWritten()
			}
		},
	})
	req, err := x.request(ctx, c)
	if err != nil {
		return nil, err
	}
	resp, err := x.transport.RoundTrip(req)
	if err != nil {
		return nil, sendError(ctx, err, headSent.Load())
	}
	return x.readHead(ctx, c, resp)
}

func (x *exchange) request(ctx context.Context, c *call) (*http.Request, error) {
	u, err := url.ParseRequestURI(c.path)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "request path")
	}
	// Opaque passes path and query on byte by byte.
	u.Scheme, u.Host, u.Opaque, u.RawQuery, u.ForceQuery = "http", x.addr, c.path, "", false
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+x.addr, x.body(c))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "request to %s", x.addr)
	}
	req.URL, req.Host = u, x.host
	req.ContentLength = int64(len(c.body))
	req.GetBody = nil
	req.Header = x.header
	return req, nil
}

// onceReader hides the body's type. net/http sends a request with a body
// that it cannot rewind only once; it would repeat others by itself when a
// reused connection fails, even after the target has read them.
type onceReader struct{ io.Reader }

func (x *exchange) body(c *call) io.Reader {
	if x.replay && len(c.body) == 0 {
		return nil
	}
	return onceReader{bytes.NewReader(c.body)}
}

func sendError(ctx context.Context, err error, headSent bool) error {
	switch {
	case !headSent && ctx.Err() == nil:
		return errkind.Wrap(errkind.TargetUnreachable, err, "nothing was sent")
	case !headSent:
		return errkind.Wrap(errkind.DeadlineUnmeetable, err, "nothing was sent before the deadline")
	case errors.Is(context.Cause(ctx), errLeaseLapsed):
		return errkind.Wrap(errkind.OutcomeUnknown, err, "the lease lapsed while the request was sent")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errkind.Wrap(errkind.DeadlineExceeded, err, "no answer before the deadline")
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.Cancelled, err, "the request was cancelled")
	}
	return errkind.Wrap(errkind.TargetFailed, err, "no answer after the request was sent")
}

// errLeaseLapsed cancels a request that went out after the budget lease that
// admitted it had expired.
var errLeaseLapsed = errors.New("budget lease expired during the send")

// readHead checks that the answer belongs to the call and that its end can
// be recognised, and reads its first bytes.
func (x *exchange) readHead(ctx context.Context, c *call, resp *http.Response) (*reply, error) {
	if x.idOf != nil {
		if echoed := x.idOf(resp); echoed != "" && echoed != c.id {
			resp.Body.Close()
			return nil, errkind.New(errkind.AnswerMismatch, "the answer names request %q instead of %q", echoed, c.id)
		}
	}
	if resp.StatusCode < http.StatusOK {
		resp.Body.Close()
		return nil, errkind.New(errkind.AnswerBroken, "the answer has status %d, which ends no request", resp.StatusCode)
	}
	if c.method != http.MethodHead && endsByClose(resp) && !c.service.UnframedAnswers {
		resp.Body.Close()
		return nil, errkind.New(errkind.AnswerBroken, "the answer has neither a length nor chunks, so it cannot be proved whole")
	}
	r := &reply{status: resp.StatusCode, header: copyHeader(resp.Header), length: resp.ContentLength, rest: resp.Body}
	if c.method != http.MethodHead {
		r.trailer = resp.Trailer
	}
	buf := make([]byte, headBuffer(resp.ContentLength))
	n, err := io.ReadFull(resp.Body, buf)
	r.head = buf[:n]
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && whole(resp, n):
		resp.Body.Close()
		r.rest, r.length = nil, int64(n)
		if c.method == http.MethodHead || len(r.trailer) > 0 {
			r.length = resp.ContentLength // trailers need chunks
		}
	case err != nil:
		resp.Body.Close()
		return nil, readError(ctx, err)
	case int64(n) == resp.ContentLength:
		resp.Body.Close()
		r.rest = nil
	}
	return r, nil
}

func readError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "the answer was not complete before the deadline")
	}
	return errkind.Wrap(errkind.AnswerBroken, err, "the answer broke off")
}

func headBuffer(length int64) int64 {
	if length >= 0 && length < bufferedBytes {
		return length
	}
	return bufferedBytes
}

// whole tells a short read of a chunked body that ended properly from one
// that broke off: ReadFull reports both as io.ErrUnexpectedEOF.
func whole(resp *http.Response, n int) bool {
	if resp.ContentLength >= 0 {
		return int64(n) == resp.ContentLength
	}
	_, err := resp.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func endsByClose(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed && resp.ProtoMajor == 1
}

// targetHeader returns the header that goes to a target.
func (h *Handler) targetHeader(c *call, target string, now time.Time) http.Header {
	out := copyHeader(c.header)
	for _, name := range internalHeaders {
		out.Del(name)
	}
	h.Dialect.Forward(out, dialect.Forward{ID: c.id, Left: c.left(now), Target: target})
	return out
}

// peerHeader returns the header that goes to another entry: the caller's own,
// and what this entry has decided.
func (c *call) peerHeader(self string, remote, recorded bool, now time.Time) http.Header {
	h := copyHeader(c.header)
	h.Set(headerID, c.id)
	h.Set(headerLeft, dialect.FormatMilliseconds(c.left(now)))
	h.Set(headerService, c.service.Name)
	left, _ := objectiveLeft(c, now)
	h.Set(headerObjective, strconv.FormatInt(left.Milliseconds(), 10))
	h.Set(headerSends, strconv.Itoa(c.sends))
	h.Set(headerVersion, strconv.FormatUint(c.snap.Version, 10))
	h.Set(headerForwardedBy, self)
	h.Set(headerHops, strconv.Itoa(c.hops+1))
	setFlag(h, headerRemote, remote)
	setFlag(h, headerRecorded, recorded)
	return h
}

// objectiveLeft returns the time left to meet the objective at another entry,
// of which half a round trip is needed for the way back, and whether any is.
func objectiveLeft(c *call, now time.Time) (time.Duration, bool) {
	left := c.objective.Sub(now) - c.step.RoundTrip/2
	return max(left, 0), left > 0
}

func setFlag(h http.Header, name string, on bool) {
	if on {
		h.Set(name, "1")
		return
	}
	h.Del(name)
}
