package control

import (
	"context"
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Guards against a change that is refused at once because the disk of the leader has
// become full, although a new leader is elected in time, and against one that is
// reported as not run because the last attempt did not run, although an earlier one
// may have.
func TestRetryAfterFailedAttempts(t *testing.T) {
	for _, c := range []struct {
		attempts []errkind.Kind // results; "" is a success
		want     errkind.Kind
	}{
		{[]errkind.Kind{""}, ""},
		{[]errkind.Kind{errkind.StorageFailed, errkind.NotLeader, ""}, ""},
		{[]errkind.Kind{errkind.NotLeader, errkind.Stopping}, errkind.Stopping},
		{[]errkind.Kind{errkind.StorageFailed, errkind.Stopping}, errkind.StorageFailed},
		{[]errkind.Kind{errkind.Timeout, errkind.QueueFull, errkind.Stopping}, errkind.Timeout},
		{[]errkind.Kind{errkind.NoQuorum, errkind.BadRequest}, errkind.NoQuorum},
		{[]errkind.Kind{errkind.CorruptLog}, errkind.CorruptLog},
	} {
		attempts := 0
		err := retry(t.Context(), func(context.Context) error {
			attempts++
			if kind := c.attempts[attempts-1]; kind != "" {
				return errkind.New(kind, "attempt %d", attempts)
			}
			return nil
		})
		got := errkind.Kind("")
		if err != nil {
			got = errkind.Of(err)
		}
		if got != c.want || attempts != len(c.attempts) {
			t.Errorf("attempts %q: %d made, result %q, want %q", c.attempts, attempts, got, c.want)
		}
	}
}
