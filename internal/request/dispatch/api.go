// Package dispatch decides when requests run and on which targets.
//
// Group schedules the requests of a dispatch group, which is a service in a
// data centre, and enforces a hard limit of slots per target. Pool schedules
// the requests of a service in a region whose targets enforce their slots
// themselves. Both are pure state machines: they do no I/O, take no locks and
// read no clock. Dispatcher makes either of them safe for concurrent use.
package dispatch

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// Settings configures a Group or a Pool. The values come from the steering
// document.
type Settings struct {
	Service          string
	DataCentre       string
	Slots            int           // upper bound of requests in flight per target; 0: only TargetInfo.Slots limits them
	QueueLimit       int           // maximum number of queued requests; 0: the document's default
	LongSharePercent int           // percentage of the usable slots that long work may hold; 0: the document's default
	Warmup           time.Duration // duration of the slow start of a target that became healthy; 0: no slow start
	LongestDeadline  time.Duration // later deadlines are shortened to this much from now; 0: the document's default
	HedgePercent     int           // maximum hedges as a percentage of requests; 0: never hedge
	HedgeMinDelay    time.Duration // lower bound of HedgeDelay; 0: the document's default
	// Substitute is set while an entry dispatches the pool in place of another entry,
	// whose requests it does not know. It sends nothing to cold targets, because their
	// rate limit holds for all entries together. It does not take timeouts for failures
	// of a target, because the requests of others may keep the target busy.
	Substitute bool
	// Shared counts the requests in flight together with those of the other pools of the
	// process. It must not change. Nil if no other pool has the same targets.
	Shared *SharedUse
}

func (s Settings) withDefaults() Settings {
	if s.QueueLimit <= 0 {
		s.QueueLimit = document.DefaultQueueLimit
	}
	if s.LongSharePercent <= 0 {
		s.LongSharePercent = document.DefaultLongSharePercent
	}
	if s.LongestDeadline <= 0 {
		s.LongestDeadline = document.DefaultLongestDeadline
	}
	if s.HedgeMinDelay <= 0 {
		s.HedgeMinDelay = document.DefaultHedgeMinDelay
	}
	return s
}

// TargetState tells whether a target accepts new requests.
type TargetState int

// The states of a target. Only an Active target gets new requests.
const (
	Active TargetState = iota
	Leaving
	Down
)

// TargetInfo describes a target as the entry knows it.
type TargetInfo struct {
	ID           string
	Addr         string
	DataCentre   string
	State        TargetState
	Slots        int       // slots that this dispatcher may use now, which is its share of the target's budget
	ReportedLoad float64   // 0 to 1; negative: unknown
	HealthySince time.Time // when the target was first seen healthy, for the slow start; zero: no slow start
	// Incarnation identifies one start of the target; 0 if it is unknown.
	Incarnation int64
	// ColdRemaining is how much longer the target is cold, counted from when the
	// dispatcher first receives this value for this incarnation. A cold target
	// tolerates ColdRate requests per second.
	ColdRemaining time.Duration
	ColdRate      float64
	ColdDuration  time.Duration // how long a target stays cold once it has become cold
}

// Work describes a request that needs a slot. Objective, AnySlot, Object,
// FromDataCentre, NoQueue and Priority affect only a Pool; Class, AtMostOnce,
// Safe and Remote affect only a Group.
type Work struct {
	Class    document.Class
	Route    string    // key of the running-time estimates
	Deadline time.Time // zero: Settings.LongestDeadline from now
	// Objective is the time by which the answer must arrive to have its full
	// value (the latency objective). A Pool queues a request only while it is
	// expected to meet its objective. Zero: only the deadline counts.
	Objective time.Time
	// AnySlot asks for a free slot although the answer will miss its objective.
	// The request is refused instead of queued if no slot is free.
	AnySlot        bool
	Object         string   // object that the request is about; a target that handled it recently answers faster
	FromDataCentre string   // data centre of the entry that asks for the slot
	NoQueue        bool     // refuse instead of waiting
	Priority       int      // lower values go first; 0 is the most urgent
	Safe           bool     // has no side effects, so it may be hedged
	AtMostOnce     bool     // must run at most once
	Remote         bool     // sent by another data centre
	Exclude        []string // targets already tried
	Pauses         []Pause  // targets that want no requests from the entry that asks for the slot
}

// Result tells how a request ended at its target. Entries exchange the numeric
// values, so their order must not change.
type Result int

// The results.
const (
	OK                Result = iota // a response came back
	Shed                            // the target rejected the request without running it
	Unreachable                     // the target could not be reached; nothing was sent
	Failed                          // the target failed, or its response broke off
	CancelledByCaller               // the caller disconnected, or the other request of a hedged pair answered first
	ServerError                     // the target answered with a status of 500 or above
	TimedOut                        // the deadline passed before the target had answered
	Pausing                         // the target answered that it wants no requests from the entry for a while
	NotUsed                         // nothing was sent: the entry knows that the target leaves or pauses
	Overran                         // the target answered that the deadline passed while it ran the request
)

// String returns the name of a result in log lines.
func (r Result) String() string {
	names := [...]string{"ok", "shed", "unreachable", "failed", "cancelled", "server error", "timed out", "pausing", "not used", "overran"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Outcome describes the end of a dispatched request.
type Outcome struct {
	Result    Result
	Latency   time.Duration // from dispatch to the complete response; 0: the time since dispatch is used
	FirstByte time.Duration // from dispatch to the first byte; 0: unknown
	Report    Report
	Leaving   bool // the target has announced to the entry that it leaves
}

// Report is the load that a target reported in its answer. The zero value means
// that there was no report.
type Report struct {
	Slots    int     // 0: there was no report
	Running  int     // requests that occupy slots
	Waiting  int     // requests in the target's own queue
	Slowness float64 // current running time relative to the usual one, which is 1; 0: unknown
}

// Slots hands out slots on targets. A Dispatcher implements it, and so does a
// connection to a dispatcher in another process.
type Slots interface {
	Acquire(ctx context.Context, w Work) (*Ticket, error)
	Load() Load
}

// Load summarises the load of a dispatcher for look-ups, spillover and refusals.
type Load struct {
	Queued       int
	InFlight     int
	FreeSlots    int
	ExpectedWait time.Duration // queueing time of a short request that arrives now
	Run          time.Duration // typical running time of short requests; 0: unknown
	Draining     bool          // takes no new requests: it is stopped, or its targets are leaving
	// FailedPercent is the percentage of the slots that belong to targets which
	// failed and are in back-off, or were recently and have not answered since.
	// Targets that are only silent do not count for a substitute.
	FailedPercent int
	// Leaving holds the listed targets that have announced that they leave.
	Leaving []Process
}
