package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// answerBufferBytes is how much of an answer's body is read before its first byte
// is sent to the caller. If the answer breaks off within these bytes, the caller
// gets an error answer instead of a truncated body.
const answerBufferBytes = 64 << 10

// reply is an answer that is to be sent to the caller.
type reply struct {
	status   int
	header   http.Header
	buffered []byte        // first bytes of the body, already read
	rest     io.ReadCloser // the body after buffered, or nil if there is no more
	length   int64         // length of the body in bytes, -1 if unknown
	// proved is set if the answer provably belongs to the request: it names the
	// request, or it is the first answer on its connection. A faulty target may
	// write an earlier answer once more on a kept connection.
	proved bool
	// trailer has the announced names of the trailer fields. Their values are
	// set once the body has been read.
	trailer http.Header
	end     func(err error)
	// deadline ends the streaming of rest. It also bounds how long a caller
	// that does not read its answer can hold a slot.
	deadline time.Time
}

// finish closes the body and calls end. err is nil if the whole answer was read.
// Only the first call has an effect.
func (r *reply) finish(err error) {
	if r.rest != nil {
		_ = r.rest.Close()
		r.rest = nil
	}
	if r.end != nil {
		end := r.end
		r.end = nil
		end(err)
	}
}

// hopByHop lists the headers that a proxy must not forward (RFC 9110, section
// 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader copies src without its hop-by-hop headers, including those that the
// Connection header names.
func copyHeader(src http.Header) http.Header {
	out := src.Clone()
	for _, value := range src["Connection"] {
		for _, name := range strings.Split(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// writeTimeout is how long it may take to write an answer that is completely
// buffered, from when all earlier requests of the connection are answered.
const writeTimeout = 5 * time.Second

// write sends the reply to the caller. If the answer breaks off after its first
// byte was sent, write aborts the connection, because the caller must not take a
// truncated answer for a complete one. A completely buffered answer releases its
// slot and its unit before it is written. ctx is the context of the request.
func (r *reply) write(ctx context.Context, w http.ResponseWriter) {
	until := r.deadline
	if r.rest == nil {
		r.finish(nil)
		_ = caller.AwaitTurn(ctx) // if ctx has ended, the write waits or fails by itself
		until = time.Now().Add(writeTimeout)
	}
	defer r.finish(http.ErrAbortHandler) // has no effect if finish was called below
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(until)
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	h := w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	for name := range r.trailer {
		h.Add("Trailer", name)
	}
	if r.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.length, 10))
	}
	w.WriteHeader(r.status)
	if err := r.copyBody(w); err != nil {
		r.finish(err)
		panic(http.ErrAbortHandler)
	}
	for name, values := range r.trailer {
		h[name] = values
	}
	r.finish(nil)
}

// copyBody writes the buffered bytes and streams the rest of the body.
func (r *reply) copyBody(w http.ResponseWriter) error {
	if _, err := w.Write(r.buffered); err != nil {
		return err
	}
	if r.rest == nil {
		return nil
	}
	_, err := io.Copy(w, r.rest)
	return err
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Kind      errkind.Kind   `json:"kind"`
	Message   string         `json:"message"`
	DidRun    errkind.DidRun `json:"did_run"`
	RequestID string         `json:"request_id"`
}

// defaultRetryAfter is the Retry-After hint of retryable errors that state none.
const defaultRetryAfter = time.Second

// errorReply returns the error answer for err, according to its kind.
func (h *Handler) errorReply(c *call, err error) *reply {
	kind := errkind.Of(err)
	ref := dialect.Refusal{ID: c.id, Kind: kind, DidRun: c.didRun(kind)}
	if kind.Response().Retry {
		ref.RetryAfter = h.retryHint(c, err)
	}
	body, _ := json.Marshal(errorBody{Kind: kind, Message: err.Error(), DidRun: ref.DidRun, RequestID: c.id})
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	if h.peer {
		describeRefusal(header, ref)
		setFlagHeader(header, headerRunsOnce, c.route != nil && !c.repeatable())
	}
	body = append(body, '\n')
	return &reply{status: h.Dialect.Refusal(header, ref), header: header, buffered: body, length: int64(len(body))}
}

// describeRefusal sets the headers that describe a refusal to another entry. They
// do not depend on the callers' dialect, which may have no headers for them.
func describeRefusal(header http.Header, ref dialect.Refusal) {
	header.Set(headerKind, string(ref.Kind))
	if ref.DidRun == errkind.No {
		header.Set(headerNotRun, "true")
	}
	if ref.RetryAfter > 0 {
		header.Set(headerRetryAfter, dialect.FormatMilliseconds(ref.RetryAfter))
	}
}

// stoppingRetryAfter is the Retry-After hint of an entry that stops. Other entries can
// serve the request at once.
const stoppingRetryAfter = 50 * time.Millisecond

// retryHint returns after which time the caller should try again.
func (h *Handler) retryHint(c *call, err error) time.Duration {
	if errkind.Of(err) == errkind.Stopping && !fromPeer(err) {
		return stoppingRetryAfter
	}
	return max(retryAfter(err), c.earliestRetry(h.Now()))
}

// retryAfterShare is the share of the caller's remaining time after which it is
// asked to try again. The caller has one more attempt, and the cause of a refusal
// lasts for a while, so the hint is as late as callers follow it: they wait for a
// third of their remaining time at most.
const retryAfterShare = 1.0 / 3

// earliestRetry returns after which time a caller of a route by host should try
// again at the earliest. It is 0 for other routes.
func (c *call) earliestRetry(now time.Time) time.Duration {
	if c.route == nil || c.route.Host == "" {
		return 0
	}
	return time.Duration(retryAfterShare * float64(max(c.timeLeft(now), 0)))
}

// retryAfter returns the hint that err carries, or else defaultRetryAfter.
func retryAfter(err error) time.Duration {
	var pe *peerError
	if errors.As(err, &pe) && pe.retryAfter > 0 {
		return pe.retryAfter
	}
	var qe *quarantinedError
	if errors.As(err, &qe) {
		return qe.retryAfter
	}
	if after, ok := dispatch.RetryAfter(err); ok {
		return after
	}
	return defaultRetryAfter
}
