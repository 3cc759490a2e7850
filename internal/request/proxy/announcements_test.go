package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	connection "github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/announce"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/uber-go/tally/v4"
)

// announcer starts a target whose first answer has the given status and headers. The
// later ones are plain successes.
func announcer(t *testing.T, status int, headers ...string) (addr string, seen *atomic.Int32) {
	seen = &atomic.Int32{}
	return target(t, func(w http.ResponseWriter, _ *http.Request) {
		if seen.Add(1) == 1 {
			for i := 0; i < len(headers); i += 2 {
				w.Header().Set(headers[i], headers[i+1])
			}
			w.WriteHeader(status)
		}
	}), seen
}

// newAnnouncedEntry starts an entry that records the announcements of its targets.
// With guarded set, the targets belong to a pool that guards its slots itself.
func newAnnouncedEntry(t *testing.T, guarded bool, targets ...string) *testEntry {
	t.Helper()
	w := newTestEntry(t, false, targets...)
	w.h.Announced = announce.New(steady.Now, logging.Discard(), tally.NoopScope)
	if guarded {
		w.d = dispatch.NewPoolDispatcher(dispatch.Settings{Service: "rota"}, time.Now, nil)
		w.useDocument(threeRegionsDocument)
	}
	w.setTargets(targets...)
	return w
}

// setTargets lists one target for each address, with its position as the identifier.
func (w *testEntry) setTargets(addrs ...string) {
	var infos []dispatch.TargetInfo
	for i, addr := range addrs {
		infos = append(infos, dispatch.TargetInfo{ID: strconv.Itoa(i), Addr: addr, Incarnation: 1, Slots: 2, ReportedLoad: -1})
	}
	w.d.SetTargets(infos)
}

// safeRequest returns a request of a route that is safe in both test documents.
func (w *testEntry) safeRequest() *http.Request {
	req := w.request("GET", "/safe/1", "")
	req.Host = "rota.example"
	return req
}

// expectStatus sends a safe request and checks the status of the answer.
func (w *testEntry) expectStatus(want int) *http.Response {
	w.Helper()
	resp, body, err := w.do(w.safeRequest())
	if err != nil || resp.StatusCode != want {
		w.Fatalf("%v %q %v, want status %d", resp, body, err, want)
	}
	return resp
}

// Guards against requests for a target after the entry has passed on an answer that
// announces that the target leaves, whatever the status and although the list still
// names it. The requests go to another target, and without one they are refused as
// not run. A target that takes over the address gets requests.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		for _, status := range []int{200, 404, 500} {
			leaving, seen := announcer(t, status, dialect.HeaderLeaving, "true")
			w := newAnnouncedEntry(t, guarded, leaving)
			w.expectStatus(status)
			w.waitReleased()
			var other atomic.Int32
			w.setTargets(leaving, target(t, func(http.ResponseWriter, *http.Request) { other.Add(1) }))
			for range 10 {
				w.expectStatus(http.StatusOK)
			}
			if seen.Load() != 1 || other.Load() != 10 {
				t.Errorf("status %d: %d requests to the leaving target and %d to the other one, want 1 and 10", status, seen.Load(), other.Load())
			}
			w.setTargets(leaving)
			w.expectError(w.safeRequest(), errkind.NoTarget, errkind.No)
			w.d.SetTargets([]dispatch.TargetInfo{{ID: "next", Addr: leaving, Incarnation: 2, Slots: 2, ReportedLoad: -1}})
			w.expectStatus(http.StatusOK)
			w.waitReleased()
		}
	}
}

// grantingSlots grants the given targets in turn, the last one again and again. It
// ignores what the work excludes, like a dispatcher that does not know of an
// announcement.
type grantingSlots struct {
	mu       sync.Mutex
	grants   []dispatch.TargetInfo
	asked    []dispatch.Work
	outcomes []dispatch.Outcome
}

func (g *grantingSlots) Acquire(_ context.Context, w dispatch.Work) (*dispatch.Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.grants[min(len(g.asked), len(g.grants)-1)]
	g.asked = append(g.asked, w)
	return dispatch.NewTicket(next, 0, "test", func(o dispatch.Outcome) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.outcomes = append(g.outcomes, o)
	}), nil
}

func (g *grantingSlots) Load() dispatch.Load { return dispatch.Load{FreeSlots: 1} }

// slotsOf replaces the slots of a testGuarded.
type slotsOf struct {
	testGuarded
	slots dispatch.Slots
}

func (s slotsOf) Slots(string, string) dispatch.Slots { return s.slots }

