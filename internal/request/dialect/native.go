package dialect

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Headers of the native interface.
const (
	HeaderService   = "Fescue-Service"
	HeaderShift     = "Fescue-Shift"
	HeaderDeadline  = "Fescue-Deadline-Ms"
	HeaderRequestID = "Fescue-Request-Id"
	HeaderNotRun    = "Fescue-Not-Run"
	HeaderKey       = "Idempotency-Key"
	HeaderInstance  = "Fescue-Instance"
	HeaderTarget    = "Fescue-Target"
	HeaderReplayed  = "Fescue-Replayed" // on stored answers: identifier of the request that ran
	HeaderKind      = "Fescue-Error-Kind"
	HeaderLeaving   = "Fescue-Leaving"  // "true" on the answers of a target that leaves
	HeaderPause     = "Fescue-Pause-Ms" // on a target's 503: how long it wants no requests from this entry
)

// Native is the dialect of callers and targets that use the product's own
// headers.
type Native struct{}

// Request parses the header of a caller's request. The error has kind
// BadDeadline.
func (Native) Request(h http.Header) (Request, error) {
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
	r.Timeout = wait
	return r, nil
}

// maxMilliseconds is the longest time in milliseconds that a time.Duration can
// hold.
const maxMilliseconds = int64(1<<63-1) / int64(time.Millisecond)

// Milliseconds parses a positive decimal number of milliseconds. Numbers above
// maxMilliseconds are reduced to it. The second result is false for any other
// text.
func Milliseconds(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(min(ms, maxMilliseconds)) * time.Millisecond, true
}

// FormatMilliseconds formats d in whole milliseconds, at least 1: a receiver
// would refuse 0 as a bad deadline.
func FormatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

// Forward sets the request identifier and the time left until the deadline.
func (Native) Forward(h http.Header, f Forward) {
	h.Set(HeaderRequestID, f.ID)
	h.Set(HeaderDeadline, FormatMilliseconds(f.TimeLeft))
}

// Answer parses the identifier of a target's answer, the not-run statement and
// what the target announces.
func (Native) Answer(status int, h http.Header) Answer {
	a := Answer{
		ID:      h.Get(HeaderRequestID),
		NotRun:  status == http.StatusServiceUnavailable && h.Get(HeaderNotRun) == "true",
		Leaving: slices.Contains(h[HeaderLeaving], "true"),
	}
	if status == http.StatusServiceUnavailable {
		a.Pause = ParsePause(h[HeaderPause], time.Millisecond)
	}
	return a
}

// Refusal sets the request identifier, the error kind, whether the request
// provably did not run, and the Retry-After hint in seconds, rounded up.
func (Native) Refusal(h http.Header, r Refusal) int {
	h.Set(HeaderRequestID, r.ID)
	h.Set(HeaderKind, string(r.Kind))
	if r.DidRun == errkind.No {
		h.Set(HeaderNotRun, "true")
	}
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(max(seconds, 1), 10))
	}
	return r.Kind.Response().Status
}

// SetOrigin sets the headers that name the instance, the target and the
// request. An empty target or id is left out.
func (Native) SetOrigin(h http.Header, instance, target, id string) {
	h.Set(HeaderInstance, instance)
	if target != "" {
		h.Set(HeaderTarget, target)
	}
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
}

// ReservedHeaders lists the headers that only entries may set. If a target's
// answer kept them, an entry would mistake it for the refusal of another entry.
func (Native) ReservedHeaders() []string { return []string{HeaderNotRun, HeaderReplayed, HeaderKind} }
