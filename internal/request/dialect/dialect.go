// Package dialect translates between HTTP headers and the values that entries
// exchange with callers and targets: identifiers, deadlines, idempotency keys,
// load reports and refusals. The header names that callers and targets use are
// declared with the implementations of Dialect.
package dialect

import (
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Dialect reads and sets the headers of requests and answers. Implementations
// keep no state.
type Dialect interface {
	// Request parses the header of a caller's request. An error has kind
	// BadDeadline; all fields of the result but Timeout are set nevertheless.
	Request(h http.Header) (Request, error)
	// Forward sets the headers that a target gets with a request.
	Forward(h http.Header, f Forward)
	// Answer parses the status and the header of a target's answer.
	Answer(status int, h http.Header) Answer
	// Refusal sets the headers of an error answer that the entry generates
	// and returns the HTTP status of that answer.
	Refusal(h http.Header, r Refusal) (status int)
	// SetOrigin sets the headers that name the instance and the target that
	// answered a request, and the identifier of the request. An empty target
	// or id is left out.
	SetOrigin(h http.Header, instance, target, id string)
	// ReservedHeaders lists the headers that only entries may set. They are
	// removed from the answers of targets.
	ReservedHeaders() []string
}

// Request holds what the header of a caller's request states.
type Request struct {
	ID       string        // identifier of this attempt, as the caller wrote it
	Timeout  time.Duration // how long the caller waits for the answer; 0 if it is not stated
	Key      string        // idempotency key
	Shift    string
	Service  string // service that the caller names; "" if the path or the host selects it
	Affinity string // key of the object that the request is about
}

// Forward holds what a target is told about a request.
type Forward struct {
	ID       string
	TimeLeft time.Duration // time left until the caller's deadline
	Target   string        // the only target that may run the request
}

// Answer holds what the header of a target's answer states.
type Answer struct {
	ID     string // identifier of the request that it answers; "" if it is not stated
	NotRun bool   // the target states that it did not run the request
	// OtherTarget reports that the request reached a target other than the
	// one it was meant for.
	OtherTarget bool
	// MissingMark reports that the answer lacks the header by which targets
	// mark the answers that they produce themselves.
	MissingMark bool
	Load        *Load // nil if the target reports none
	// Leaving reports that the target announces that it leaves: it is about to
	// stop and wants no further requests.
	Leaving bool
	// Pause is how long the target wants no requests from this entry. Only a
	// 503 states one.
	Pause Pause
}

// Load is the load that a target reports with an answer.
type Load struct {
	Running int // requests that the target is running
	Waiting int // requests in the target's own queue
	Slots   int // requests that the target can run at the same time
	// Slowness is the current running time of work on the target's machine
	// relative to its usual running time, which is 1. It is 0 if the target
	// does not report it.
	Slowness float64
}

// Refusal is an error answer that an entry generates itself.
type Refusal struct {
	ID         string
	Kind       errkind.Kind
	DidRun     errkind.DidRun
	RetryAfter time.Duration // earliest time for another attempt; 0 if there is no hint
}
