// Package target follows the targets of one data centre. It reads the
// platform's list and probes the targets; package membership decides what
// they mean.
package target

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/membership"
)

// Status is how a target is, from the list, its own health answer and
// probes.
type Status int

// The statuses.
const (
	Healthy Status = iota
	Leaving        // takes no new requests; sticky for the process
	Down           // listed, but does not answer probes
)

// String names a status in logs.
func (s Status) String() string {
	switch s {
	case Healthy:
		return "healthy"
	case Leaving:
		return "leaving"
	}
	return "down"
}

// statusOf returns the status of an instance that is not gone.
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
	Slots        int // offered by the target, 0 if not stated
	Status       Status
	ReportedLoad float64   // 0 to 1; below 0: unknown
	HealthySince time.Time // of the process that answers now; zero before its first answer
}

// unknownLoad is the ReportedLoad without a usable report.
const unknownLoad = -1
