package target

import (
	"errors"
	"strings"
)

// errProbeServerError is the result of a probe that got a status of 500 or
// above.
var errProbeServerError = errors.New("the target answered the probe with a server error")

// errProbeTooLong is the result of a probe whose response has more than maxProbeBytes.
var errProbeTooLong = errors.New("the target answered the probe with too long a body")

// errHeadTooLong is the result of a request whose response head, with the interim
// responses before it, is longer than maxHeadBytes or has more than maxHeadLines.
var errHeadTooLong = errors.New("the target sent a response head that is too long")

// maxHeadErrorBytes limits the text of an error in a response head, in bytes. An
// operator recognises a faulty target by the first bytes that it sent.
const maxHeadErrorBytes = 256

// shortError returns err, or the beginning of its text if that is long. The parser
// quotes a malformed line in full, and the text goes into the log and into the answer
// to the caller.
func shortError(err error) error {
	text := err.Error()
	if len(text) <= maxHeadErrorBytes {
		return err
	}
	return errors.New(strings.ToValidUTF8(text[:maxHeadErrorBytes], "") + "...")
}
