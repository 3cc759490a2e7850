package state

import (
	"strings"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"google.golang.org/protobuf/proto"
)

// Guards against malformed evidence that is replicated, against evidence that changes
// nothing but creates a version, which every entry would put in force, and against an
// answer that clears a later crash.
func TestSuspectsCommand(t *testing.T) {
	m := New()
	apply := func(index uint64, c *fescuepb.SuspectsChange) error {
		data, _ := proto.Marshal(&fescuepb.Command{Body: &fescuepb.Command_Suspects{Suspects: c}})
		var res fescuepb.CommandResult
		if err := proto.Unmarshal(m.Apply(index, data), &res); err != nil {
			t.Fatal(err)
		}
		return ResultError(&res)
	}
	id := quarantine.Fingerprint(1).String()
	crash := &fescuepb.SuspectsChange{Crashes: []*fescuepb.TargetCrash{{Target: "t/1", Suspects: []string{id}}}}
	for i, c := range []*fescuepb.SuspectsChange{crash, crash, {Cleared: []string{"x"}}, {Claims: []string{id}, Instance: "e"}, {TrialsDue: []string{id}}} {
		if err := apply(uint64(i+1), c); err != nil || m.Version() != 1 {
			t.Errorf("command %d: version %d, %v", i, m.Version(), err)
		}
	}
	for _, c := range []*fescuepb.SuspectsChange{
		{Crashes: []*fescuepb.TargetCrash{{Suspects: []string{id}}}},
		{Crashes: []*fescuepb.TargetCrash{{Target: "t", Suspects: []string{"deadly"}}}},
		{Instance: strings.Repeat("e", MaxNameBytes+1)},
		{Cleared: make([]string, maxSuspectItems+1)},
	} {
		if err := apply(9, c); errkind.Of(err) != errkind.BadRequest || m.Version() != 1 {
			t.Errorf("version %d, %v", m.Version(), err)
		}
	}
	again := &fescuepb.SuspectsChange{Cleared: []string{id}, Crashes: []*fescuepb.TargetCrash{{Target: "u/1", Suspects: []string{id}}}}
	if err := apply(10, again); err != nil || len(m.Suspects()) != 1 || len(m.Suspects()[0].Crashes) != 1 {
		t.Errorf("%v after an answer and a later crash, %v", m.Suspects(), err)
	}
	if err := apply(11, &fescuepb.SuspectsChange{Cleared: []string{id}}); err != nil || m.Version() != 11 || len(m.Suspects()) != 0 {
		t.Errorf("version %d with %v, %v", m.Version(), m.Suspects(), err)
	}
}
