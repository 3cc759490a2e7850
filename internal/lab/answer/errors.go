package answer

import "errors"

// The ways in which an answer can be wrong.
var (
	ErrCrossed   = errors.New("answer belongs to another request")
	ErrTruncated = errors.New("answer is truncated")
	ErrContent   = errors.New("answer has unexpected content")
)
