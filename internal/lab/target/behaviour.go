package target

// Behaviour is what POST /-/control changes at run time. A field that a
// control request leaves out keeps its value.
type Behaviour struct {
	SlowFactor  float64 `json:"slow_factor"`  // multiplies the service time
	Fail        bool    `json:"fail"`         // answer 500 after the work
	Hang        bool    `json:"hang"`         // never answer
	Short       string  `json:"short"`        // "broken": end before the promised length; "clean": a shorter length, cleanly ended; "": whole
	Swap        bool    `json:"swap"`         // exchange the answers of two requests, identifier included
	Leaving     bool    `json:"leaving"`      // health answers "leaving"
	Down        bool    `json:"down"`         // health answers 503
	StopReports bool    `json:"stop_reports"` // /-/load and /-/health hang
	LagMs       int64   `json:"report_lag_ms"`
	Lie         *Report `json:"lie"` // what /-/load answers instead of the truth; null: the truth
}

// control is the body of POST /-/control.
type control struct {
	Behaviour
	Cold        bool `json:"cold"`         // restart cold: the penalty applies again
	MarkLeaving bool `json:"mark_leaving"` // only note in the journal that the target leaves, for example by a drain in the document
	MarkBack    bool `json:"mark_back"`    // only note that it may get new requests again
}

// Names of the ways to cut an answer short.
const (
	shortBroken = "broken"
	shortClean  = "clean"
)

// faultName names the fault that a request meets, for the journal.
func (b Behaviour) faultName() string {
	switch {
	case b.Hang:
		return "hang"
	case b.Fail:
		return "fail"
	case b.Short != "":
		return "short_" + b.Short
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
