package target

import (
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/lab/answer"
	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

type fixture struct {
	*httptest.Server
	path string
}

func start(t *testing.T, spec Spec) fixture {
	t.Helper()
	spec.ID = "t1"
	spec.setDefaults()
	path := filepath.Join(t.TempDir(), "journal")
	j, err := journal.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(New(spec, 1, j).Handler())
	t.Cleanup(srv.Close)
	return fixture{Server: srv, path: path}
}

func (f fixture) get(t *testing.T, uri, id string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, f.URL+uri, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headerRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func (f fixture) control(t *testing.T, body string) {
	t.Helper()
	resp, err := http.Post(f.URL+"/-/control", "application/json", strings.NewReader(body))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("control %s: %v %v", body, resp, err)
	}
	resp.Body.Close()
}

func (f fixture) events(t *testing.T) map[journal.Event]int {
	t.Helper()
	recs, err := journal.Read[journal.Target](f.path)
	if err != nil {
		t.Fatal(err)
	}
	out := map[journal.Event]int{}
	for _, r := range recs {
		out[r.Event]++
	}
	return out
}

// Guards against a target that runs more requests than it has slots, or that
// runs a request which it reports as not run.
func TestShedsOverSlots(t *testing.T) {
	f := start(t, Spec{Slots: 2, Work: document.Duration(200 * time.Millisecond)})
	var wg sync.WaitGroup
	var mu sync.Mutex
	notRun := 0
	for range 5 {
		wg.Go(func() {
			resp, _, err := f.get(t, "/a", "r")
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if resp.Header.Get(headerNotRun) == "true" {
				notRun++
			}
		})
	}
	wg.Wait()
	got := f.events(t)
	if notRun != 3 || got[journal.Start] != 2 || got[journal.Finish] != 2 || got[journal.Shed] != 3 {
		t.Fatalf("%d not run, journal %v; want 3, 2 starts, 2 finishes, 3 sheds", notRun, got)
	}
}

// Guards against a queue that runs more requests than there are slots, or
// never starts a queued request.
func TestQueueHandsSlotsOver(t *testing.T) {
	f := start(t, Spec{Slots: 2, Queue: 10, Work: document.Duration(20 * time.Millisecond)})
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			if resp, _, err := f.get(t, "/a", "r"); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%v, %v", resp, err)
			}
		})
	}
	wg.Wait()
	recs, err := journal.Read[journal.Target](f.path)
	if err != nil || len(recs) != 20 {
		t.Fatalf("%d records, %v; want 20", len(recs), err)
	}
	for _, r := range recs {
		if r.InProgress > 2 {
			t.Fatalf("%d in progress in 2 slots", r.InProgress)
		}
	}
}

// Guards against injected faults that the answer check of the caller misses,
// and against a check that rejects a correct answer.
func TestFaults(t *testing.T) {
	f := start(t, Spec{Slots: 4, Work: document.Duration(time.Millisecond)})
	_, body, err := f.get(t, "/a?b=1", "r1")
	if id, cerr := answer.Check(body, "/a?b=1"); err != nil || cerr != nil || id != "r1" {
		t.Fatalf("whole answer: id %q, %v, %v", id, err, cerr)
	}
	f.control(t, `{"short":"broken"}`)
	if _, _, err := f.get(t, "/a", "r2"); err == nil {
		t.Fatal("a broken answer ended cleanly")
	}
	f.control(t, `{"short":"clean"}`)
	_, body, err = f.get(t, "/a", "r3")
	if _, cerr := answer.Check(body, "/a"); err != nil || cerr == nil {
		t.Fatalf("short clean answer: %v, %v", err, cerr)
	}
	f.control(t, `{"short":"","swap":true}`)
	var wg sync.WaitGroup
	for _, id := range []string{"x", "y"} {
		wg.Go(func() {
			resp, body, err := f.get(t, "/"+id, id)
			if err != nil {
				t.Error(err)
				return
			}
			if _, cerr := answer.Check(body, "/"+id); cerr == nil || resp.Header.Get(headerRequestID) == id {
				t.Errorf("answer to %s was not swapped: id %q, %v", id, resp.Header.Get(headerRequestID), cerr)
			}
		})
	}
	wg.Wait()
}

// Guards against a load report that shows a change before its lag has passed,
// and against a control request that resets fields which it leaves out.
func TestReportLagAndPartialControl(t *testing.T) {
	now := time.Now().UnixMilli()
	target := New(Spec{ID: "t1", Slots: 3, ReportLag: document.Duration(5 * time.Second)}, 1, &journal.Writer{})
	target.history = []Report{{InProgress: 1, Time: now - 6000}, {InProgress: 2, Time: now - 4000}}
	if got := target.loadReport().InProgress; got != 1 {
		t.Fatalf("report shows %d in progress, want 1", got)
	}
	f := start(t, Spec{Slots: 1})
	f.control(t, `{"leaving":true}`)
	f.control(t, `{"slow_factor":2}`)
	_, body, err := f.get(t, "/-/health", "")
	if err != nil || !strings.Contains(string(body), "leaving") {
		t.Fatalf("health = %s, %v; want leaving", body, err)
	}
}

// Guards against a target that does not send what the script sets: on answers of every
// kind that it leaves, and a pause in place of running a request, whatever its value.
func TestAnnouncements(t *testing.T) {
	f := start(t, Spec{Slots: 1, Work: document.Duration(time.Millisecond)})
	expect := func(status int, leaving, pause string) {
		t.Helper()
		resp, _, err := f.get(t, "/a", "r")
		if err != nil || resp.StatusCode != status || resp.Header.Get(headerLeaving) != leaving || resp.Header.Get(headerPause) != pause {
			t.Fatalf("%v, %v; want status %d, leaving %q, pause %q", resp, err, status, leaving, pause)
		}
	}
	expect(http.StatusOK, "", "")
	f.control(t, `{"announce_leaving":true}`)
	expect(http.StatusOK, "true", "")
	f.control(t, `{"fail":true}`)
	expect(http.StatusInternalServerError, "true", "")
	f.control(t, `{"fail":false,"pause":"tomorrow"}`)
	expect(http.StatusServiceUnavailable, "true", "tomorrow")
	f.control(t, `{"announce_leaving":false,"pause":"60000"}`)
	expect(http.StatusServiceUnavailable, "", "60000")
	if _, body, err := f.get(t, "/-/health", ""); err != nil || !strings.Contains(string(body), "ok") {
		t.Fatalf("health = %s, %v; want ok", body, err)
	}
	got := f.events(t)
	if got[journal.Start] != 3 || got[journal.Pause] != 2 || got[journal.Probe] != 1 || got[journal.Leaving] != 1 || got[journal.Returned] != 1 {
		t.Errorf("journal %v", got)
	}
}
