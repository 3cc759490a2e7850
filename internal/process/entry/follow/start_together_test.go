package follow

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// Guards against entries that get versions late after they have changed their source to
// one that is a version behind them: entries that start during a release follow control
// first and then move to relays.
func TestVersionsArriveAfterChangeOfSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, fewRoutes)
		s.narrow()
		var changes []change
		stop := time.Now().Add(25 * time.Second)
		go func() {
			for i := 0; time.Now().Before(stop); i++ {
				_ = s.control.propose(&fescuepb.Command{Body: &fescuepb.Command_Targets{Targets: &fescuepb.TargetsChange{
					Set: []*fescuepb.Target{{Id: fmt.Sprint("t", i%50), Software: fmt.Sprint(i), Service: "roster", DataCentre: "dc1"}}}}})
				if time.Since(stop) > -20*time.Second { // after the start
					changes = append(changes, change{time.Now(), s.control.machine.Version()})
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
		s.startEntries(20)
		s.run(30 * time.Second)
		var slowest time.Duration
		var lapsed time.Duration
		late := 0
		for _, e := range s.entries {
			for _, c := range changes {
				at, ok := e.inForceAt(c)
				if d := at.Sub(c.at); !ok || d > time.Second {
					late++
					slowest = max(slowest, d)
				}
			}
			lapsed = max(lapsed, e.lapsedSince(stop.Add(-20*time.Second)))
		}
		t.Logf("%d of %d versions late, slowest %v; an entry was unconfirmed for at most %v", late, len(changes)*len(s.entries), slowest, lapsed)
		if late > 0 || lapsed > 0 {
			t.Errorf("%d versions were in force more than 1 s after the change, at the latest after %v; an entry was unconfirmed for %v", late, slowest, lapsed)
		}
	})
}

// Guards against entries that start late after all processes of a data centre were killed.
func TestManyEntriesStartTogether(t *testing.T) {
	for _, routes := range []int{manyRoutes, 4008} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, routes)
				c := change{time.Now(), s.control.machine.Version()}
				s.narrow()
				s.startEntries(20)
				s.run(20 * time.Second)
				s.expectInForce(startWithin, s.entries, c)
				s.expectConfirmedOnceInForce(startWithin, c)
				var most int64
				for _, e := range s.entries {
					most = max(most, e.down.passed.Load())
				}
				t.Logf("at most %d bytes received by an entry", most)
			})
		})
	}
}
