package feed

import "github.com/fescuejunction/fescuejunction/internal/errkind"

// errStopped ends watches when the hub stops.
var errStopped = errkind.New(errkind.Stopping, "the source is stopping")
