package controlmain

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/process/control/replica"
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
			status: func() replica.Status { return replica.Status{} },
		}
	}
	v := view()
	if v.state().Snapshot != nil {
		t.Error("a look-up was answered from the state of the disk")
	}
	confirmed = true
	if v.state().Snapshot != old {
		t.Error("a look-up was refused although a quorum has confirmed the state")
	}
	confirmed = false
	if v.state().Snapshot != old {
		t.Error("a look-up was refused after the state was confirmed once")
	}
	cutOff := view()
	now = start.Add(unconfirmedTimeout - time.Millisecond)
	if cutOff.state().Snapshot != nil {
		t.Error("a look-up was answered before a quorum had the time to confirm the state")
	}
	now = start.Add(unconfirmedTimeout)
	if cutOff.state().Snapshot != old {
		t.Error("a replica that is cut off refuses look-ups")
	}
}

// Guards against refusals of look-ups that do not tell a wait for a quorum from a replica
// without any version and from a version without entries.
func TestDirectoryTellsWhyItRefuses(t *testing.T) {
	for _, tc := range []struct {
		name      string
		running   time.Duration
		confirmed bool
		current   *snapshot.Snapshot
		want      RefusalReason
	}{
		{"start", 0, false, &snapshot.Snapshot{Version: 7}, RefusalUnconfirmed},
		{"cut off without a version", unconfirmedTimeout, false, &snapshot.Snapshot{}, RefusalNoVersion},
		{"before the first version", 0, true, nil, RefusalNoVersion},
		{"no entry", 0, true, &snapshot.Snapshot{Version: 7}, RefusalNoEntry},
	} {
		start := time.Unix(1000, 0)
		v := &directoryView{
			current: func() *snapshot.Snapshot { return tc.current }, confirmed: func() bool { return tc.confirmed },
			status: func() replica.Status { return replica.Status{Role: "follower"} },
			now:    func() time.Time { return start.Add(tc.running) }, startedAt: start,
		}
		got := v.state()
		if got.Refusal != tc.want || (got.Snapshot != nil) != (tc.want == RefusalNoEntry) {
			t.Errorf("%s: %q, version usable %v", tc.name, got.Refusal, got.Snapshot != nil)
		}
		if got.Running != tc.running || got.Confirmed != tc.confirmed || got.Replica.Role != "follower" {
			t.Errorf("%s: %+v", tc.name, got)
		}
	}
}
