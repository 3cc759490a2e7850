package feed

import "github.com/fescuejunction/fescuejunction/internal/errkind"

// errStopped ends watches when the hub stops.
var errStopped = errkind.New(errkind.Stopping, "the source is stopping")

// errRoutesApart ends the watch of a follower that does not take routes apart from
// their section, at a source that has no other form of them.
var errRoutesApart = errkind.New(errkind.BadRequest, "the source has no whole sections; follow a control replica")
