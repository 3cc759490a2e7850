package proxy

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// bufferedBytes of an answer are read before its first byte goes to the
// caller: an answer that breaks off within them becomes a clean error.
const answerBufferBytes = 64 << 10

// reply is an answer on its way to the caller.
type reply struct {
	status   int
	header   http.Header
	buffered []byte        // first bytes of the body
	rest     io.ReadCloser // what follows head, or nil
	length   int64         // -1 if unknown
	// trailer has the names that were announced; the values are there once
	// the body was read.
	trailer http.Header
	end     func(err error)
	// deadline ends the streaming of rest, also to a caller that does not
	// read: the slot is held until then at most.
	deadline time.Time
}

// finish releases what the reply holds; err is nil if the whole answer
// was read. It may be called more than once.
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

// hopByHop headers end at each proxy (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader copies src without the headers that end here.
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

// writeTimeout bounds the write of an answer that has arrived as a whole.
const writeTimeout = 5 * time.Second

// write sends the reply to the caller. If the answer breaks off after the
// first byte went out, the connection is aborted: the caller must never see
// a clean end of a short answer. An answer that has arrived as a whole holds
// nothing while it is written.
func (r *reply) write(w http.ResponseWriter) {
	until := r.deadline
	if r.rest == nil {
		r.finish(nil)
		until = time.Now().Add(writeTimeout)
	}
	defer r.finish(http.ErrAbortHandler) // does nothing after a finish below
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

// errorBody is the JSON form of an error answer.
type errorBody struct {
	Kind      errkind.Kind   `json:"kind"`
	Message   string         `json:"message"`
	DidRun    errkind.DidRun `json:"did_run"`
	RequestID string         `json:"request_id"`
}

// defaultRetryAfter is the hint on answers that may be tried again.
const defaultRetryAfter = time.Second

// errorReply turns err into the answer of its kind.
func (h *Handler) errorReply(c *call, err error) *reply {
	kind := errkind.Of(err)
	ref := dialect.Refusal{ID: c.id, Kind: kind, DidRun: c.didRun(kind)}
	if kind.Answer().Retry {
		ref.RetryAfter = max(retryAfter(err), c.earliestRetry(h.Now()))
	}
	body, _ := json.Marshal(errorBody{Kind: kind, Message: err.Error(), DidRun: ref.DidRun, RequestID: c.id})
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	if h.peer {
		describeRefusal(header, ref)
	}
	body = append(body, '\n')
	return &reply{status: h.Dialect.Refusal(header, ref), header: header, buffered: body, length: int64(len(body))}
}

// describeRefusal tells another entry about a refusal, whatever the dialect of
// the callers can express.
func describeRefusal(header http.Header, ref dialect.Refusal) {
	header.Set(headerKind, string(ref.Kind))
	if ref.DidRun == errkind.No {
		header.Set(headerNotRun, "true")
	}
	if ref.RetryAfter > 0 {
		header.Set(headerRetryAfter, dialect.FormatMilliseconds(ref.RetryAfter))
	}
}

// comeBackShare of the time that the caller still waits passes before it should
// come back: it has one more try, and what refused it lasts for a while. Callers
// wait for a third at most.
const retryAfterShare = 1.0 / 3

// comeBack returns when a caller of a route by host should try again at the
// earliest.
func (c *call) earliestRetry(now time.Time) time.Duration {
	if c.route == nil || c.route.Host == "" {
		return 0
	}
	return time.Duration(retryAfterShare * float64(max(c.timeLeft(now), 0)))
}

func retryAfter(err error) time.Duration {
	var pe *peerError
	if errors.As(err, &pe) && pe.retryAfter > 0 {
		return pe.retryAfter
	}
	if after, ok := dispatch.RetryAfter(err); ok {
		return after
	}
	return defaultRetryAfter
}
