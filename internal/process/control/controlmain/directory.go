package controlmain

import (
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// unconfirmedTimeout is how long after its start a replica waits for a quorum to confirm
// its state before it answers look-ups from it. It covers three heartbeats of a leader. A
// replica that is cut off, or started together with all others, answers afterwards: its
// callers reach no better one.
const unconfirmedTimeout = 750 * time.Millisecond

// directoryView gives look-ups the newest committed version. What a replica has on its disk
// when it starts may name entries that have left since.
type directoryView struct {
	current   func() *snapshot.Snapshot
	confirmed func() bool // a quorum has confirmed the state since the start
	now       func() time.Time
	startedAt time.Time
	usable    atomic.Bool
}

func newDirectoryView(p *process) *directoryView {
	v := &directoryView{current: p.leadership.Snapshot, now: steady.Now, startedAt: steady.Now()}
	v.confirmed = func() bool { return p.server.ConfirmedWithin(steady.Since(v.startedAt)) }
	return v
}

// snapshot returns the newest committed version, or nil if there is none that may be used.
func (v *directoryView) snapshot() *snapshot.Snapshot {
	if !v.usable.Load() {
		if !v.confirmed() && v.now().Sub(v.startedAt) < unconfirmedTimeout {
			return nil
		}
		v.usable.Store(true)
	}
	return v.current()
}
