package proxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// Guards against a target that works and is taken for a failed one because it answers at the
// deadline that it was told. The same answer long before the deadline is an error.
func TestAnswerAtTheDeadlineIsNoServerError(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, tc := range []struct {
		name   string
		after  time.Duration
		status int
		want   dispatch.Result
	}{
		{"at the deadline", timeout - 10*time.Millisecond, http.StatusGatewayTimeout, dispatch.Overran},
		{"early", 0, http.StatusGatewayTimeout, dispatch.ServerError},
		{"error at the deadline", timeout - 10*time.Millisecond, http.StatusInternalServerError, dispatch.ServerError},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newTestEntry(t, false)
			addr := target(t, func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(tc.after)
				w.WriteHeader(tc.status)
			})
			g := &grantingSlots{grants: []dispatch.TargetInfo{{ID: "0", Addr: addr, Incarnation: 1}}}
			w.h.Guarded = slotsOf{testGuarded{w}, g}
			w.useDocument(threeRegionsDocument)
			req := w.request("GET", "/unsafe/1", "")
			req.Host = "rota.example"
			req.Header.Set(dialect.HeaderDeadline, strconv.FormatInt(timeout.Milliseconds(), 10))
			_, _, _ = w.do(req)
			g.mu.Lock()
			defer g.mu.Unlock()
			if len(g.outcomes) != 1 || g.outcomes[0].Result != tc.want {
				t.Errorf("outcomes %+v, want one with result %v", g.outcomes, tc.want)
			}
		})
	}
}
