package dispatch

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// simSeconds is the virtual duration of a simulation. The default keeps a run
// under the race detector short; published measurements use longer ones.
var simSeconds = flag.Int("sim.seconds", 3, "virtual seconds of a simulation")
var simSeed = flag.Uint64("sim.seed", 1, "seed of a simulation")

var runTimeDistributions = map[string]func(*rand.Rand) time.Duration{
	"exponential": exponential,
	"half fixed":  halfFixed,
}

var simMean = flag.Duration("sim.mean", 10*time.Millisecond, "mean running time of a short request in a simulation")

func highLoadSim(service string) sim {
	return sim{targets: 12, slots: 7, load: 0.9, runTime: runTimeDistributions[service], deadline: 5 * time.Second,
		duration: time.Duration(*simSeconds) * time.Second, warmup: time.Second, seed: *simSeed}
}

func moderateLoadSim(service string) sim {
	s := highLoadSim(service)
	s.slots, s.load = 3, 0.7
	return s
}

// eachService runs f as a subtest for each distribution of the running time.
func eachService(t *testing.T, f func(t *testing.T, service string)) {
	for service := range runTimeDistributions {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			f(t, service)
		})
	}
}

// compare runs s and fails if its 99th percentile is more than bound times that
// of base; a bound of 0 is not checked. It also fails if a target had more
// requests in flight than slots.
func (s *sim) compare(t *testing.T, name string, base *simResult, bound float64) {
	t.Helper()
	r := s.run()
	ratio := float64(r.quantile(0.99)) / float64(base.quantile(0.99))
	t.Logf("%s: %v, p99 ratio %.2f", name, r, ratio)
	if r.exceeded {
		t.Errorf("%s: slots exceeded", name)
	}
	if bound > 0 && ratio > bound {
		t.Errorf("%s: p99 ratio %.2f above %.2f", name, ratio, bound)
	}
}

// Guards against short requests that wait for slots held by stragglers. In the
// "same route" variant the dispatcher cannot tell them apart in advance, so its
// ratio is only logged.
func TestSimStragglers(t *testing.T) {
	variants := []struct {
		name, route string
		class       document.Class
		roundRobin  bool
		bound       float64
	}{
		{"marked", "history", document.Long, false, 1.2},
		{"unmarked", "history", document.Short, false, 1.2},
		{"same route", "short", document.Short, false, 0},
		{"round robin", "history", document.Long, true, 0},
	}
	eachService(t, func(t *testing.T, service string) {
		base := highLoadSim(service)
		without := base.run()
		t.Logf("%s, no stragglers: %v", service, without)
		for _, v := range variants {
			s := highLoadSim(service)
			s.stragglers, s.stragglerFactor, s.route, s.class, s.roundRobin = 0.05, 50, v.route, v.class, v.roundRobin
			s.compare(t, service+", "+v.name, without, v.bound)
		}
	})
}

func constantSlowdown(at time.Duration, i int) float64 {
	if at > 1500*time.Millisecond && i < 2 {
		return 10
	}
	return 1
}

// episodicSlowdown makes two targets ten times slower for 2 s in every 4 s, and
// two others each time.
func episodicSlowdown(at time.Duration, i int) float64 {
	if n := int(at / (2 * time.Second)); n%2 == 1 && (i == n%12 || i == (n+1)%12) {
		return 10
	}
	return 1
}

// Guards against a long latency tail while some targets are slow and their load
// reports are 5 s old.
func TestSimSlowTargets(t *testing.T) {
	variants := []struct {
		name       string
		slow       func(time.Duration, int) float64
		hedge      int
		roundRobin bool
		bound      float64
	}{
		{"constant", constantSlowdown, 0, false, 1.5},
		{"constant, hedged", constantSlowdown, 5, false, 1.5},
		{"constant, round robin", constantSlowdown, 0, true, 0},
		{"episodes", episodicSlowdown, 0, false, 1.5},
		{"episodes, hedged", episodicSlowdown, 5, false, 1.5},
		{"episodes, round robin", episodicSlowdown, 0, true, 0},
	}
	eachService(t, func(t *testing.T, service string) {
		base := moderateLoadSim(service)
		without := base.run()
		t.Logf("%s, undisturbed: %v", service, without)
		for _, v := range variants {
			s := moderateLoadSim(service)
			s.slow, s.set.HedgePercent, s.roundRobin, s.reportLag = v.slow, v.hedge, v.roundRobin, 5*time.Second
			s.compare(t, service+", "+v.name, without, v.bound)
		}
	})
}

// Guards against a loss of goodput under overload, which arises when slots are
// spent on requests that miss their deadline.
func TestSimOverload(t *testing.T) {
	eachService(t, func(t *testing.T, service string) {
		for _, deadline := range []time.Duration{30, 60} {
			peak, last := 0, 0
			for _, load := range []float64{1, 3} {
				s := moderateLoadSim(service)
				s.load, s.deadline = load, deadline*time.Millisecond
				s.duration = s.duration * 2 / 3
				r := s.run()
				if r.exceeded {
					t.Error("slots exceeded")
				}
				last = r.good
				peak = max(peak, last)
			}
			share := float64(last) / float64(peak)
			t.Logf("%s, deadline %d ms: goodput at load 3 is %.2f of the peak", service, deadline, share)
			if share < 0.9 {
				t.Errorf("%s, deadline %d ms: goodput %.2f of the peak, want 0.9", service, deadline, share)
			}
		}
	})
}
