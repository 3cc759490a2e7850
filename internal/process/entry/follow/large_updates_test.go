package follow

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// Guards against the outage of TestLargeConfigurationOnNarrowLinks for content and sizes
// that pages do not divide: the counter must reach the entries while it is on its way.
func TestLargeUpdatesOnNarrowLinks(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*testing.T)
	}{
		{"removal of 4000 routes", func(t *testing.T) {
			s := newRunningSiteOf(t, 20, 4008)
			s.expectWithoutOutage(s.change(fewRoutes, usualWeight))
		}},
		{"section of shifts", func(t *testing.T) {
			s := newRunningSiteOf(t, 20, fewRoutes)
			s.expectWithoutOutage(s.setShifts(t, 0, 1))
		}},
		{"one shift of many", func(t *testing.T) {
			s := newSite(t, fewRoutes)
			s.setShifts(t, 0, 1)
			s.startEntries(20)
			s.run(30 * time.Second)
			s.narrow()
			s.expectWithoutOutage(s.setShifts(t, 1, 2))
		}},
		{"1400 routes at 20 entries", func(t *testing.T) {
			s := newRunningSiteOf(t, 20, fewRoutes)
			s.expectWithoutOutage(s.change(manyRoutes, usualWeight))
		}},
		{"4000 routes at 20 entries", func(t *testing.T) {
			s := newRunningSiteOf(t, 20, fewRoutes)
			s.expectWithoutOutage(s.change(4008, usualWeight))
		}},
		{"1400 routes at 20 entries during a release", func(t *testing.T) {
			s := newRunningSiteOf(t, 20, fewRoutes)
			go func() {
				for i := range 100 {
					_ = s.control.propose(&fescuepb.Command{Body: &fescuepb.Command_Targets{Targets: &fescuepb.TargetsChange{
						Set: []*fescuepb.Target{{Id: fmt.Sprint("t", i), Service: "roster", DataCentre: "dc1"}}}}})
					time.Sleep(50 * time.Millisecond)
				}
			}()
			s.expectWithoutOutage(s.change(manyRoutes, usualWeight))
		}},
		{"1400 routes at 60 entries", func(t *testing.T) {
			s := newRunningSiteOf(t, 60, fewRoutes)
			s.expectWithoutOutage(s.change(manyRoutes, usualWeight))
		}},
		{"removal of 1400 routes at 60 entries", func(t *testing.T) {
			s := newRunningSiteOf(t, 60, manyRoutes)
			s.expectWithoutOutage(s.change(fewRoutes, usualWeight))
		}},
		{"one shift of many at 60 entries", func(t *testing.T) {
			s := newSite(t, fewRoutes)
			s.setShifts(t, 0, 1)
			s.startEntries(60)
			s.run(30 * time.Second)
			s.narrow()
			s.expectWithoutOutage(s.setShifts(t, 1, 2))
		}},
	} {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

// setShifts replaces a section of 20,000 shifts, 0.9 MB, of which the last has a cap.
func (s *site) setShifts(t *testing.T, revision uint64, last int) change {
	var y bytes.Buffer
	y.WriteString("team: rota\nshifts:\n")
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 20000 {
		c := 1
		if i == 19999 {
			c = last
		}
		fmt.Fprintf(&y, "  - {name: shift-%012x, cap: %d}\n", random.Uint64()>>16, c)
	}
	if err := s.control.setSection("rota", revision, y.Bytes()); err != nil {
		t.Fatal(err)
	}
	return change{time.Now(), s.control.machine.Version()}
}

func (s *site) expectWithoutOutage(c change) {
	s.t.Helper()
	s.run(10 * time.Second)
	s.expectInForce(changeWithin, s.entries, c)
	var most int64
	var unconfirmed time.Duration
	for _, e := range s.entries {
		most = max(most, e.sourceChanges()-e.sources)
		unconfirmed = max(unconfirmed, e.lapsedSince(c.at))
	}
	s.t.Logf("an entry left or changed its source at most %d times and was unconfirmed for at most %v", most, unconfirmed)
	if most > 0 {
		s.t.Errorf("an entry left or changed its source %d times", most)
	}
}
