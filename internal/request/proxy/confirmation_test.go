package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
)

// change is a change of the document that concerns requests for /orders/1.
type change struct {
	before, after string // host routes
	// homeMoved: only targets in region south may run the request afterwards.
	homeMoved bool
	// keyed requests carry an idempotency key.
	keyed bool
}

const (
	safeForAll  = `{name: all, host: rota.example, prefix: /, safe: true, timeout: 2s, services: [{service: rota, weight: 1}]}`
	unsafeOrder = `{name: orders, host: rota.example, prefix: /orders/, timeout: 2s, services: [{service: rota, weight: 1}]}`
	safeOrder   = `{name: orders, host: rota.example, prefix: /orders/, safe: true, timeout: 2s, services: [{service: rota, weight: 1}]}`
	northOrder  = `{name: orders, host: rota.example, prefix: /orders/, safe: true, timeout: 2s, home_regions: [north], services: [{service: rota, weight: 1}]}`
	southOrder  = `{name: orders, host: rota.example, prefix: /orders/, safe: true, timeout: 2s, home_regions: [south], services: [{service: rota, weight: 1}]}`
)

var changes = map[string]change{
	"unsafe route added below a safe one": {before: safeForAll, after: safeForAll + "\n  - " + unsafeOrder},
	"safe route becomes unsafe":           {before: safeOrder, after: unsafeOrder},
	"home moved":                          {before: northOrder, after: southOrder, homeMoved: true},
}

func documentOf(routes string) string {
	return `team: platform
regions: [{name: north, data_centres: [a]}, {name: south, data_centres: [c]}, {name: west, data_centres: [d]}]
services: [{name: rota, guarded_slots: true, health_path: /health, retry: {budget_percent: 100}}]
host_routes:
  - ` + routes + "\n"
}

// orderTargets counts the runs of requests and loses the answer to the first one if
// lossy is set: the connection is reset in its place.
type orderTargets struct {
	lossy bool
	runs  atomic.Int32
}

func (o *orderTargets) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if o.runs.Add(1) == 1 && o.lossy {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	fmt.Fprint(w, "done")
}

func (o *orderTargets) start(t *testing.T, n int) (addrs []string) {
	for range n {
		addrs = append(addrs, target(t, o.ServeHTTP))
	}
	return addrs
}

// order returns a request for /orders/1.
func (w *testEntry) order(c change) *http.Request {
	req := w.request("POST", "/orders/1", "chair=7")
	req.Host = "rota.example"
	if c.keyed {
		req.Header.Set(dialect.HeaderKey, "key-1")
	}
	return req
}

// connect makes the next request of w use a connection that has carried one before, or a
// new one.
func (w *testEntry) connect(kept bool) {
	w.Helper()
	w.client.CloseIdleConnections()
	if kept {
		req := w.request("GET", "/nowhere", "")
		req.Host = "unknown.example"
		if _, _, err := w.do(req); err != nil {
			w.Fatal(err)
		}
	}
}

// Guards against a request that runs twice, or outside of its home regions, at an entry
// whose version may be an old one: the entry was suspended or is cut off from control. An
// entry that is cut off serves requests all the same.
func TestOutdatedVersionRunsNothingTwice(t *testing.T) {
	states := map[string]struct {
		confirmed bool
		resuming  time.Duration
		confirmIn time.Duration // until the new version is in force and confirmed; 0: never
	}{
		"confirmed before the change":     {confirmed: true},
		"cut off":                         {},
		"suspended, then confirmed":       {resuming: 300 * time.Millisecond, confirmIn: 50 * time.Millisecond},
		"suspended, then cut off":         {resuming: 50 * time.Millisecond},
		"suspended, then confirmed later": {resuming: 30 * time.Millisecond, confirmIn: 400 * time.Millisecond},
	}
	for name, c := range changes {
		for state, st := range states {
			for _, lossy := range []bool{false, true} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/lossy=%v,kept=%v", name, state, lossy, kept), func(t *testing.T) {
						here, there := &orderTargets{lossy: lossy}, &orderTargets{}
						w := newTestEntry(t, false, here.start(t, 2)...)
						south := &fescuepb.Member{Instance: "e3", DataCentre: "c", Region: "south", Role: fescuepb.Role_ROLE_ENTRY, PeerAddr: there.start(t, 1)[0]}
						w.useDocument(documentOf(c.before), south)
						w.connect(kept)
						var confirmed atomic.Bool
						confirmed.Store(st.confirmed)
						w.h.Confirmed = confirmed.Load
						asked := time.Now()
						w.h.Resuming = func() time.Duration { return max(0, st.resuming-time.Since(asked)) }
						if st.confirmIn > 0 {
							timer := time.AfterFunc(st.confirmIn, func() {
								w.useDocument(documentOf(c.after), south)
								confirmed.Store(true)
							})
							defer timer.Stop()
						}
						resp, body, err := w.do(w.order(c))
						if err != nil {
							t.Fatal(err)
						}
						served := resp.StatusCode == http.StatusOK
						newVersion := st.confirmIn > 0 && st.confirmIn < st.resuming
						switch runs := here.runs.Load(); {
						case st.confirmed: // the version from before applies
							if want := map[bool]int32{false: 1, true: 2}[lossy]; !served || runs != want {
								t.Errorf("%d runs, want %d; %d %s", runs, want, resp.StatusCode, body)
							}
						case c.homeMoved:
							if runs != 0 || served != newVersion || there.runs.Load() != map[bool]int32{true: 1}[newVersion] {
								t.Errorf("%d runs here, %d in the new home; %d %s", runs, there.runs.Load(), resp.StatusCode, body)
							}
							if !newVersion && !strings.Contains(body, string(errkind.NotReady)) {
								t.Errorf("refused with %s", body)
							}
						default:
							if runs != 1 || served == lossy || there.runs.Load() != 0 {
								t.Errorf("%d runs here, %d elsewhere; %d %s", runs, there.runs.Load(), resp.StatusCode, body)
							}
						}
					})
				}
			}
		}
	}
}

