package controlmain

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/process/control/replica"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// unconfirmedTimeout is how long after its start a replica waits for a quorum to confirm
// its state before it answers look-ups from it. It covers three heartbeats of a leader. A
// replica that is cut off, or started together with all others, answers afterwards: its
// callers reach no better one.
const unconfirmedTimeout = 750 * time.Millisecond

const (
	// maxLookupWait is how long a look-up waits for a state that may be used. Callers allow
	// one second, of which a new connection and the answer take up to 220 ms from another
	// region.
	maxLookupWait = 500 * time.Millisecond
	// lookupWaitInterval is how often a look-up that waits checks the state.
	lookupWaitInterval = 10 * time.Millisecond
)

// RefusalReason is why a look-up is refused. Metrics and logs use it.
type RefusalReason string

// The reasons to refuse a look-up.
const (
	RefusalUnconfirmed RefusalReason = "unconfirmed" // no quorum has confirmed the state since the start
	RefusalNoVersion   RefusalReason = "no_version"  // the replica has no committed version
	RefusalNoEntry     RefusalReason = "no_entry"    // the version names no entry
)

// DirectoryState is what a replica answers look-ups from. The other fields explain a refusal.
type DirectoryState struct {
	Snapshot  *snapshot.Snapshot // newest committed version; nil if it may not be used
	Refusal   RefusalReason      // applies if no entry is found
	Running   time.Duration      // since the start of the replica
	Confirmed bool               // a quorum has confirmed the state since the start
	Replica   replica.Status
}

// directoryView gives look-ups the newest committed version. What a replica has on its disk
// when it starts may name entries that have left since.
type directoryView struct {
	current   func() *snapshot.Snapshot
	confirmed func() bool // a quorum has confirmed the state since the start
	status    func() replica.Status
	now       func() time.Time
	sleep     func(time.Duration)
	startedAt time.Time
	usable    atomic.Bool
}

func newDirectoryView(p *process) *directoryView {
	v := &directoryView{current: p.leadership.Snapshot, status: p.replica.Status, now: steady.Now, sleep: time.Sleep, startedAt: steady.Now()}
	v.confirmed = func() bool { return p.server.ConfirmedWithin(steady.Since(v.startedAt)) }
	return v
}

// state returns the newest committed version, if there is one that may be used. Shortly after
// a start it waits up to maxLookupWait for it, or until ctx ends: after a restart of all
// replicas the caller would be refused by the next ones too.
func (v *directoryView) state(ctx context.Context) DirectoryState {
	for end := v.now().Add(maxLookupWait); ; {
		s := v.stateNow()
		if s.Refusal != RefusalUnconfirmed || ctx.Err() != nil || !v.now().Before(end) {
			return s
		}
		v.sleep(lookupWaitInterval)
	}
}

// stateNow returns the same as state without waiting.
func (v *directoryView) stateNow() DirectoryState {
	s := DirectoryState{Running: v.now().Sub(v.startedAt), Confirmed: v.confirmed(), Replica: v.status()}
	if !v.usable.Load() && (s.Confirmed || s.Running >= unconfirmedTimeout) {
		v.usable.Store(true)
	}
	snap := v.current()
	switch {
	case !v.usable.Load():
		s.Refusal = RefusalUnconfirmed
	case snap == nil || snap.Version == 0: // version 0 stands for the time before the first one
		s.Refusal = RefusalNoVersion
	default:
		s.Snapshot, s.Refusal = snap, RefusalNoEntry
	}
	return s
}
