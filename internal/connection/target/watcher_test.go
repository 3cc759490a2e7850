package target

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/connection/platform"
	"github.com/fescuejunction/fescuejunction/internal/version/membership"
)

// testPlatform serves a platform's list and one target over HTTP, with a
// Watcher of both.
type testPlatform struct {
	mu          sync.Mutex
	list        []membership.Listed
	health      string
	reportsLoad bool
	incarnation string
	target      *httptest.Server
	watcher     *Watcher
}

// set runs change while no request is being served.
func (f *testPlatform) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *testPlatform) serve(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var answer any
	switch {
	case r.URL.Path == "/instances":
		answer = map[string]any{"instances": f.list}
	case r.URL.Path == "/-/health" && f.health != "failing":
		answer = map[string]string{"status": f.health, "incarnation": f.incarnation}
	case r.URL.Path == "/-/load" && f.reportsLoad:
		answer = map[string]int{"in_progress": 1, "slots": 4}
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// startWatcher starts the platform, the target and the watcher, and waits until
// the target is healthy.
func startWatcher(t *testing.T) *testPlatform {
	t.Helper()
	f := &testPlatform{health: "ok", reportsLoad: true, incarnation: "1"}
	f.target = httptest.NewServer(http.HandlerFunc(f.serve))
	list := httptest.NewServer(http.HandlerFunc(f.serve))
	f.list = []membership.Listed{f.listEntry(membership.StatusLive), {ID: "elsewhere", Role: membership.RoleTarget, Service: "s", DataCentre: "dc2", Address: "127.0.0.1:1"}}
	f.watcher = &Watcher{
		DataCentre: "dc1", HTTP: &http.Client{Transport: &Transport{Dial: Dial}}, Log: logging.Discard(), Changed: func() {},
		Platform: &platform.Client{URL: list.URL + "/instances", HTTP: http.DefaultClient},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.watcher.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; f.target.Close(); list.Close() })
	f.awaitStatus(t, "healthy", 2*time.Second)
	return f
}

func (f *testPlatform) listEntry(status string) membership.Listed {
	addr := strings.TrimPrefix(f.target.URL, "http://")
	return membership.Listed{ID: "t1", Role: membership.RoleTarget, Service: "s", DataCentre: "dc1", Address: addr, Status: status}
}

// status returns the status of the target, or "none" without a target.
func (f *testPlatform) status() string {
	all := f.watcher.Targets("s")
	if len(all) == 0 {
		return "none"
	}
	return all[0].Status.String()
}

func (f *testPlatform) awaitStatus(t *testing.T, want string, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); f.status() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("status %s after %s, want %s", f.status(), within, want)
		}
	}
}

// expectStatusFor fails the test if the status differs from want at any time
// within d.
func (f *testPlatform) expectStatusFor(t *testing.T, want string, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got := f.status(); got != want {
			t.Fatalf("status %s, want %s throughout", got, want)
		}
	}
}

// Guards against detecting a leaving target late, against making it healthy
// again because of an outdated list or a later probe of the same process, and
// against keeping out the process that replaces it.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	f := startWatcher(t)
	f.set(func() { f.health = "leaving" })
	f.awaitStatus(t, "leaving", time.Second)
	f.set(func() { f.health = "ok" })
	f.expectStatusFor(t, "leaving", 1200*time.Millisecond)
	f.set(func() { f.incarnation = "2" })
	f.awaitStatus(t, "healthy", time.Second)
	f.set(func() { f.list = []membership.Listed{f.listEntry(membership.StatusLeaving)} })
	f.awaitStatus(t, "leaving", time.Second)
	f.set(func() { f.list = []membership.Listed{f.listEntry(membership.StatusLive)} })
	f.expectStatusFor(t, "leaving", 1200*time.Millisecond)
}

// Guards against removing a target that still answers probes because the list
// no longer names it, and against keeping an unlisted target whose process has
// ended.
func TestUnlistedTarget(t *testing.T) {
	t.Parallel()
	f := startWatcher(t)
	f.set(func() { f.list = nil })
	f.expectStatusFor(t, "healthy", 1200*time.Millisecond)
	f.target.Close()
	f.awaitStatus(t, "none", time.Second)
}

// Guards against skipping slow start after an outage or a restart, which depends
// on HealthySince, and against using load reports that are old or missing.
func TestHealthySinceAndLoadReports(t *testing.T) {
	t.Parallel()
	f := startWatcher(t)
	first := f.watcher.Targets("s")[0].HealthySince
	f.set(func() { f.health = "failing" })
	f.awaitStatus(t, "down", 3*time.Second)
	f.set(func() { f.health = "ok" })
	f.awaitStatus(t, "healthy", time.Second)
	second := f.watcher.Targets("s")[0].HealthySince
	if !second.After(first) {
		t.Errorf("healthy since %s after the outage, %s before", second, first)
	}
	f.set(func() { f.incarnation, f.reportsLoad = "2", false })
	time.Sleep(time.Second)
	if got := f.watcher.Targets("s")[0]; !got.HealthySince.After(second) || got.ReportedLoad != 0.25 {
		t.Errorf("after the restart: %+v", got)
	}
	time.Sleep(reportFreshFor)
	if got := f.watcher.Targets("s")[0].ReportedLoad; got != unknownLoad {
		t.Errorf("load %v without a fresh report", got)
	}
}
