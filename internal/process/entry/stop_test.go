package entry

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Guards against a planned stop that cuts off the longest requests that the
// document allows.
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
		if got := stopTimeout(snap); got <= c.longest+lingerTime {
			t.Errorf("%q: the stop ends after %v, requests may run %v", c.section, got, c.longest)
		}
	}
	if stopTimeout(nil) <= 0 {
		t.Error("no time to stop before the first version")
	}
}
