package operator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// withManyEntries adds 180 live entries in nine data centres of three regions. One is behind,
// one leaves and one has not reported for a while.
func (h *harness) withManyEntries() {
	for r, region := range []string{"ernakulam", "malabar", "venad"} {
		for d := range 3 {
			for i := range 20 {
				dc := fmt.Sprintf("%s-%d", region, d)
				s := &fescuepb.InstanceStatus{
					Member: &fescuepb.Member{Instance: fmt.Sprintf("%s-%d", dc, i), Region: region, DataCentre: dc, Role: fescuepb.Role_ROLE_ENTRY},
					Alive:  true, LastHeardMs: int64(100 * r), VersionInForce: h.version,
				}
				switch s.Member.Instance {
				case "malabar-1-7":
					s.VersionInForce--
				case "malabar-1-8":
					s.Member.Leaving = true
				case "venad-2-3":
					s.LastHeardMs = 9000
				}
				h.more = append(h.more, s)
			}
		}
	}
}

// Guards against a status of hundreds of instances in which an operator does not find the
// few that differ.
func TestStatusOfManyInstances(t *testing.T) {
	h := newHarness(t)
	h.withManyEntries()
	text := h.runExpect(ExitOK, argList("status"),
		"malabar    malabar-1    20 of 20", "20 of 20      0 of 0        1 to 2", "6 of 187 instances differ", "malabar-1-7", "malabar-1-8", "leaving", "venad-2-3", "9s ago", "kochi-1b", "not heard")
	if strings.Contains(text, "ernakulam-0-1 ") || strings.Count(text, "\n") > 40 {
		t.Errorf("instances that do not differ are listed:\n%s", text)
	}
	h.runExpect(ExitOK, argList("status", "--all"), "ernakulam-0-11", "venad-2-19")
	text = h.runExpect(ExitOK, argList("status", "--region", "malabar", "--data-centre", "malabar-1"), "malabar-1-19")
	if strings.Contains(text, "malabar-0") || strings.Contains(text, "venad") || strings.Contains(text, "kochi") {
		t.Errorf("instances of other places are listed:\n%s", text)
	}
	if n := strings.Count(h.runExpect(ExitOK, argList("status", "--region", "venad", "--output", "json")), `"instance"`); n != 60 {
		t.Errorf("%d instances in the JSON output of a region with 60", n)
	}
	h.runExpect(ExitUsage, argList("status", "--region", "malbar"), `"malbar"`)
}
