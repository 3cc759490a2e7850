package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/request/uri"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// crashingTarget starts a stand-in target whose process ends, with all its
// connections and its listener, while it runs a request for a path that contains
// "deadly". Other requests are answered. crashes counts such ends.
func crashingTarget(t *testing.T, crashes *atomic.Int32) string {
	var srv *httptest.Server
	var once sync.Once
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "deadly") {
			_, _ = w.Write([]byte("ok"))
			return
		}
		once.Do(func() { crashes.Add(1) })
		_ = srv.Listener.Close()
		srv.CloseClientConnections()
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// events collects the evidence that an entry passes on.
type events struct {
	mu   sync.Mutex
	list []quarantine.Event
}

func (e *events) report(ev quarantine.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, ev)
}

func (e *events) count(match func(quarantine.Event) bool) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ev := range e.list {
		if match(ev) {
			n++
		}
	}
	return n
}

// newSuspectEntry returns an entry with crashing targets that keeps a table of
// suspects.
func newSuspectEntry(t *testing.T, targets int) (w *testEntry, crashes *atomic.Int32, reported *events) {
	crashes, reported = &atomic.Int32{}, &events{}
	var addrs []string
	for range targets {
		addrs = append(addrs, crashingTarget(t, crashes))
	}
	w = newTestEntry(t, false, addrs...)
	w.h.Suspects.Report = reported.report
	return w, crashes, reported
}

// Guards against a request that crashes every target that runs it and is sent to one
// target after another. After three crashes it is refused as not run, and the targets
// that are left serve other requests.
func TestDeadlyRequestIsQuarantined(t *testing.T) {
	w, crashes, reported := newSuspectEntry(t, 8)
	for range 8 {
		if _, _, err := w.do(w.request("GET", "/safe/deadly", "")); err != nil {
			t.Fatal(err)
		}
	}
	if n := crashes.Load(); n != quarantine.CrashesToQuarantine {
		t.Errorf("%d targets crashed, want %d", n, quarantine.CrashesToQuarantine)
	}
	w.expectError(w.request("GET", "/safe/deadly", ""), errkind.RequestQuarantined, errkind.No)
	resp, _, _ := w.do(w.request("GET", "/safe/deadly", ""))
	if after, err := strconv.Atoi(resp.Header.Get("Retry-After")); err != nil || time.Duration(after)*time.Second < quarantine.Period/2 {
		t.Errorf("Retry-After is %q, want the end of the quarantine", resp.Header.Get("Retry-After"))
	}
	if n := reported.count(func(ev quarantine.Event) bool { return ev.Crash != "" }); n != quarantine.CrashesToQuarantine {
		t.Errorf("%d crashes reported, want %d", n, quarantine.CrashesToQuarantine)
	}
	for _, path := range []string{"/safe/other", "/safe"} {
		if resp, body, err := w.do(w.request("GET", path, "")); err != nil || body != "ok" {
			t.Error(path, resp, body, err)
		}
	}
	w.waitReleased()
}

// callOf returns the call of a GET of path as it arrives at the entry.
func (w *testEntry) callOf(path string) *call {
	w.Helper()
	return w.accepted(w.request("GET", path, ""))
}

func (w *testEntry) accepted(req *http.Request) *call {
	w.Helper()
	c, err := w.h.accept(httptest.NewRecorder(), asServed(req), time.Now())
	if err != nil {
		w.Fatal(err)
	}
	return c
}

// asServed returns a client's request as a server reads it, with its target in origin form.
func asServed(req *http.Request) *http.Request {
	served := req.Clone(req.Context())
	served.RequestURI = req.URL.RequestURI()
	served.URL = &url.URL{Path: req.URL.Path, RawPath: req.URL.RawPath, RawQuery: req.URL.RawQuery}
	return served
}

// Guards against copies of a request with different fingerprints, because each entry
// is addressed by another Host header, and against requests to different services with
// the same fingerprint.
func TestFingerprintNamesHostOrService(t *testing.T) {
	byService := func(service, host string) *call {
		return &call{method: "GET", host: host, path: "/safe", service: &snapshot.Service{Service: document.Service{Name: service}}, route: &snapshot.Route{}}
	}
	byHost := func(service, host string) *call {
		c := byService(service, host)
		c.route.Host = uri.HostName(host)
		return c
	}
	for _, x := range []struct {
		what string
		a, b *call
		same bool
	}{
		{"addresses of two entries", byService("rota", "192.0.2.1:80"), byService("rota", "192.0.2.2:80"), true},
		{"two services", byService("rota", "192.0.2.1:80"), byService("limits", "192.0.2.1:80"), false},
		{"two spellings of a host", byHost("rota", "rota.example"), byHost("rota", "Rota.Example:80"), true},
		{"two services of a host", byHost("rota", "rota.example"), byHost("limits", "rota.example"), true},
		{"two hosts", byHost("rota", "rota.example"), byHost("rota", "limits.example"), false},
	} {
		if same := x.a.fingerprint() == x.b.fingerprint(); same != x.same {
			t.Errorf("%s: the same fingerprint: %t, want %t", x.what, same, x.same)
		}
	}
}

// quarantineElsewhere makes the entry learn that other entries saw three targets
// crash under a GET of path.
func (w *testEntry) quarantineElsewhere(path string) {
	c := w.callOf(path)
	w.h.Suspects.Table.Apply(time.Now(), []*fescuepb.Suspect{
		{Id: c.fingerprint().String(), Crashes: []string{"x/1", "y/1", "z/1"}, ChangedVersion: 5},
	})
}

