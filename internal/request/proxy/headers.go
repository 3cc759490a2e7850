package proxy

import "github.com/fescuejunction/fescuejunction/internal/request/dialect"

// Headers between entries. The first ones go with a forwarded request, the
// others with its answer.
const (
	headerForwardedBy = "Fescue-Forwarded-By"
	headerHops        = "Fescue-Hops"
	headerRemote      = "Fescue-Remote"
	headerRecorded    = "Fescue-Recorded"
	headerID          = "Fescue-Forwarded-Id"
	headerLeft        = "Fescue-Forwarded-Left-Ms"
	headerService     = "Fescue-Forwarded-Service"
	headerVersion     = "Fescue-Forwarded-Version"
	headerObjective   = "Fescue-Forwarded-Objective-Ms" // left; 0 if it is missed
	headerSends       = "Fescue-Forwarded-Sends"        // to targets so far; the answer has it too

	headerQueued     = "Fescue-Queued"
	headerFree       = "Fescue-Free-Slots"
	headerWait       = "Fescue-Expected-Wait-Ms"
	headerKind       = dialect.HeaderKind
	headerNotRun     = "Fescue-Provably-Not-Run"
	headerRetryAfter = "Fescue-Retry-After-Ms"
	headerHandled    = "Fescue-Handled-Us" // time that the request spent at the other entry
)

// internalHeaders are accepted on the peer listener only.
var internalHeaders = []string{
	headerForwardedBy, headerHops, headerRemote, headerRecorded, headerID, headerLeft, headerService, headerVersion,
	headerObjective, headerSends,
}
