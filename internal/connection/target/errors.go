package target

import "errors"

var errBadProbe = errors.New("the probe was answered with a server error")
