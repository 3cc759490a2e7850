package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
)

// exchange sends one request to a target or to another entry.
type exchange struct {
	transport           http.RoundTripper
	addr                string
	host                string // Host header; "" means the address
	header              http.Header
	allowTransportRetry bool // net/http may send the request again by itself
	// onWritten is called when the whole request is in the write buffer. If the
	// connection is a writeReporter, it is also called after each write to it.
	onWritten func()
	// onConnected is called before the request is written; nil if nothing is to be
	// done. The request is not written if it cancels the context.
	onConnected func()
	// onHead is called with the head of an answer to the request; nil if nothing is
	// to be done.
	onHead func(resp *http.Response)
	// naming returns what the header of an answer says about the request that it
	// belongs to.
	naming func(resp *http.Response) naming
}

// naming is what an answer says about the request that it belongs to.
type naming int

const (
	namesNone naming = iota // it names no request
	namesThis
	namesOther
)

// nameOf compares the identifier in an answer, which may be missing, with that of
// the request.
func nameOf(answered, asked string) naming {
	switch answered {
	case "":
		return namesNone
	case asked:
		return namesThis
	}
	return namesOther
}

// writeReporter is a connection that reports its writes. It is needed because
// net/http calls WroteRequest before it flushes the end of the request.
type writeReporter interface{ AfterWrite(f func()) }

// do sends the request and reads the header and the first bytes of the answer.
// An error of kind TargetUnreachable or DeadlineUnmeetable proves that nothing
// was sent.
func (x *exchange) do(ctx context.Context, c *call) (*reply, error) {
	var headSent, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused.Store(info.Reused)
			if c, ok := info.Conn.(writeReporter); ok {
				c.AfterWrite(x.onWritten)
			}
			if x.onConnected != nil {
				x.onConnected()
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
	name := x.naming(resp)
	if name == namesOther {
		resp.Body.Close()
		return nil, errkind.New(errkind.AnswerMismatch, "the answer names another request than %q", c.id)
	}
	if x.onHead != nil {
		x.onHead(resp)
	}
	rep, err := x.readHead(ctx, c, resp)
	if err == nil {
		rep.proved = name == namesThis || !reused.Load()
	}
	return rep, err
}

// placeholderURL is replaced after a request has been created.
const placeholderURL = "http://target"

// request returns the HTTP request to send.
func (x *exchange) request(ctx context.Context, c *call) (*http.Request, error) {
	// The address is not parsed here: an invalid one fails when it is dialled, as one
	// that cannot be reached, and is not the caller's fault.
	req, err := http.NewRequestWithContext(ctx, c.method, placeholderURL, x.body(c))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "create request to %q", x.addr)
	}
	// Opaque keeps path and query exactly as the caller sent them.
	req.URL, req.Host = &url.URL{Scheme: "http", Host: x.addr, Opaque: c.path}, x.host
	req.ContentLength = int64(len(c.body))
	req.GetBody = nil
	req.Header = x.header
	return req, nil
}

// nonRewindableReader hides the type of the body from net/http. When a reused
// connection fails, net/http sends a request again by itself, even if the target
// has read it. It does not do so for a body that it cannot rewind.
type nonRewindableReader struct{ io.Reader }

// body returns the request body. It is nil only if the transport may send the
// request again.
func (x *exchange) body(c *call) io.Reader {
	if x.allowTransportRetry && len(c.body) == 0 {
		return nil
	}
	return nonRewindableReader{bytes.NewReader(c.body)}
}

// sendError classifies an error of the transport. headSent is set if the header
// of the request may have reached the target.
func sendError(ctx context.Context, err error, headSent bool) error {
	switch {
	case !headSent && errors.Is(context.Cause(ctx), errTargetWithdrawn):
		return errkind.Wrap(errkind.TargetUnreachable, errTargetWithdrawn, "nothing was sent")
	case !headSent && ctx.Err() == nil:
		return errkind.Wrap(errkind.TargetUnreachable, err, "nothing was sent")
	case !headSent:
		return errkind.Wrap(errkind.DeadlineUnmeetable, err, "nothing was sent before the deadline")
	case errors.Is(context.Cause(ctx), errLeaseExpired):
		return errkind.Wrap(errkind.OutcomeUnknown, err, "the budget lease expired while the request was being sent")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errkind.Wrap(errkind.DeadlineExceeded, err, "no answer before the deadline")
	case stopped(ctx):
		return errkind.Wrap(errkind.DeadlineExceeded, err, "no answer before the end of the planned stop")
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.Cancelled, err, "the request was cancelled")
	}
	return errkind.Wrap(errkind.TargetFailed, err, "no answer after the request was sent")
}

