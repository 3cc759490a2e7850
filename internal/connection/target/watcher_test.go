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
	list        []membership.ListedInstance
	health      string
	reportsLoad bool
	incarnation string
	probes      int    // of the target
	pausing     string // identifier of the target that wants no requests
	target      *httptest.Server
	watcher     *Watcher
}

// set runs change while no request is being served.
func (p *testPlatform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *testPlatform) serve(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.URL.Path != "/instances" {
		p.probes++
	}
	var answer any
	switch {
	case r.URL.Path == "/instances":
		answer = map[string]any{"instances": p.list}
	case r.URL.Path == "/-/health" && p.health != "failing":
		answer = map[string]string{"status": p.health, "incarnation": p.incarnation}
	case r.URL.Path == "/-/load" && p.reportsLoad:
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
	p := &testPlatform{health: "ok", reportsLoad: true, incarnation: "1"}
	p.target = httptest.NewServer(http.HandlerFunc(p.serve))
	list := httptest.NewServer(http.HandlerFunc(p.serve))
	p.list = []membership.ListedInstance{p.listEntry(membership.StatusLive), {ID: "elsewhere", Role: membership.RoleTarget, Service: "s", DataCentre: "dc2", Address: "127.0.0.1:1"}}
	p.watcher = &Watcher{
		DataCentre: "dc1", HTTP: &http.Client{Transport: &Transport{Dial: Dial}}, Log: logging.Discard(), Changed: func() {},
		Pausing: func(id, addr string) (pausing bool) {
			p.set(func() { pausing = id == p.pausing && addr == p.listEntry("").Address })
			return pausing
		},
		Platform: &platform.Client{URL: list.URL + "/instances", HTTP: http.DefaultClient},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.watcher.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; p.target.Close(); list.Close() })
	p.awaitStatus(t, "healthy", 2*time.Second)
	return p
}

func (p *testPlatform) listEntry(status string) membership.ListedInstance {
	addr := strings.TrimPrefix(p.target.URL, "http://")
	return membership.ListedInstance{ID: "t1", Role: membership.RoleTarget, Service: "s", DataCentre: "dc1", Address: addr, Status: status}
}

// status returns the status of the target, or "none" without a target.
func (p *testPlatform) status() string {
	all := p.watcher.Targets("s")
	if len(all) == 0 {
		return "none"
	}
	return all[0].Status.String()
}

func (p *testPlatform) awaitStatus(t *testing.T, want string, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); p.status() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("status %s after %s, want %s", p.status(), within, want)
		}
	}
}

// expectStatusFor fails the test if the status differs from want at any time
// within d.
func (p *testPlatform) expectStatusFor(t *testing.T, want string, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got := p.status(); got != want {
			t.Fatalf("status %s, want %s throughout", got, want)
		}
	}
}

// Guards against detecting a leaving target late, against making it healthy
// again because of an outdated list or a later probe of the same process, and
// against keeping out the process that replaces it.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	p := startWatcher(t)
	p.set(func() { p.health = "leaving" })
	p.awaitStatus(t, "leaving", time.Second)
	p.set(func() { p.health = "ok" })
	p.expectStatusFor(t, "leaving", 1200*time.Millisecond)
	p.set(func() { p.incarnation = "2" })
	p.awaitStatus(t, "healthy", time.Second)
	p.set(func() { p.list = []membership.ListedInstance{p.listEntry(membership.StatusLeaving)} })
	p.awaitStatus(t, "leaving", time.Second)
	p.set(func() { p.list = []membership.ListedInstance{p.listEntry(membership.StatusLive)} })
	p.expectStatusFor(t, "leaving", 1200*time.Millisecond)
}

// Guards against removing a target that still answers probes because the list
// no longer names it, and against keeping an unlisted target whose process has
// ended.
func TestUnlistedTarget(t *testing.T) {
	t.Parallel()
	p := startWatcher(t)
	p.set(func() { p.list = nil })
	p.expectStatusFor(t, "healthy", 1200*time.Millisecond)
	p.target.Close()
	p.awaitStatus(t, "none", time.Second)
}

// Guards against skipping slow start after an outage or a restart, which depends
// on HealthySince, and against using load reports that are old or missing.
func TestHealthySinceAndLoadReports(t *testing.T) {
	t.Parallel()
	p := startWatcher(t)
	first := p.watcher.Targets("s")[0].HealthySince
	p.set(func() { p.health = "failing" })
	p.awaitStatus(t, "down", 3*time.Second)
	p.set(func() { p.health = "ok" })
	p.awaitStatus(t, "healthy", time.Second)
	second := p.watcher.Targets("s")[0].HealthySince
	if !second.After(first) {
		t.Errorf("healthy since %s after the outage, %s before", second, first)
	}
	p.set(func() { p.incarnation, p.reportsLoad = "2", false })
	time.Sleep(time.Second)
	if got := p.watcher.Targets("s")[0]; !got.HealthySince.After(second) || got.ReportedLoad != 0.25 {
		t.Errorf("after the restart: %+v", got)
	}
	time.Sleep(reportFreshFor)
	if got := p.watcher.Targets("s")[0].ReportedLoad; got != unknownLoad {
		t.Errorf("load %v without a fresh report", got)
	}
}

// Guards against health probes of a target that wants no requests for a while, among them
// those of an earlier target at its address, against a target that counts as down because it was not probed, and against a slow start at
// the end of the pause.
func TestPausingTargetIsNotProbed(t *testing.T) {
	t.Parallel()
	p := startWatcher(t)
	successor := p.listEntry(membership.StatusLive)
	successor.ID = "t2"
	p.set(func() { p.list = []membership.ListedInstance{successor} })
	time.Sleep(2 * listInterval) // the identifier of the target at the address has changed
	if all := p.watcher.Targets("s"); len(all) != 1 || all[0].ID != "t2" {
		t.Fatalf("targets %+v, want t2", all)
	}
	since := p.watcher.Targets("s")[0].HealthySince
	p.set(func() { p.pausing = "t2" })
	time.Sleep(200 * time.Millisecond) // probes under way end
	p.set(func() { p.probes = 0 })
	p.expectStatusFor(t, "healthy", membership.AnswerTTL+probeInterval)
	p.set(func() {
		if p.probes != 0 {
			t.Errorf("%d probes within the pause", p.probes)
		}
		p.pausing = ""
	})
	p.expectStatusFor(t, "healthy", 2*probeInterval)
	if got := p.watcher.Targets("s")[0].HealthySince; !got.Equal(since) {
		t.Errorf("healthy since %s, want %s as before the pause", got, since)
	}
	p.set(func() {
		if p.probes == 0 {
			t.Error("no probes after the pause")
		}
	})
}
