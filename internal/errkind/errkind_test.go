package errkind

import (
	"fmt"
	"testing"
)

// Guards against an error that loses its kind when an outer layer wraps it with
// another kind.
func TestOfWrapped(t *testing.T) {
	err := fmt.Errorf("outer: %w", Wrap(Internal, New(QueueFull, "queue of %d is full", 3), "dispatch"))
	if got := Of(err); got != QueueFull {
		t.Fatalf("Of = %q, want %q", got, QueueFull)
	}
	if got := Of(fmt.Errorf("plain")); got != Internal {
		t.Fatalf("Of(plain) = %q, want %q", got, Internal)
	}
}

// Guards against a Retry-After header on a response whose work may have run. A
// retry would run the work twice, unless an identifier makes it safe: a change
// identifier (NoQuorum) or an idempotency key (LedgerUnavailable).
func TestRetryOnlyIfNotRun(t *testing.T) {
	retrySafe := map[Kind]bool{NoQuorum: true, LedgerUnavailable: true}
	for _, k := range Kinds() {
		a := k.Response()
		if a.Retry && a.DidRun != No && !retrySafe[k] {
			t.Errorf("%s: Retry-After with did_run %q", k, a.DidRun)
		}
	}
}
