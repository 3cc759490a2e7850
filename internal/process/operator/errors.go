package operator

import (
	"errors"
	"fmt"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Exit codes of fescuectl.
const (
	ExitOK          = 0
	ExitUsage       = 1 // invalid arguments, settings or local files
	ExitInvalid     = 2 // the document is invalid
	ExitConflict    = 3 // another change to the section was accepted first
	ExitNotInForce  = 4 // accepted, but not in force at all live instances within the limit
	ExitUnreachable = 5 // no server answered, so the outcome of a change may be unknown
	ExitRefused     = 6 // the server rejected the request or failed
)

// exitError is an error that determines the exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// errReported marks a failure that the output already describes.
var errReported = errors.New("reported in the output")

// exitErrorf returns an error with the exit code.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for the error that a command returned.
func exitCode(err error) int {
	var ee *exitError
	if err == nil {
		return ExitOK
	}
	if errors.As(err, &ee) {
		return ee.code
	}
	if s, ok := status.FromError(err); ok {
		return exitCodeForStatus(s.Code())
	}
	if errkind.Of(err) == errkind.Internal {
		return ExitRefused
	}
	return ExitUsage
}

// exitCodeForStatus returns the exit code for the gRPC status of a failed call.
func exitCodeForStatus(c codes.Code) int {
	switch c {
	case codes.InvalidArgument, codes.NotFound:
		return ExitInvalid
	case codes.Aborted:
		return ExitConflict
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return ExitUnreachable
	default:
		return ExitRefused
	}
}

// invalidDocumentError returns an error that lists the problems found by a
// validation.
func invalidDocumentError(problems []string) error {
	msg := fmt.Sprintf("%d problems in the document", len(problems))
	if len(problems) == 1 {
		msg = "1 problem in the document"
	}
	for _, p := range problems {
		msg += "\n" + p
	}
	return exitErrorf(ExitInvalid, "%s", msg)
}

// conflictError returns the error for a change that was based on revision
// expected while the section is at the revision in c.
func conflictError(team string, expected uint64, c *fescuepb.Conflict) error {
	return exitErrorf(ExitConflict, "section of team %q is at revision %d, not %d: changed by %q with change id %s; get it, repeat your edit and apply again",
		team, c.Revision, expected, c.Author, c.ChangeId)
}
