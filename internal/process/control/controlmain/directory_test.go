package controlmain

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Guards against look-ups that are answered, after a restart, with entries that have left
// meanwhile, and against a replica that is cut off and never answers.
func TestDirectoryWaitsForAConfirmedState(t *testing.T) {
	start := time.Unix(1000, 0)
	now, confirmed, old := start, false, &snapshot.Snapshot{Version: 7}
	view := func() *directoryView {
		return &directoryView{
			current: func() *snapshot.Snapshot { return old }, confirmed: func() bool { return confirmed }, now: func() time.Time { return now }, startedAt: start,
		}
	}
	v := view()
	if v.snapshot() != nil {
		t.Error("a look-up was answered from the state of the disk")
	}
	confirmed = true
	if v.snapshot() != old {
		t.Error("a look-up was refused although a quorum has confirmed the state")
	}
	confirmed = false
	if v.snapshot() != old {
		t.Error("a look-up was refused after the state was confirmed once")
	}
	cutOff := view()
	now = start.Add(unconfirmedTimeout - time.Millisecond)
	if cutOff.snapshot() != nil {
		t.Error("a look-up was answered before a quorum had the time to confirm the state")
	}
	now = start.Add(unconfirmedTimeout)
	if cutOff.snapshot() != old {
		t.Error("a replica that is cut off refuses look-ups")
	}
}
