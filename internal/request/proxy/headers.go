package proxy

import "github.com/fescuejunction/fescuejunction/internal/request/dialect"

// Headers between entries. Those of the first group are set on a forwarded
// request, those of the second group on its answer.
const (
	headerForwardedBy = "Fescue-Forwarded-By"
	headerHops        = "Fescue-Hops"
	headerRemote      = "Fescue-Remote"
	headerRecorded    = "Fescue-Recorded"
	headerID          = "Fescue-Forwarded-Id"
	headerForward     = "Fescue-Forward" // identifier of this one forward; the answer repeats it
	headerLeft        = "Fescue-Forwarded-Left-Ms"
	headerService     = "Fescue-Forwarded-Service"
	headerHostRoute   = "Fescue-Forwarded-Host-Route" // set if the forwarding instance has selected a host route
	headerVersion     = "Fescue-Forwarded-Version"
	headerRoute       = "Fescue-Forwarded-Route"        // what that version says of the route; see forwardedRoute
	headerObjective   = "Fescue-Forwarded-Objective-Ms" // time left for the latency objective; 0 if it is missed
	headerSends       = "Fescue-Forwarded-Sends"        // sends to targets so far; the answer has this header too

	headerQueued     = "Fescue-Queued"
	headerFree       = "Fescue-Free-Slots"
	headerWait       = "Fescue-Expected-Wait-Ms"
	headerKind       = dialect.HeaderKind
	headerNotRun     = "Fescue-Provably-Not-Run"
	headerRetryAfter = "Fescue-Retry-After-Ms"
	headerRunsOnce   = "Fescue-Runs-Once"  // the answering entry must not repeat the request; see call.repeatable
	headerHandled    = "Fescue-Handled-Us" // time that the forwarded request spent at the answering entry
)

// internalHeaders are set by entries that forward a request. They are accepted
// on the listener for other entries only, and removed from callers' requests.
var internalHeaders = []string{
	headerForwardedBy, headerHops, headerRemote, headerRecorded, headerID, headerForward, headerLeft, headerService, headerHostRoute, headerVersion, headerRoute,
	headerObjective, headerSends,
}
