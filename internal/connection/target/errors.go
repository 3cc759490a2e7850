package target

import "errors"

// errProbeServerError is the result of a probe that got a status of 500 or
// above.
var errProbeServerError = errors.New("the target answered the probe with a server error")
