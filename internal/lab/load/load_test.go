package load

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/lab/answer"
	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// Guards against a plan that differs between runs with one seed, or whose
// rate or shares are not the ones that were asked for.
func TestPlanFollowsSeedRateAndShares(t *testing.T) {
	s := &Settings{Seed: 7, Rate: 1000, Routes: []Route{{Name: "a", Share: 3}, {Name: "b", Share: 1}}}
	s.setDefaults()
	one, two := newPlanner(s, "x", 0), newPlanner(s, "x", 0)
	count := map[string]int{}
	var last call
	const calls = 20_000
	for range calls {
		last = one.next()
		if other := two.next(); other != last {
			t.Fatalf("same seed, different calls: %+v and %+v", last, other)
		}
		count[last.route.Name]++
	}
	if rate := calls / last.at.Seconds(); math.Abs(rate-1000) > 50 {
		t.Errorf("rate %.0f, want about 1000", rate)
	}
	if share := float64(count["a"]) / calls; math.Abs(share-0.75) > 0.02 {
		t.Errorf("share of a is %.3f, want about 0.75", share)
	}
}

// Guards against a client that retries a request which may have run, and
// against one that gives up on a request which certainly did not run.
func TestRetryRules(t *testing.T) {
	get, post := &Route{Method: "GET"}, &Route{Method: "POST"}
	once := &Route{Method: "POST", AtMostOnce: true}
	tests := []struct {
		route        *Route
		kind, didRun string
		again        bool
	}{
		{get, "", "yes", false},
		{get, "queue_full", "no", true},
		{get, "unknown_shift", "no", false},
		{post, kindConnectFailed, "no", true},
		{post, kindConnectionLost, "unknown", false},
		{get, kindConnectionLost, "unknown", true},
		{once, kindConnectionLost, "unknown", true},
		{once, "outcome_unknown", "unknown", false},
		{once, "shift_cap_reached", "no", true},
		{get, "deadline_exceeded", "unknown", false},
		{get, "stopping", "no", true},
	}
	for _, tt := range tests {
		v := decideRetry(tt.route, outcome{rec: journal.Caller{Kind: tt.kind, DidRun: tt.didRun}})
		if v.retry != tt.again {
			t.Errorf("%s once=%t %q: again=%t, want %t", tt.route.Method, tt.route.AtMostOnce, tt.kind, v.retry, tt.again)
		}
	}
}

// Guards against coordinated omission: a closed loop sends nothing during a
// pause, so the uncorrected histogram hides the pause.
func TestCorrectedHistogramShowsPause(t *testing.T) {
	h := newHistogram()
	for range 1000 {
		_ = h.RecordValue(1000)
	}
	_ = h.RecordValue(1_000_000)
	if raw, fixed := h.ValueAtPercentile(90), corrected(h).ValueAtPercentile(90); raw > 1100 || fixed < 500_000 {
		t.Fatalf("p90 raw %d, corrected %d; want about 1000 and at least 500000", raw, fixed)
	}
}

// fakeEntry answers look-ups and requests. It refuses the first requests if
// refuse is set and answers with the body of another call if crossed is set.
type fakeEntry struct {
	address string
	lookups int
	crossed bool
	refuse  int
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	uri := r.RequestURI
	switch {
	case r.URL.Path == "/lookup":
		f.lookups++
		w.Header().Set("Cache-Control", "max-age=60")
		fmt.Fprintf(w, `{"entries":[{"address":"127.0.0.1:1"},{"address":%q}],"key_prefix":"dc1~"}`, f.address)
		return
	case f.refuse > 0:
		f.refuse--
		w.Header().Set("Fescue-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"kind":"queue_full","did_run":"no"}`)
		return
	case f.crossed:
		uri += "0"
	}
	_, _ = w.Write(answer.Body("r", uri, 0))
}

func runAgainst(t *testing.T, f *fakeEntry) (Summary, []journal.Caller) {
	t.Helper()
	srv := httptest.NewServer(f)
	defer srv.Close()
	f.address = strings.TrimPrefix(srv.URL, "http://")
	s := Settings{
		Entries:  []string{f.address},
		Workers:  1,
		Duration: document.Duration(300 * time.Millisecond),
		Journal:  t.TempDir() + "/journal",
		Routes:   []Route{{Service: "s", Path: "/a", AtMostOnce: true}},
	}
	s.setDefaults()
	sum, err := Run(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	recs, err := journal.Read[journal.Caller](s.Journal)
	if err != nil || len(recs) == 0 {
		t.Fatalf("journal: %d records, %v", len(recs), err)
	}
	return sum, recs
}

// Guards against a client that does not fail over to the next entry, omits
// the key prefix, or accepts the answer to another request.
func TestCallerAgainstEntry(t *testing.T) {
	f := &fakeEntry{refuse: 1}
	sum, recs := runAgainst(t, f)
	if sum.All.OK == 0 || sum.All.OK != sum.All.Calls || sum.All.Wrong != 0 {
		t.Fatalf("summary %+v", sum.All)
	}
	if recs[0].Kind != kindConnectFailed || recs[1].Kind != "queue_full" || recs[2].Kind != "" {
		t.Fatalf("attempts ended with %q, %q, %q", recs[0].Kind, recs[1].Kind, recs[2].Kind)
	}
	for _, r := range recs {
		if !strings.HasPrefix(r.Key, "dc1~") {
			t.Fatalf("key %q lacks the prefix", r.Key)
		}
	}
	sum, recs = runAgainst(t, &fakeEntry{crossed: true})
	if sum.All.OK != 0 || sum.All.Wrong != sum.All.Calls || recs[1].Wrong == "" {
		t.Fatalf("crossed answers passed: %+v", sum.All)
	}
}
