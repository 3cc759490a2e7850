package target

import "errors"

// errProbeServerError is the result of a probe that got a status of 500 or
// above.
var errProbeServerError = errors.New("the target answered the probe with a server error")

// errHeadTooLong is the result of a request whose response head, with the interim
// responses before it, is longer than maxHeadBytes or has more than maxHeadLines.
var errHeadTooLong = errors.New("the target sent a response head that is too long")