// Guards against a request that is quarantined by the evidence of other entries and
// waits for a target before it is refused.
func TestQuarantinedElsewhere(t *testing.T) {
	w := newTestEntry(t, false)
	w.quarantineElsewhere("/safe/deadly")
	w.expectError(w.request("GET", "/safe/deadly", ""), errkind.RequestQuarantined, errkind.No)
	w.expectError(w.request("GET", "/safe/other", ""), errkind.NoTarget, errkind.No)
}

// Guards against a request that waits for a slot when it is quarantined and is sent
// as soon as it gets one.
func TestQuarantinedWhileQueued(t *testing.T) {
	var deadly atomic.Int32
	finish := make(chan struct{})
	w := newTestEntry(t, false, target(t, func(_ http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "deadly") {
			deadly.Add(1)
			return
		}
		<-finish
	}))
	var wg sync.WaitGroup
	for range 2 { // all slots of the target
		wg.Go(func() { _, _, _ = w.do(w.request("POST", "/", "")) })
	}
	for w.d.Load().InFlight < 2 {
		time.Sleep(time.Millisecond)
	}
	wg.Go(func() { w.expectError(w.request("GET", "/safe/deadly", ""), errkind.RequestQuarantined, errkind.No) })
	for w.d.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	w.quarantineElsewhere("/safe/deadly")
	close(finish)
	wg.Wait()
	if deadly.Load() != 0 {
		t.Error("the quarantined request was sent to the target")
	}
	w.waitReleased()
}

// Guards against a suspect that stays one although a target has answered it, and
// against a broken connection to a sound target that counts as its crash.
func TestSuspectIsCleared(t *testing.T) {
	addr, _ := rawTarget(t, func(n int) (string, bool) {
		if n <= 4 {
			return "", true // breaks the connection and goes on
		}
		return okAnswer, false
	})
	w := newTestEntry(t, false, addr, addr)
	reported := &events{}
	w.h.Suspects.Report = reported.report
	_, _, _ = w.do(w.request("POST", "/", "x"))
	if w.h.Suspects.Table.Active() {
		t.Error("a broken connection counts as a crash")
	}
	c := w.callOf("/safe")
	w.h.Suspects.Table.Crashed(time.Now(), c.fingerprint(), "x/1")
	for range 8 {
		_, _, _ = w.do(w.request("GET", "/safe", ""))
	}
	w.waitReleased()
	if w.h.Suspects.Table.Active() || reported.count(func(ev quarantine.Event) bool { return ev.Answered }) != 1 {
		t.Error("the suspect was not cleared by an answer")
	}
}

// Guards against a quarantine that never ends: once a trial is due, a request waits
// for it, is sent, and ends the quarantine if it is answered.
func TestTrialEndsQuarantine(t *testing.T) {
	w := newTestEntry(t, false, target(t, func(http.ResponseWriter, *http.Request) {}))
	c := w.callOf("/safe")
	apply := func(s *fescuepb.Suspect) {
		s.Id, s.Crashes = c.fingerprint().String(), []string{"x/1", "y/1", "z/1"}
		w.h.Suspects.Table.Apply(time.Now(), []*fescuepb.Suspect{s})
	}
	var claims, cleared atomic.Int32
	w.h.Suspects.Report = func(ev quarantine.Event) {
		if ev.Answered {
			cleared.Add(1)
			return
		}
		claims.Add(1)
		time.AfterFunc(50*time.Millisecond, func() { apply(&fescuepb.Suspect{Trial: "e1", Trials: 1, ChangedVersion: 6}) })
	}
	apply(&fescuepb.Suspect{TrialDue: true, ChangedVersion: 5})
	for range 3 {
		if resp, _, err := w.do(w.request("GET", "/safe", "")); err != nil || resp.StatusCode != http.StatusOK {
			t.Error(resp, err)
		}
	}
	if claims.Load() != 1 || cleared.Load() != 1 {
		t.Errorf("%d claims of the trial, cleared %d times", claims.Load(), cleared.Load())
	}
	w.waitReleased()
}

// quarantiningSlots quarantines a request between its first attempt and its second.
type quarantiningSlots struct {
	dispatch.Slots
	acquired   int
	quarantine func()
}

func (q *quarantiningSlots) Acquire(ctx context.Context, w dispatch.Work) (*dispatch.Ticket, error) {
	if q.acquired++; q.acquired == 2 {
		q.quarantine()
	}
	return q.Slots.Acquire(ctx, w)
}

// slotsGuarded gives access to slots of the test.
type slotsGuarded struct {
	testGuarded
	slots dispatch.Slots
}

func (g slotsGuarded) Slots(string, string) dispatch.Slots { return g.slots }

// Guards against a refusal that states that a request did not run after an earlier
// attempt sent it to a target.
func TestQuarantineAfterSendIsNotRefusedAsNotRun(t *testing.T) {
	w, crashes, _ := newSuspectEntry(t, 4)
	w.useDocument(strings.Replace(endlessDocument, "max_attempts: 1", "max_attempts: 2", 1))
	req := w.request("GET", "/safe/deadly", "")
	req.Host = "rota.example"
	c := w.accepted(req)
	slots := &quarantiningSlots{Slots: w.d, quarantine: func() {
		w.h.Suspects.Table.Apply(time.Now(), []*fescuepb.Suspect{
			{Id: c.fingerprint().String(), Crashes: []string{"x/1", "y/1", "z/1"}, ChangedVersion: 5},
		})
	}}
	w.h.Guarded = slotsGuarded{testGuarded{w}, slots}
	_, err := w.h.run(context.Background(), c)
	if errkind.Of(err) != errkind.TargetFailed || crashes.Load() != 1 || slots.acquired != 2 {
		t.Errorf("got %v after %d crashes and %d slots, want %s", err, crashes.Load(), slots.acquired, errkind.TargetFailed)
	}
	w.waitReleased()
}
