package errkind

import (
	"fmt"
	"testing"
)

// Guards against an error that loses its kind when another layer wraps it.
func TestOfWrapped(t *testing.T) {
	err := fmt.Errorf("outer: %w", Wrap(Internal, New(QueueFull, "queue of %d is full", 3), "dispatch"))
	if got := Of(err); got != QueueFull {
		t.Fatalf("Of = %q, want %q", got, QueueFull)
	}
	if got := Of(fmt.Errorf("plain")); got != Internal {
		t.Fatalf("Of(plain) = %q, want %q", got, Internal)
	}
}

// Guards against a retry hint on an answer whose work may have run, unless
// an identifier makes the retry safe: a change identifier or an idempotency key.
func TestRetryOnlyIfNotRun(t *testing.T) {
	identified := map[Kind]bool{NoQuorum: true, LedgerUnavailable: true}
	for _, k := range Kinds() {
		a := k.Answer()
		if a.Retry && a.DidRun != No && !identified[k] {
			t.Errorf("%s: Retry-After with did_run %q", k, a.DidRun)
		}
	}
}
