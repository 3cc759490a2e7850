package dialect

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Headers of the product's own interface.
const (
	HeaderService   = "Fescue-Service"
	HeaderShift     = "Fescue-Shift"
	HeaderDeadline  = "Fescue-Deadline-Ms"
	HeaderRequestID = "Fescue-Request-Id"
	HeaderNotRun    = "Fescue-Not-Run"
	HeaderKey       = "Idempotency-Key"
	HeaderInstance  = "Fescue-Instance"
	HeaderTarget    = "Fescue-Target"
	HeaderReplayed  = "Fescue-Replayed" // on stored answers: the request that ran
	HeaderKind      = "Fescue-Error-Kind"
)

// Own is the product's own interface.
type Own struct{}

// Request reads the head of a caller's request.
func (Own) Request(h http.Header) (Request, error) {
	r := Request{
		ID: h.Get(HeaderRequestID), Key: h.Get(HeaderKey), Shift: h.Get(HeaderShift), Service: h.Get(HeaderService),
	}
	text := h.Get(HeaderDeadline)
	if text == "" {
		return r, nil
	}
	wait, ok := Milliseconds(text)
	if !ok {
		return r, errkind.New(errkind.BadDeadline, "%s: %q is not a positive number of milliseconds", HeaderDeadline, text)
	}
	r.Wait = wait
	return r, nil
}

// maxMilliseconds keeps a deadline within a time.Duration.
const maxMilliseconds = int64(1<<63-1) / int64(time.Millisecond)

// Milliseconds reads a positive number of milliseconds.
func Milliseconds(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(min(ms, maxMilliseconds)) * time.Millisecond, true
}

// FormatMilliseconds writes the time left, at least 1 ms.
func FormatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

// Forward sets identifier and time left.
func (Own) Forward(h http.Header, f Forward) {
	h.Set(HeaderRequestID, f.ID)
	h.Set(HeaderDeadline, FormatMilliseconds(f.Left))
}

// Answer reads the head of a target's answer.
func (Own) Answer(status int, h http.Header) Answer {
	return Answer{
		ID:     h.Get(HeaderRequestID),
		NotRun: status == http.StatusServiceUnavailable && h.Get(HeaderNotRun) == "true",
	}
}

// Refusal sets the identifier and whether the request ran.
func (Own) Refusal(h http.Header, r Refusal) int {
	h.Set(HeaderRequestID, r.ID)
	h.Set(HeaderKind, string(r.Kind))
	if r.DidRun == errkind.No {
		h.Set(HeaderNotRun, "true")
	}
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(max(seconds, 1), 10))
	}
	return r.Kind.Answer().Status
}

// Name sets the headers that name instance, target and request.
func (Own) Name(h http.Header, instance, target, id string) {
	h.Set(HeaderInstance, instance)
	if target != "" {
		h.Set(HeaderTarget, target)
	}
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
}

// Reserved lists the headers that only entries set: an entry would take the
// answer of a target that sets them for the refusal of another entry.
func (Own) Reserved() []string { return []string{HeaderNotRun, HeaderReplayed, HeaderKind} }
