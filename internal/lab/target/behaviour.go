package target

// Behaviour holds the settings that POST /-/control changes at run time. A
// field that a control request leaves out keeps its value.
type Behaviour struct {
	SlowFactor float64 `json:"slow_factor"` // multiplies the service time
	Fail       bool    `json:"fail"`        // answer 500 after the work
	Hang       bool    `json:"hang"`        // never answer
	Truncation string  `json:"short"`       // "broken": close the connection before Content-Length is reached; "clean": send half of the body with a matching Content-Length; "": send the whole body
	Swap       bool    `json:"swap"`        // exchange the answers of two requests, including their identifiers
	Leaving    bool    `json:"leaving"`     // health answers "leaving"
	// AnnounceLeaving marks every answer to a request as that of a target that
	// leaves. Health goes on answering "ok".
	AnnounceLeaving bool `json:"announce_leaving"`
	// Pause turns every request away without running it, and is sent as the time in
	// milliseconds for which the target wants no requests. It may be any text, so that
	// bad values can be sent. Empty: requests are served.
	Pause       string  `json:"pause"`
	Down        bool    `json:"down"`         // health answers 503
	StopReports bool    `json:"stop_reports"` // probes of /-/load and /-/health get no answer
	ReportLagMs int64   `json:"report_lag_ms"`
	FalseReport *Report `json:"lie"` // answer to GET /-/load instead of the real state; null: report the real state
}

// leaves reports whether the target states in any way that it leaves.
func (b Behaviour) leaves() bool { return b.Leaving || b.AnnounceLeaving }

// controlRequest is the body of POST /-/control.
type controlRequest struct {
	Behaviour
	Cold        bool `json:"cold"`         // simulate a cold start: the cold-start penalty applies again
	MarkLeaving bool `json:"mark_leaving"` // only record in the journal that the target is leaving, for example because the document drains it
	MarkBack    bool `json:"mark_back"`    // only record in the journal that the target may get new requests again
}

// Values of Behaviour.Truncation.
const (
	truncationBroken = "broken"
	truncationClean  = "clean"
)

// faultName returns the name under which the journal records the fault that a
// request is subjected to, or "" if there is none.
func (b Behaviour) faultName() string {
	switch {
	case b.Hang:
		return "hang"
	case b.Fail:
		return "fail"
	case b.Truncation != "":
		return "short_" + b.Truncation
	case b.Swap:
		return "swap"
	}
	return ""
}

// Report is the answer to GET /-/load.
type Report struct {
	ID         string  `json:"id"`
	Status     string  `json:"status"` // ok, cold or leaving
	InProgress int     `json:"in_progress"`
	Slots      int     `json:"slots"`
	LatencyMs  float64 `json:"latency_ms"` // moving average of the service time
	Time       int64   `json:"time"`       // Unix time of the measurement, milliseconds
}
