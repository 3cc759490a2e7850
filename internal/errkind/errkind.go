// Package errkind defines the closed list of error kinds and maps each kind to
// the response that callers and operators see.
package errkind

import (
	"errors"
	"net/http"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
)

// Kind is one class of failure. Its value is sent to callers and operators.
type Kind string

// The closed list of error kinds.
const (
	BadRequest         Kind = "bad_request"
	UnknownService     Kind = "unknown_service"
	UnknownRoute       Kind = "unknown_route"
	MissingShift       Kind = "missing_shift"
	UnknownShift       Kind = "unknown_shift"
	BadDeadline        Kind = "bad_deadline"
	MissingKey         Kind = "missing_idempotency_key"
	BadKey             Kind = "bad_idempotency_key"
	KeyReused          Kind = "idempotency_key_reused"
	HeaderTooLarge     Kind = "header_too_large"
	BodyTooLarge       Kind = "body_too_large"
	SlowSender         Kind = "slow_sender"
	ShiftCapReached    Kind = "shift_cap_reached"
	QueueFull          Kind = "queue_full"
	DeadlineUnmeetable Kind = "deadline_unmeetable"
	DeadlineExceeded   Kind = "deadline_exceeded"
	NoTarget           Kind = "no_target"
	TargetShed         Kind = "target_shed"
	TargetUnreachable  Kind = "target_unreachable"
	TargetGone         Kind = "target_gone" // another process now answers at the target's address
	TargetFailed       Kind = "target_failed"
	RequestQuarantined Kind = "request_quarantined" // targets crashed while they ran such requests
	AnswerBroken       Kind = "answer_broken"
	AnswerMismatch     Kind = "answer_mismatch"
	OutcomeUnknown     Kind = "outcome_unknown"
	LedgerUnavailable  Kind = "ledger_unavailable" // the records of the idempotency key cannot be read at present
	LedgerNoBackup     Kind = "ledger_no_backup"   // the start of the request cannot be recorded at present
	LinkBudgetSpent    Kind = "link_budget_spent"
	HopLimit           Kind = "hop_limit"
	NotDispatcher      Kind = "not_dispatcher"
	NotReady           Kind = "not_ready"
	Stopping           Kind = "stopping"
	Cancelled          Kind = "cancelled"
	Conflict           Kind = "conflict"
	Unauthenticated    Kind = "unauthenticated"
	Forbidden          Kind = "forbidden"
	InvalidDocument    Kind = "invalid_document"
	InvalidSettings    Kind = "invalid_settings"
	NotFound           Kind = "not_found"
	NotLeader          Kind = "not_leader"
	NoQuorum           Kind = "no_quorum"
	StorageFailed      Kind = "storage_failed"
	CorruptLog         Kind = "corrupt_log"
	Timeout            Kind = "timeout"
	Internal           Kind = "internal"
)

// DidRun states whether the work of a request ran at a target.
type DidRun string

// The values of DidRun. Unknown means that the work may have run.
const (
	No      DidRun = "no"
	Unknown DidRun = "unknown"
	Yes     DidRun = "yes"
)

// Response describes the response that a caller or operator gets for a kind.
type Response struct {
	Status int        // HTTP status
	Code   codes.Code // gRPC status code
	DidRun DidRun
	Retry  bool // the response carries a Retry-After header
}

// statusClientClosedRequest is the non-standard but customary HTTP status for
// a caller that closed its connection before the response.
const statusClientClosedRequest = 499

