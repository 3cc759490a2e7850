package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
)

// Guards against a panic, and against answers that blame the caller, because of a target
// with an address that cannot be dialled. A log or an entry of an older build may hold
// one. Requests go to the other targets, and without one they provably did not run.
func TestTargetWithOddAddress(t *testing.T) {
	for _, odd := range []string{
		"10.0.0.1:808080", "10.0.0.1:-1", "127.0.0.1:0", "127.0.0.1", ":", "", "10.0.0.1:80:80", "127.0.0.1 :80", "a\x00b:80", "%zz:80", "[::1", "::1:80",
		"10.0.0.1:80/path", "user@127.0.0.1:80", "\xff:80", "127.0.0.1:http" + strings.Repeat("p", 1<<16),
	} {
		for _, guarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%.40q guarded %t", odd, guarded), func(t *testing.T) {
				t.Parallel() // a request without another target waits for a second
				w := newAnnouncedEntry(t, guarded, odd)
				if resp, body, err := w.do(w.safeRequest()); err != nil || resp.StatusCode < 500 || resp.Header.Get(dialect.HeaderNotRun) != "true" {
					t.Errorf("alone: %v %q, %v", resp, body, err)
				}
				w.setTargets(odd, target(t, func(http.ResponseWriter, *http.Request) {}))
				for range 5 {
					if resp, body, err := w.do(w.safeRequest()); err != nil || resp.StatusCode != http.StatusOK {
						t.Errorf("with another target: %v %q, %v", resp, body, err)
					}
				}
				w.waitReleased()
			})
		}
	}
}