// errLeaseExpired cancels a request that was sent after the budget lease that
// admitted it had expired, or after its deadline.
var errLeaseExpired = errors.New("budget lease or deadline expired during the send")

// readHead checks that a truncated body of the answer can be detected, and reads the
// first bytes of the body.
func (x *exchange) readHead(ctx context.Context, c *call, resp *http.Response) (*reply, error) {
	if resp.StatusCode < http.StatusOK {
		resp.Body.Close()
		return nil, errkind.New(errkind.AnswerBroken, "the answer has status %d, which is not a final status", resp.StatusCode)
	}
	if c.method != http.MethodHead && endsAtConnectionClose(resp) && !c.service.UnframedAnswers {
		resp.Body.Close()
		return nil, errkind.New(errkind.AnswerBroken, "the answer has neither a length nor chunked encoding, so truncation cannot be detected")
	}
	r := &reply{status: resp.StatusCode, header: copyHeader(resp.Header), length: resp.ContentLength, rest: resp.Body}
	if c.method != http.MethodHead {
		r.trailer = resp.Trailer
	}
	buf := make([]byte, answerBufferSize(resp.ContentLength))
	n, err := io.ReadFull(resp.Body, buf)
	r.buffered = buf[:n]
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && endedCleanly(resp, n):
		resp.Body.Close()
		r.rest, r.length = nil, int64(n)
		if c.method == http.MethodHead || len(r.trailer) > 0 {
			r.length = resp.ContentLength // trailers require chunked encoding, and so an unknown length
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

// readError classifies an error of reading an answer's body.
func readError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || stopped(ctx) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "the answer was not complete before the deadline")
	}
	return errkind.Wrap(errkind.AnswerBroken, err, "the answer broke off")
}

// answerBufferSize returns how many bytes of a body with the given length are
// buffered. A negative length is unknown.
func answerBufferSize(length int64) int64 {
	if length >= 0 && length < answerBufferBytes {
		return length
	}
	return answerBufferBytes
}

// endedCleanly reports whether a body of n bytes ended properly. io.ReadFull
// returns io.ErrUnexpectedEOF both for a body that is shorter than the buffer and
// for one that broke off.
func endedCleanly(resp *http.Response, n int) bool {
	if resp.ContentLength >= 0 {
		return int64(n) == resp.ContentLength
	}
	_, err := resp.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// endsAtConnectionClose reports whether only the close of the connection marks the
// end of the body.
func endsAtConnectionClose(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed && resp.ProtoMajor == 1
}

// targetHeader returns the header of the request to a target.
func (h *Handler) targetHeader(c *call, target string, now time.Time) http.Header {
	out := copyHeader(c.header)
	for _, name := range internalHeaders {
		out.Del(name)
	}
	h.Dialect.Forward(out, dialect.Forward{ID: c.id, TimeLeft: c.timeLeft(now), Target: target})
	return out
}

// peerHeader returns the header of a request that is forwarded to another entry:
// the caller's header and the internal headers that state the decisions of this
// entry. self is this instance.
func (c *call) peerHeader(self string, remote, recorded bool, now time.Time) http.Header {
	h := copyHeader(c.header)
	h.Set(headerID, c.id)
	h.Set(headerForward, strconv.FormatUint(rand.Uint64(), 36))
	h.Set(headerLeft, dialect.FormatMilliseconds(c.timeLeft(now)))
	h.Set(headerService, c.service.Name)
	setFlagHeader(h, headerHostRoute, c.route.Host != "")
	left, _ := objectiveLeft(c, now)
	h.Set(headerObjective, strconv.FormatInt(left.Milliseconds(), 10))
	h.Set(headerSends, strconv.Itoa(c.sends))
	h.Set(headerVersion, strconv.FormatUint(c.snap.Version, 10))
	h.Set(headerRoute, c.routeToForward().String())
	h.Set(headerForwardedBy, self)
	h.Set(headerHops, strconv.Itoa(c.hops+1))
	setFlagHeader(h, headerRemote, remote)
	setFlagHeader(h, headerRecorded, recorded)
	return h
}

// objectiveLeft returns the time left for another entry to meet the latency
// objective, and whether there is any. Half a round trip is subtracted for the
// answer's way back.
func objectiveLeft(c *call, now time.Time) (time.Duration, bool) {
	left := c.objective.Sub(now) - c.step.RoundTrip/2
	return max(left, 0), left > 0
}

// setFlagHeader sets a header to "1" if on is set, and removes it otherwise.
func setFlagHeader(h http.Header, name string, on bool) {
	if on {
		h.Set(name, "1")
		return
	}
	h.Del(name)
}