// responses holds the response of each kind.
var responses = map[Kind]Response{
	BadRequest:         {http.StatusBadRequest, codes.InvalidArgument, No, false},
	UnknownService:     {http.StatusNotFound, codes.NotFound, No, false},
	UnknownRoute:       {http.StatusNotFound, codes.NotFound, No, false},
	MissingShift:       {http.StatusBadRequest, codes.InvalidArgument, No, false},
	UnknownShift:       {http.StatusForbidden, codes.PermissionDenied, No, false},
	BadDeadline:        {http.StatusBadRequest, codes.InvalidArgument, No, false},
	MissingKey:         {http.StatusBadRequest, codes.InvalidArgument, No, false},
	BadKey:             {http.StatusBadRequest, codes.InvalidArgument, No, false},
	KeyReused:          {http.StatusUnprocessableEntity, codes.InvalidArgument, No, false},
	HeaderTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, codes.InvalidArgument, No, false},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, codes.InvalidArgument, No, false},
	SlowSender:         {http.StatusRequestTimeout, codes.DeadlineExceeded, No, false},
	ShiftCapReached:    {http.StatusTooManyRequests, codes.ResourceExhausted, No, true},
	QueueFull:          {http.StatusServiceUnavailable, codes.ResourceExhausted, No, true},
	DeadlineUnmeetable: {http.StatusServiceUnavailable, codes.ResourceExhausted, No, true},
	DeadlineExceeded:   {http.StatusGatewayTimeout, codes.DeadlineExceeded, Unknown, false},
	NoTarget:           {http.StatusServiceUnavailable, codes.Unavailable, No, true},
	TargetShed:         {http.StatusServiceUnavailable, codes.Unavailable, No, true},
	TargetUnreachable:  {http.StatusBadGateway, codes.Unavailable, No, true},
	TargetGone:         {http.StatusServiceUnavailable, codes.Unavailable, No, true},
	TargetFailed:       {http.StatusBadGateway, codes.Unknown, Unknown, false},
	RequestQuarantined: {http.StatusServiceUnavailable, codes.Unavailable, No, true},
	AnswerBroken:       {http.StatusBadGateway, codes.DataLoss, Unknown, false},
	AnswerMismatch:     {http.StatusBadGateway, codes.DataLoss, Unknown, false},
	OutcomeUnknown:     {http.StatusConflict, codes.Aborted, Unknown, false},
	LedgerUnavailable:  {http.StatusServiceUnavailable, codes.Unavailable, Unknown, true},
	LedgerNoBackup:     {http.StatusServiceUnavailable, codes.Unavailable, No, true},
	LinkBudgetSpent:    {http.StatusServiceUnavailable, codes.ResourceExhausted, No, true},
	HopLimit:           {http.StatusServiceUnavailable, codes.Unavailable, No, true},
	NotDispatcher:      {http.StatusServiceUnavailable, codes.Unavailable, No, true},
	NotReady:           {http.StatusServiceUnavailable, codes.Unavailable, No, true},
	Stopping:           {http.StatusServiceUnavailable, codes.Unavailable, No, true},
	Cancelled:          {statusClientClosedRequest, codes.Canceled, Unknown, false},
	Conflict:           {http.StatusConflict, codes.Aborted, No, false},
	Unauthenticated:    {http.StatusUnauthorized, codes.Unauthenticated, No, false},
	Forbidden:          {http.StatusForbidden, codes.PermissionDenied, No, false},
	InvalidDocument:    {http.StatusUnprocessableEntity, codes.InvalidArgument, No, false},
	InvalidSettings:    {http.StatusUnprocessableEntity, codes.InvalidArgument, No, false},
	NotFound:           {http.StatusNotFound, codes.NotFound, No, false},
	NotLeader:          {http.StatusServiceUnavailable, codes.Unavailable, No, true},
	NoQuorum:           {http.StatusServiceUnavailable, codes.Unavailable, Unknown, true},
	StorageFailed:      {http.StatusInternalServerError, codes.Internal, Unknown, false},
	CorruptLog:         {http.StatusInternalServerError, codes.DataLoss, Unknown, false},
	Timeout:            {http.StatusGatewayTimeout, codes.DeadlineExceeded, Unknown, false},
	Internal:           {http.StatusInternalServerError, codes.Internal, Unknown, false},
}

// Kinds returns every kind of the closed list, in no particular order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(responses))
	for k := range responses {
		out = append(out, k)
	}
	return out
}

// Response returns the response for k. A kind that is not in the list gets the
// response of Internal.
func (k Kind) Response() Response {
	if a, ok := responses[k]; ok {
		return a
	}
	return responses[Internal]
}

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) error {
	return oops.Code(string(k)).Errorf(format, args...)
}

// Wrap adds kind k and a formatted message to err.
func Wrap(k Kind, err error, format string, args ...any) error {
	return oops.Code(string(k)).Wrapf(err, format, args...)
}

// Of returns the kind of the innermost error in the chain of err that has one.
// It returns Internal if there is none or if the kind is not in the list.
func Of(err error) Kind {
	var oopsErr oops.OopsError
	if !errors.As(err, &oopsErr) {
		return Internal
	}
	code, ok := oopsErr.Code().(string)
	if !ok {
		return Internal
	}
	if _, known := responses[Kind(code)]; !known {
		return Internal
	}
	return Kind(code)
}