// Guards against a request that is repeated by a permission from before its first send:
// meanwhile its route has become unsafe, or its entry was suspended or cut off.
func TestPermissionToRepeatIsCheckedWhenUsed(t *testing.T) {
	unsafeNow := func(w *testEntry) { w.useDocument(documentOf(changes["safe route becomes unsafe"].after)) }
	for name, tc := range map[string]struct {
		meanwhile func(w *testEntry, confirmed *atomic.Bool)
		resuming  time.Duration
		runs      int32
	}{
		"nothing":            {func(*testEntry, *atomic.Bool) {}, 0, 2},
		"another version":    {func(w *testEntry, _ *atomic.Bool) { w.useDocument(documentOf(safeOrder)) }, 0, 2},
		"unsafe":             {func(w *testEntry, _ *atomic.Bool) { unsafeNow(w) }, 0, 1},
		"cut off":            {func(_ *testEntry, confirmed *atomic.Bool) { confirmed.Store(false) }, 0, 1},
		"unsafe and cut off": {func(w *testEntry, confirmed *atomic.Bool) { unsafeNow(w); confirmed.Store(false) }, 0, 1},
		"suspended":          {func(_ *testEntry, confirmed *atomic.Bool) { confirmed.Store(false) }, time.Second, 2},
		"suspended, unsafe afterwards": {func(w *testEntry, confirmed *atomic.Bool) {
			confirmed.Store(false)
			time.AfterFunc(30*time.Millisecond, func() { unsafeNow(w); confirmed.Store(true) })
		}, time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			var confirmed atomic.Bool
			confirmed.Store(true)
			var w *testEntry
			lossy := func(rw http.ResponseWriter, _ *http.Request) {
				if runs.Add(1) > 1 {
					return
				}
				tc.meanwhile(w, &confirmed)
				if tc.resuming > 0 {
					time.AfterFunc(100*time.Millisecond, func() { confirmed.Store(true) })
				}
				panic(http.ErrAbortHandler)
			}
			w = newTestEntry(t, false, target(t, lossy), target(t, lossy))
			w.useDocument(documentOf(safeOrder))
			w.h.Confirmed = confirmed.Load
			w.h.Resuming = func() time.Duration { return tc.resuming }
			resp, body, err := w.do(w.order(change{}))
			if err != nil {
				t.Fatal(err)
			}
			if got := runs.Load(); got != tc.runs || (resp.StatusCode == http.StatusOK) != (tc.runs > 1) {
				t.Errorf("%d runs, want %d; %d %s", got, tc.runs, resp.StatusCode, body)
			}
		})
	}
}

