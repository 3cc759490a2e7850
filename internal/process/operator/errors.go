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
	ExitUsage       = 1 // wrong arguments, settings or local files
	ExitInvalid     = 2 // the document is not valid
	ExitConflict    = 3 // another change came first
	ExitNotInForce  = 4 // accepted, but not in force everywhere in time
	ExitUnreachable = 5 // no server answered; the outcome may be unknown
	ExitRefused     = 6 // the server refused or failed
)

// exitError is an error with the exit code it leads to.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// errReported is the cause of an error that the output already contains.
var errReported = errors.New("reported in the output")

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for an error of a command.
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

// invalid returns the error for the findings of a validation.
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

func conflictError(team string, expected uint64, c *fescuepb.Conflict) error {
	return exitErrorf(ExitConflict, "section of team %q is at revision %d, not %d: changed by %q with change id %s; get it, repeat your edit and apply again",
		team, c.Revision, expected, c.Author, c.ChangeId)
}
