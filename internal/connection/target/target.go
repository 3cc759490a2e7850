// Package target tracks the targets of one data centre and sends HTTP requests
// to them. It reads the platform's list of instances and probes the health and
// load of the targets; package membership merges both into a state for each
// target.
package target

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/membership"
)

// Status is the state of a target, derived from the platform's list and from
// health probes.
type Status int

// Statuses of a target.
const (
	Healthy Status = iota
	Leaving        // takes no new requests; permanent for the life of its process
	Down           // listed, but does not answer probes
)

// String returns the name of the status as it appears in logs.
func (s Status) String() string {
	switch s {
	case Healthy:
		return "healthy"
	case Leaving:
		return "leaving"
	}
	return "down"
}

// statusOf returns the status of an instance whose state is not Gone.
func statusOf(s membership.State) Status {
	switch s {
	case membership.Live:
		return Healthy
	case membership.Leaving:
		return Leaving
	}
	return Down
}

// Target is one target of this data centre.
type Target struct {
	ID           string
	Service      string
	Addr         string
	Incarnation  int64 // differs for each process at the address
	Slots        int   // requests that the target can run at the same time; 0 if not stated
	Status       Status
	ReportedLoad float64   // fraction of the slots in use, 0 to 1; negative if unknown
	HealthySince time.Time // when the current process became healthy; zero before its first successful probe
}

// unknownLoad is the ReportedLoad of a target without a recent load report.
const unknownLoad = -1
