package lifecycle

import (
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
)

// Guards against a draining process that returns to serving because a version is
// confirmed after the stop began.
func TestNoReturnToServing(t *testing.T) {
	m := New(logging.Discard())
	for _, step := range []struct {
		event string
		ok    bool
		state string
	}{
		{Confirmed, true, Serving},
		{Confirmed, false, Serving},
		{Stop, true, Draining},
		{Confirmed, false, Draining},
		{Finished, true, Stopped},
		{Stop, false, Stopped},
	} {
		if err := m.Fire(step.event); (err == nil) != step.ok || m.State() != step.state {
			t.Fatalf("%s: error %v, state %q, want %q", step.event, err, m.State(), step.state)
		}
	}
}
