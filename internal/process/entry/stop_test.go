package entry

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
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

// Guards against a process that is killed at the end of Grace with requests in
// flight, and against requests that are accepted too late to end in time.
func TestStopWithinGrace(t *testing.T) {
	stop := Stop{Linger: document.Duration(defaultLinger), Grace: document.Duration(6 * time.Second)}
	if got := stop.timeout(nil) + caller.FinalResponseTime + leaveTimeout; got >= 6*time.Second {
		t.Errorf("the stop takes %v of 6s, with the last responses and the last report to control", got)
	}
	if got := stop.linger(); got > 3*time.Second {
		t.Errorf("requests are accepted for %v of 6s", got)
	}
}
