// Package dialect is how callers and targets write what the system reads and
// sets in the heads of requests and answers. Header names stay inside it.
package dialect

import (
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Dialect translates the heads of requests and answers. Its methods hold no
// state.
type Dialect interface {
	// Request reads the head of a caller's request. The error has kind
	// BadDeadline.
	Request(h http.Header) (Request, error)
	// Forward sets in h what another instance or a target is told about a
	// request that is passed on.
	Forward(h http.Header, f Forward)
	// Answer reads the head of a target's answer.
	Answer(status int, h http.Header) Answer
	// Refusal sets the head of an answer of the system's own and returns its
	// status.
	Refusal(h http.Header, r Refusal) (status int)
	// Name sets in h which instance and target answered a request.
	Name(h http.Header, instance, target, id string)
	// Reserved lists the headers that only the system sets; they are removed
	// from the answers of targets.
	Reserved() []string
}

// Request is what a caller says in the head of its request.
type Request struct {
	ID       string        // of this attempt, as the caller wrote it
	Wait     time.Duration // how long the caller waits; 0 if it does not say
	Key      string        // idempotency key
	Shift    string
	Service  string // that the caller names; "" if the path or host does
	Affinity string // object that the request is about
}

// Forward is what a target or another instance is told.
type Forward struct {
	ID     string
	Left   time.Duration // until the caller's deadline
	Target string        // only this target may run the request; "" for instances
}

// Answer is what a target says in the head of its answer.
type Answer struct {
	ID     string // of the request that it answers; "" if it names none
	NotRun bool   // the target states that it did not run the request
	// OtherTarget is the target that answered if it is not the one asked for.
	OtherTarget bool
	// Unproved is set on an answer that lacks the mark that targets put on
	// what they produce.
	Unproved bool
	Load     *Load // nil if it reports none
}

// Load is a target's report of its own load at the moment of an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes on its machine at this moment, 1 being
	// usual; 0 if it does not say.
	Slowness float64
}

// Refusal is an answer of the system's own.
type Refusal struct {
	ID         string
	Kind       errkind.Kind
	DidRun     errkind.DidRun
	RetryAfter time.Duration // 0: no hint
}
