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

// fake is a platform with one target, both over HTTP.
type fake struct {
	mu          sync.Mutex
	list        []membership.ListedInstance
	health      string
	reports     bool
	incarnation string
	target      *httptest.Server
	watcher     *Watcher
}

func (f *fake) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fake) serve(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var answer any
	switch {
	case r.URL.Path == "/instances":
		answer = map[string]any{"instances": f.list}
	case r.URL.Path == "/-/health" && f.health != "failing":
		answer = map[string]string{"status": f.health, "incarnation": f.incarnation}
	case r.URL.Path == "/-/load" && f.reports:
		answer = map[string]int{"in_progress": 1, "slots": 4}
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func start(t *testing.T) *fake {
	t.Helper()
	f := &fake{health: "ok", reports: true, incarnation: "1"}
	f.target = httptest.NewServer(http.HandlerFunc(f.serve))
	list := httptest.NewServer(http.HandlerFunc(f.serve))
	f.list = []membership.ListedInstance{f.entry(membership.StatusLive), {ID: "elsewhere", Role: membership.RoleTarget, Service: "s", DataCentre: "dc2", Address: "127.0.0.1:1"}}
	f.watcher = &Watcher{
		DataCentre: "dc1", HTTP: &http.Client{Transport: &Transport{Dial: Dial}}, Log: logging.Discard(), Changed: func() {},
		Platform: &platform.Client{URL: list.URL + "/instances", HTTP: http.DefaultClient},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.watcher.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; f.target.Close(); list.Close() })
	f.await(t, "healthy", 2*time.Second)
	return f
}

func (f *fake) entry(status string) membership.ListedInstance {
	addr := strings.TrimPrefix(f.target.URL, "http://")
	return membership.ListedInstance{ID: "t1", Role: membership.RoleTarget, Service: "s", DataCentre: "dc1", Address: addr, Status: status}
}

func (f *fake) status() string {
	all := f.watcher.Targets("s")
	if len(all) == 0 {
		return "none"
	}
	return all[0].Status.String()
}

func (f *fake) await(t *testing.T, want string, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); f.status() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s after %s, want %s", f.status(), within, want)
		}
	}
}

func (f *fake) stays(t *testing.T, want string, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got := f.status(); got != want {
			t.Fatalf("%s, want %s throughout", got, want)
		}
	}
}

// Guards against a leaving target that is seen late or comes back by a list
// that lags, and against its next process staying out.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.set(func() { f.health = "leaving" })
	f.await(t, "leaving", time.Second)
	f.set(func() { f.health = "ok" })
	f.stays(t, "leaving", 1200*time.Millisecond)
	f.set(func() { f.incarnation = "2" })
	f.await(t, "healthy", time.Second)
	f.set(func() { f.list = []membership.ListedInstance{f.entry(membership.StatusLeaving)} })
	f.await(t, "leaving", time.Second)
	f.set(func() { f.list = []membership.ListedInstance{f.entry(membership.StatusLive)} })
	f.stays(t, "leaving", 1200*time.Millisecond)
}

// Guards against a list that removes a target that answers, and against one
// that has ended and stays.
func TestUnlistedTarget(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.set(func() { f.list = nil })
	f.stays(t, "healthy", 1200*time.Millisecond)
	f.target.Close()
	f.await(t, "none", time.Second)
}

// Guards against slow start that is skipped after an outage or a restart, and
// against load reports that count when they are old or missing.
func TestOutageRestartAndReports(t *testing.T) {
	t.Parallel()
	f := start(t)
	first := f.watcher.Targets("s")[0].HealthySince
	f.set(func() { f.health = "failing" })
	f.await(t, "down", 3*time.Second)
	f.set(func() { f.health = "ok" })
	f.await(t, "healthy", time.Second)
	second := f.watcher.Targets("s")[0].HealthySince
	if !second.After(first) {
		t.Errorf("healthy since %s after the outage, %s before", second, first)
	}
	f.set(func() { f.incarnation, f.reports = "2", false })
	time.Sleep(time.Second)
	if got := f.watcher.Targets("s")[0]; !got.HealthySince.After(second) || got.ReportedLoad != 0.25 {
		t.Errorf("after the restart: %+v", got)
	}
	time.Sleep(reportFreshFor)
	if got := f.watcher.Targets("s")[0].ReportedLoad; got != unknownLoad {
		t.Errorf("load %v without a fresh report", got)
	}
}