// Guards against a slot that was granted before an announcement and is used after it,
// and against a dispatcher that does not learn why it was not used. A dispatcher that
// goes on granting the target is not asked without end.
func TestGrantUsedAfterAnnouncement(t *testing.T) {
	withdrawnAddr, seen := announcer(t, http.StatusOK)
	var other atomic.Int32
	otherAddr := target(t, func(http.ResponseWriter, *http.Request) { other.Add(1) })
	withdrawn, free := dispatch.TargetInfo{ID: "0", Addr: withdrawnAddr, Incarnation: 1}, dispatch.TargetInfo{ID: "1", Addr: otherAddr, Incarnation: 1}
	for _, tc := range []struct {
		name         string
		announcement dialect.Answer
		leaving      bool
	}{
		{"leaving", dialect.Answer{Leaving: true}, true},
		{"pausing", dialect.Answer{Pause: dialect.Pause{For: 20 * time.Second}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			other.Store(0)
			w := newAnnouncedEntry(t, true)
			w.h.Announced.Observe("rota", withdrawn.Process(), "id", tc.announcement)
			g := &grantingSlots{grants: []dispatch.TargetInfo{withdrawn, free}}
			w.h.Guarded = slotsOf{testGuarded{w}, g}
			w.expectStatus(http.StatusOK)
			notUsed := dispatch.Outcome{Result: dispatch.NotUsed, Leaving: tc.leaving}
			if seen.Load() != 0 || other.Load() != 1 || g.outcomes[0] != notUsed {
				t.Errorf("%d requests to the target, %d to the other one, outcomes %+v", seen.Load(), other.Load(), g.outcomes)
			}
			if pauses := g.asked[0].Pauses; (len(pauses) == 1 && pauses[0].Target == withdrawn.Process()) == tc.leaving {
				t.Errorf("the work states the pauses %v", pauses)
			}
			g = &grantingSlots{grants: []dispatch.TargetInfo{withdrawn}}
			w.h.Guarded = slotsOf{testGuarded{w}, g}
			w.expectError(w.safeRequest(), errkind.NoTarget, errkind.No)
			if seen.Load() != 0 || len(g.outcomes) != len(g.asked) || slices.ContainsFunc(g.outcomes, func(o dispatch.Outcome) bool { return o != notUsed }) {
				t.Errorf("%d requests to the target, %d slots asked for, outcomes %+v", seen.Load(), len(g.asked), g.outcomes)
			}
			if most := 2 * maxReturnedSlots; len(g.asked) > most { // the region is asked in two modes
				t.Errorf("%d slots asked for, want at most %d", len(g.asked), most)
			}
		})
	}
}

// Guards against a request that is sent over a connection which was still being
// opened when the target announced that it wants no requests, and against a target
// that counts as failed because of it.
func TestAnnouncementWhileConnecting(t *testing.T) {
	for name, announcement := range map[string]dialect.Answer{
		"leaving": {Leaving: true}, "pausing": {Pause: dialect.Pause{For: 20 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			addr, seen := announcer(t, http.StatusOK)
			w := newAnnouncedEntry(t, true, addr)
			w.h.Targets.(*connection.Transport).Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				w.h.Announced.Observe("rota", dispatch.Process{ID: "0", Addr: addr, Incarnation: 1}, "id", announcement)
				return connection.Dial(ctx, network, addr)
			}
			resp, body, err := w.do(w.safeRequest())
			if err != nil || resp.Header.Get(dialect.HeaderNotRun) != "true" || seen.Load() != 0 {
				t.Errorf("%d requests to the target; the caller got %v %q %v, want a refusal that states that it did not run", seen.Load(), resp, body, err)
			}
			w.waitReleased()
			if l := w.d.Load(); l.FailedPercent != 0 {
				t.Errorf("%d in 100 slots count as failed", l.FailedPercent)
			}
		})
	}
}

// Guards against requests for a target within the pause that it asked for, and against
// a target that gets none after it. The request that was refused is sent to another
// target.
func TestPausingTargetGetsNoRequests(t *testing.T) {
	const pause = 900 * time.Millisecond
	for _, guarded := range []bool{false, true} {
		pausing, seen := announcer(t, http.StatusServiceUnavailable, dialect.HeaderNotRun, "true", dialect.HeaderPause, strconv.FormatInt(pause.Milliseconds(), 10))
		w := newAnnouncedEntry(t, guarded, pausing)
		w.expectError(w.safeRequest(), errkind.NoTarget, errkind.No) // the retry finds no other target
		answered := time.Now()
		for range 3 {
			start := time.Now()
			resp := w.expectStatus(http.StatusServiceUnavailable)
			after, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
			if took := time.Since(start); took > 300*time.Millisecond || after != 1 {
				t.Errorf("guarded %t: refused after %v with Retry-After %d, want it at once with 1", guarded, took, after)
			}
		}
		var other atomic.Int32
		w.setTargets(pausing, target(t, func(http.ResponseWriter, *http.Request) { other.Add(1) }))
		for time.Since(answered) < pause-100*time.Millisecond {
			w.expectStatus(http.StatusOK)
			time.Sleep(20 * time.Millisecond)
		}
		if seen.Load() != 1 || other.Load() == 0 {
			t.Errorf("guarded %t: %d requests to the target until the end of its pause, want 1; %d to the other one", guarded, seen.Load(), other.Load())
		}
		w.setTargets(pausing)
		time.Sleep(time.Until(answered.Add(pause)))
		w.expectStatus(http.StatusOK)
		w.waitReleased()
	}
}

