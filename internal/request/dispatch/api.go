// Package dispatch decides when and where the requests of one dispatch group
// run. A group is a service in a data centre. Group holds the decisions as a
// pure state machine: it does no I/O, takes no locks and reads no clock.
// Dispatcher makes a Group usable from many goroutines.
package dispatch

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// Settings are the rules of one dispatch group, from the steering document.
type Settings struct {
	Service          string
	DataCentre       string
	Slots            int           // upper bound of requests in flight per target; 0: only TargetInfo.Slots binds
	QueueLimit       int           // requests waiting; 0: the document's default
	LongSharePercent int           // share of the usable slots for long work; 0: the document's default
	Warmup           time.Duration // slow start of a cold target; 0: none
	LongestDeadline  time.Duration // deadlines further away are cut to this; 0: the document's default
	HedgePercent     int           // hedges as a percentage of requests; 0: never hedge
	HedgeMinDelay    time.Duration // lower bound of HedgeDelay; 0: the document's default
	// AvoidCold keeps a pool from sending to cold targets, for an entry that
	// dispatches it in place of another: the rate of a cold target is bounded for
	// all entries together.
	AvoidCold bool
}

func (s Settings) withDefaults() Settings {
	if s.QueueLimit <= 0 {
		s.QueueLimit = document.DefaultQueueLimit
	}
	if s.LongSharePercent <= 0 {
		s.LongSharePercent = document.DefaultLongShare
	}
	if s.LongestDeadline <= 0 {
		s.LongestDeadline = document.DefaultLongestDeadline
	}
	if s.HedgeMinDelay <= 0 {
		s.HedgeMinDelay = document.DefaultHedgeMinDelay
	}
	return s
}

// TargetState says whether a target takes new requests.
type TargetState int

// The target states. Only an Active target gets new requests.
const (
	Active TargetState = iota
	Leaving
	Down
)

// TargetInfo is what the entry knows about a target.
type TargetInfo struct {
	ID           string
	Addr         string
	DataCentre   string
	State        TargetState
	Slots        int       // slots this dispatcher may use now: its budget share
	ReportedLoad float64   // 0..1, below 0: unknown
	HealthySince time.Time // first seen healthy, for slow start; zero: warm
	// Incarnation differs for each start of the target; 0 if it is not known.
	Incarnation int64
	// ColdFor is how long the target is still cold, when it was first told of
	// with this incarnation. Until then it takes ColdRate requests a second.
	ColdRemaining time.Duration
	ColdRate      float64
	ColdDuration  time.Duration // how long a target is cold after it has become so
}

// Work describes a request that needs a slot.
type Work struct {
	Class    document.Class
	Route    string    // key for running-time estimates
	Deadline time.Time // zero: Settings.LongestDeadline from now
	// Objective is when the answer must be there to have its full value. A
	// request waits only while it can meet it. Zero: none, only the deadline
	// counts.
	Objective time.Time
	// AnySlot takes a slot although the answer will miss its objective.
	AnySlot        bool
	Object         string   // that the request is about; a target that handled it lately is faster
	FromDataCentre string   // data centre of the entry that asks
	NoQueue        bool     // refuse instead of waiting
	Priority       int      // 0 goes first
	Safe           bool     // may be hedged
	AtMostOnce     bool     // must run at most once
	Remote         bool     // sent by another data centre
	Exclude        []string // targets already tried
}

// Result is how a request ended at its target.
type Result int

// The results.
const (
	OK                Result = iota // a response came back
	Shed                            // the target rejected the request as not run
	Unreachable                     // nothing was sent
	Failed                          // the target failed or its response broke
	CancelledByCaller               // the caller went away, or a hedge won
	ServerError                     // the target answered with a status of 500 or above
)

// Outcome is what happened to a dispatched request.
type Outcome struct {
	Result    Result
	Latency   time.Duration // until the response was complete; 0: time since dispatch
	FirstByte time.Duration // until the first byte; 0: unknown
	Report    Report
}

// Report is what a target said about itself in its answer. The zero value says
// nothing.
type Report struct {
	Slots    int     // 0: there is no report
	Running  int     // requests on the slots
	Waiting  int     // requests in the target's own queue
	Slowness float64 // how long work takes at this moment, 1 is usual; 0: unknown
}

// Slots hands out slots on the targets of a group: a Dispatcher, or a link to
// one in another process.
type Slots interface {
	Acquire(ctx context.Context, w Work) (*Ticket, error)
	Load() Load
}

// Load summarises the group for lookups, spillover and rejections.
type Load struct {
	Queued       int
	InFlight     int
	FreeSlots    int
	ExpectedWait time.Duration // of a short request that arrives now
	Run          time.Duration // typical running time of short requests; 0: unknown
	Draining     bool          // takes no new requests: stopped, or every target is leaving
	// FailedPercent of the slots are at targets that are out since they failed.
	FailedPercent int
}
