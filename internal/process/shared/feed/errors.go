package feed

import "github.com/fescuejunction/fescuejunction/internal/errkind"

var errStopped = errkind.New(errkind.Stopping, "the source is stopping")