// Guards against an entry that is cut off from the dispatcher and does not act on what
// a target announced to it, and against one that acts on what the target announced to
// another entry: a pause concerns the entry that was answered.
func TestTargetBehindTwoEntries(t *testing.T) {
	var announcement atomic.Pointer[http.Header]
	counts := map[string]*atomic.Int32{"e1": {}, "e2": {}}
	addr := target(t, func(w http.ResponseWriter, r *http.Request) {
		counts[r.Header.Get("From")].Add(1)
		if h := announcement.Load(); h != nil {
			for name, values := range *h {
				w.Header()[name] = values
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	near, cutOff := newAnnouncedEntry(t, true, addr), newAnnouncedEntry(t, true, addr)
	send := func(w *testEntry, name string) int {
		req := w.safeRequest()
		req.Header.Set("From", name)
		resp, _, err := w.do(req)
		if err != nil {
			t.Fatal(err)
		}
		w.waitReleased()
		return resp.StatusCode
	}
	announcement.Store(&http.Header{dialect.HeaderNotRun: {"true"}, dialect.HeaderPause: {"60000"}})
	send(near, "e1")
	announcement.Store(nil)
	if send(near, "e1") != http.StatusServiceUnavailable || send(cutOff, "e2") != http.StatusOK {
		t.Error("the pause does not hold for the entry that was answered, or holds for the other one")
	}
	announcement.Store(&http.Header{dialect.HeaderLeaving: {"true"}})
	send(cutOff, "e2")
	announcement.Store(nil)
	for range 5 {
		send(cutOff, "e2")
		send(near, "e1")
	}
	if got := fmt.Sprint(counts["e1"].Load(), counts["e2"].Load()); got != "1 2" {
		t.Errorf("requests by entry %s, want 1 2", got)
	}
}

// Guards against retries beyond the retry budget because targets ask for a pause.
func TestPauseKeepsToRetryBudget(t *testing.T) {
	var sends atomic.Int32
	pausing := func() string {
		return target(t, func(w http.ResponseWriter, r *http.Request) {
			sends.Add(1)
			w.Header().Set(dialect.HeaderRequestID, r.Header.Get(dialect.HeaderRequestID))
			w.Header().Set(dialect.HeaderNotRun, "true")
			w.Header().Set(dialect.HeaderPause, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	w := newAnnouncedEntry(t, true, pausing(), pausing(), pausing())
	w.useDocument(strings.Replace(threeRegionsDocument, "budget_percent: 100", "budget_percent: 1", 1))
	const requests = 60
	for range requests {
		_, _, _ = w.do(w.safeRequest())
		time.Sleep(2 * time.Millisecond) // the pauses are over
	}
	if repeats := sends.Load() - requests; repeats > requests/2 {
		t.Errorf("%d requests were sent %d times", requests, sends.Load())
	}
}

// Guards against a target that counts as failed, and gets no requests for longer than it
// asked for, because its answers of status 503 ask for a pause.
func TestPauseIsNoFailure(t *testing.T) {
	for _, headers := range [][]string{{}, {dialect.HeaderNotRun, "true"}} {
		var seen atomic.Int32
		addr := target(t, func(w http.ResponseWriter, r *http.Request) {
			if seen.Add(1) > 4 {
				return
			}
			w.Header().Set(dialect.HeaderRequestID, r.Header.Get(dialect.HeaderRequestID))
			w.Header().Set(dialect.HeaderPause, "1")
			for i := 0; i < len(headers); i += 2 {
				w.Header().Set(headers[i], headers[i+1])
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		w := newAnnouncedEntry(t, true, addr)
		for range 4 {
			w.expectStatus(http.StatusServiceUnavailable)
			w.waitReleased()
			time.Sleep(2 * time.Millisecond) // the pause is over
		}
		if l := w.d.Load(); l.FailedPercent != 0 {
			t.Errorf("%d in 100 slots count as failed", l.FailedPercent)
		}
		w.expectStatus(http.StatusOK)
	}
}
