package dispatch

import (
	"math"
	"time"
)

const (
	runStatsWeight = 0.08 // weight of a new running time
	// minRunSamples is the number of running times from which a mean is usable.
	minRunSamples = 4
	// minAffinityGain is the ratio of the running time without the object to the
	// one with it in the cache, above which object affinity is used.
	minAffinityGain = 1.25
	// assumedAffinityGain is the ratio that is assumed until it is measured, since
	// the document declares that objects matter.
	assumedAffinityGain = 2
)

// logMean is an exponentially weighted geometric mean of running times, which a
// few very long ones hardly change.
type logMean struct {
	value float64 // mean of the logarithms of the running times in seconds
	n     int
}

func (m *logMean) add(d time.Duration) {
	m.n++
	v := math.Log(max(d.Seconds(), 1e-6))
	m.value += (v - m.value) * max(runStatsWeight, 1/float64(m.n))
}

// meanOrZero returns the mean, or 0 if there is no running time.
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
	uncached logMean // at targets that had not handled the object before
	cached   logMean // at targets that were expected to have the object cached
}

// typical returns the typical running times at a target that has the object of
// a request cached and at one that has not. Both are 0 while nothing is known,
// and equal if the object makes no relevant difference.
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

// wasCached infers from a running time whether the target had the object cached.
// known is false if that cannot be inferred.
func (s *runStats) wasCached(d time.Duration) (cached, known bool) {
	if cachedRun, uncachedRun := s.typical(); cachedRun == uncachedRun || !s.uncached.usable() || !s.cached.usable() {
		return false, false
	}
	midpoint := (s.uncached.value + s.cached.value) / 2
	return math.Log(max(d.Seconds(), 1e-6)) < midpoint, true
}

const (
	capacityBucket  = 4   // number of consecutive reuse distances that share one bucket
	capacityWeight  = 0.2 // weight of a new observation
	capacitySamples = 3   // observations that a bucket needs to count
)

// capacityEstimate estimates how many objects a target caches. For each bucket
// of reuse distances it holds the share of the requests whose object was still
// cached.
type capacityEstimate struct {
	share [maxTrackedObjects / capacityBucket]float64 // share of the objects that were cached
	n     [maxTrackedObjects / capacityBucket]int
	limit int // estimated number of cached objects; 0: unknown
}

// observe records whether an object with this reuse distance was cached. The
// capacity is the lowest distance at which fewer than half of the objects were.
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

// objects returns the estimated number of objects that a target caches, or
// maxTrackedObjects while it is unknown.
func (k *capacityEstimate) objects() int {
	if k.limit == 0 {
		return maxTrackedObjects
	}
	return k.limit
}