// Guards against a request that runs twice because one of two entries has a version from
// before it was unsafe, and repeats it after the other one has sent it.
func TestRequestBetweenEntriesOfDifferentVersionsRunsOnce(t *testing.T) {
	type version struct {
		after, confirmed bool
	}
	versions := map[string]version{
		"old": {}, "old, confirmed": {confirmed: true}, "new": {after: true}, "new, confirmed": {after: true, confirmed: true},
	}
	for name, c := range changes {
		for senderName, sender := range versions {
			for receiverName, receiver := range versions {
				for _, lossy := range []bool{false, true} {
					if sender.confirmed && !sender.after && !receiver.after {
						continue // the version from before applies, as the sender confirms it
					}
					t.Run(fmt.Sprintf("%s/from %s to %s/lossy=%v", name, senderName, receiverName, lossy), func(t *testing.T) {
						runs := &orderTargets{lossy: lossy}
						b := newTestEntry(t, true, runs.start(t, 2)...)
						b.h.DataCentre = "c"
						elsewhere := &orderTargets{}
						d := newTestEntry(t, true, elsewhere.start(t, 1)...)
						d.h.DataCentre = "d"
						a := newTestEntry(t, false) // without a target, so that it forwards
						members := []*fescuepb.Member{
							{Instance: "e3", DataCentre: "c", Region: "south", Role: fescuepb.Role_ROLE_ENTRY, PeerAddr: b.addr},
							{Instance: "e4", DataCentre: "d", Region: "west", Role: fescuepb.Role_ROLE_ENTRY, PeerAddr: d.addr},
						}
						use := func(w *testEntry, v version) {
							w.useDocument(documentOf(c.before), members...)
							if v.after {
								w.useDocument(documentOf(c.after), members...)
							}
							w.h.Confirmed = func() bool { return v.confirmed }
						}
						use(a, sender)
						use(b, receiver)
						use(d, receiver)
						resp, body, err := a.do(a.order(c))
						if err != nil {
							t.Fatal(err)
						}
						total := runs.runs.Load() + elsewhere.runs.Load()
						served := resp.StatusCode == http.StatusOK
						switch {
						case c.homeMoved:
							// South is the home after the change only. Who knows it may run the request there, also twice.
							mayRun := sender.after && sender.confirmed
							if elsewhere.runs.Load() != 0 || total > 0 && !mayRun {
								t.Errorf("%d runs in the new home, %d elsewhere; %d %s", runs.runs.Load(), elsewhere.runs.Load(), resp.StatusCode, body)
							}
						case total > 1, total == 0, !lossy && !served, served != (runs.runs.Load() == 1 && !lossy || elsewhere.runs.Load() == 1):
							t.Errorf("%d runs in south, %d in west; %d %s", runs.runs.Load(), elsewhere.runs.Load(), resp.StatusCode, body)
						}
					})
				}
			}
		}
	}
}

// Guards against an answer that callers do not repeat, from a version that may be an old
// one, and against such an answer that says of a keyed request that it never ran.
func TestUnconfirmedVersionRefusesNothingForGood(t *testing.T) {
	w := newTestEntry(t, false, target(t, func(http.ResponseWriter, *http.Request) {}))
	var confirmed atomic.Bool
	w.h.Confirmed = confirmed.Load
	large := strings.Repeat("x", 200_001)
	for name, tc := range map[string]struct {
		method, path, body string
		header             []string
		final              errkind.Kind
		didRun             errkind.DidRun // unconfirmed
	}{
		"service":        {"GET", "/", "", []string{dialect.HeaderService, "nowhere"}, errkind.UnknownService, errkind.No},
		"shift":          {"GET", "/", "", []string{dialect.HeaderShift, "nobody"}, errkind.UnknownShift, errkind.No},
		"missing shift":  {"GET", "/", "", []string{dialect.HeaderShift, ""}, errkind.MissingShift, errkind.No},
		"missing key":    {"POST", "/claim", "", nil, errkind.MissingKey, errkind.No},
		"bad key":        {"POST", "/claim", "", []string{dialect.HeaderKey, "a b"}, errkind.BadKey, errkind.Unknown},
		"body too large": {"POST", "/", large, nil, errkind.BodyTooLarge, errkind.No},
	} {
		t.Run(name, func(t *testing.T) {
			outer := w.T
			w.T = t
			defer func() { w.T = outer }()
			for _, isConfirmed := range []bool{false, true} {
				confirmed.Store(isConfirmed)
				kind, didRun := errkind.NotReady, tc.didRun
				if isConfirmed {
					kind, didRun = tc.final, errkind.No
				}
				w.expectError(w.request(tc.method, tc.path, tc.body, tc.header...), kind, didRun)
			}
		})
	}
	confirmed.Store(false)
	if status, _, body := w.h.RefuseHead(errkind.New(errkind.HeaderTooLarge, "too large")); status != http.StatusServiceUnavailable {
		t.Errorf("too large a header: %d %s", status, body)
	}
	// A key that the route ignores may belong to a route that runs at most once by now.
	w.expectError(w.request("POST", "/", "", dialect.HeaderKey, "key-1"), errkind.NotReady, errkind.Unknown)
	if resp, _, err := w.do(w.request("POST", "/claim", "", dialect.HeaderKey, "key-1")); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v, %v: the ledger takes the request while the entry is cut off", resp, err)
	}
}

// Guards against a header of a forwarded request that another release cannot read.
func TestForwardedRouteIsReadAsWritten(t *testing.T) {
	for i := range 16 {
		f := forwardedRoute{stated: true, confirmed: i&1 != 0, repeatable: i&2 != 0, atMostOnce: i&4 != 0, homes: i&8 != 0}
		if got := parseForwardedRoute(f.String()); got != f {
			t.Errorf("%q is read as %+v", f, got)
		}
	}
	if got := parseForwardedRoute(""); got != (forwardedRoute{}) {
		t.Errorf("without a header: %+v", got)
	}
	if got := parseForwardedRoute("confirmed later repeatable"); !got.confirmed || !got.repeatable {
		t.Errorf("with a word of a later release: %+v", got)
	}
}
