package dispatch

import (
	"math"
	"time"
)

const (
	runStatsWeight = 0.08 // of a new running time
	// runSamples is how many running times make a mean usable.
	minRunSamples = 4
	// affinityGain is how much longer a run without the object must take so that
	// objects count at all.
	minAffinityGain = 1.25
	// assumedGain is what the document's word that objects count is taken for
	// until it is measured.
	assumedAffinityGain = 2
)

// logMean is an exponentially weighted geometric mean of running times: a few
// very long ones hardly move it.
type logMean struct {
	value float64 // of the logarithm of seconds
	n     int
}

func (m *logMean) add(d time.Duration) {
	m.n++
	v := math.Log(max(d.Seconds(), 1e-6))
	m.value += (v - m.value) * max(runStatsWeight, 1/float64(m.n))
}

// meanIfAny returns the mean, or 0 without any running time.
func (m *logMean) meanOrZero() time.Duration {
	if m.n == 0 {
		return 0
	}
	return m.mean()
}

func (m *logMean) usable() bool { return m.n >= minRunSamples }

func (m *logMean) mean() time.Duration {
	return time.Duration(math.Exp(m.value) * float64(time.Second))
}

// runStats holds the typical running times of one route in a pool.
type runStats struct {
	all      logMean
	uncached logMean // at targets that had not handled the object
	cached   logMean // at targets that should have had it at hand
}

// typical returns the running times at a target that has a request's object at
// hand and at one that has not; both are 0 while nothing is known, and equal
// if objects do not count.
func (s *runStats) typical() (cached, uncached time.Duration) {
	switch {
	case !s.uncached.usable() && !s.cached.usable():
		if s.all.n == 0 {
			return 0, 0
		}
		return s.all.mean() / assumedAffinityGain, s.all.mean()
	case !s.cached.usable():
		return s.uncached.mean() / assumedAffinityGain, s.uncached.mean()
	case !s.uncached.usable():
		return s.cached.mean(), assumedAffinityGain * s.cached.mean()
	}
	cached, uncached = s.cached.mean(), s.uncached.mean()
	if uncached <= time.Duration(minAffinityGain*float64(cached)) {
		return s.all.mean(), s.all.mean()
	}
	return cached, uncached
}

// wasAtHand tells from a running time whether the target had the object, or
// false if that cannot be told.
func (s *runStats) wasCached(d time.Duration) (cached, known bool) {
	if cachedRun, uncachedRun := s.typical(); cachedRun == uncachedRun || !s.uncached.usable() || !s.cached.usable() {
		return false, false
	}
	midpoint := (s.uncached.value + s.cached.value) / 2
	return math.Log(max(d.Seconds(), 1e-6)) < midpoint, true
}

const (
	capacityBucket  = 4   // distances that are judged together
	capacityWeight  = 0.2 // of a new observation
	capacitySamples = 3   // observations of a bucket that count
)

// keeps learns how many objects a target keeps at hand, from objects that were,
// or were no longer, at hand at their distance.
type capacityEstimate struct {
	share [maxTrackedObjects / capacityBucket]float64 // of the objects that were at hand
	n     [maxTrackedObjects / capacityBucket]int
	limit int // 0: not known yet
}

// learn takes over that an object at a distance was at hand or not.
func (k *capacityEstimate) observe(reuseDistance int, cached bool) {
	b := min(reuseDistance/capacityBucket, len(k.share)-1)
	sample := 0.0
	if cached {
		sample = 1
	}
	k.n[b]++
	k.share[b] += (sample - k.share[b]) * max(capacityWeight, 1/float64(k.n[b]))
	k.limit = 0
	for i := range k.share {
		if k.n[i] >= capacitySamples && k.share[i] < 0.5 {
			k.limit = max(i*capacityBucket, 1)
			return
		}
	}
}

// most returns the number of objects that a target keeps, as far as it is
// known.
func (k *capacityEstimate) objects() int {
	if k.limit == 0 {
		return maxTrackedObjects
	}
	return k.limit
}
