package entry

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Guards against a planned stop that aborts the longest requests that the document
// allows.
func TestStopOutlastsLongestRequest(t *testing.T) {
	for _, c := range []struct {
		section string
		longest time.Duration
	}{
		{"team: platform\n", time.Minute},
		{"team: platform\nlimits: {longest_deadline: 10m}\n", 10 * time.Minute},
	} {
		snap, err := snapshot.Build(1, []*fescuepb.Section{{Team: "platform", Yaml: []byte(c.section)}}, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		stop := Stop{Linger: document.Duration(defaultLinger)}
		if got := stop.timeout(snap); got <= c.longest+defaultLinger {
			t.Errorf("%q: the stop ends after %v, requests may run %v", c.section, got, c.longest)
		}
		if stop.timeout(nil) <= 0 {
			t.Error("the time to stop before the first version is not positive")
		}
	}
}

// Guards against three faults: a process that is killed at the end of Grace with
// requests in flight, requests that are accepted too late to end in time, and
// requests that are cut before the last sixth of Grace. With times after the last
// request that did not depend on Grace, a Grace of 4 s or less had the last fault.
func TestStopWithinGrace(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		stop := Stop{Linger: document.Duration(defaultLinger), Grace: document.Duration(grace)}
		requests, final := stop.timeout(nil), stop.final()
		if end := requests + final.responses + final.leave; end >= grace || final.responses <= 0 || final.leave <= 0 {
			t.Errorf("grace %v: the stop takes %v, with %v for the last responses and %v for the last report to control", grace, end, final.responses, final.leave)
		}
		if requests <= grace*5/6 {
			t.Errorf("grace %v: requests are cut after %v", grace, requests)
		}
		if got := stop.linger(); got <= 0 || got > grace/2 || got >= defaultLinger {
			t.Errorf("grace %v: requests are accepted for %v", grace, got)
		}
	}
}
