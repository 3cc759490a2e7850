package dispatch

import (
	"math"
	"time"
)

const (
	runStatWeight = 0.08 // of a new running time
	// runSamples is how many running times make a mean usable.
	runSamples = 4
	// affinityGain is how much longer a run without the object must take so that
	// objects count at all.
	affinityGain = 1.25
	// assumedGain is what the document's word that objects count is taken for
	// until it is measured.
	assumedGain = 2
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
	m.value += (v - m.value) * max(runStatWeight, 1/float64(m.n))
}

// meanIfAny returns the mean, or 0 without any running time.
func (m *logMean) meanIfAny() time.Duration {
	if m.n == 0 {
		return 0
	}
	return m.mean()
}

func (m *logMean) known() bool { return m.n >= runSamples }

func (m *logMean) mean() time.Duration {
	return time.Duration(math.Exp(m.value) * float64(time.Second))
}

// runStats holds the typical running times of one route in a pool.
type runStats struct {
	all   logMean
	first logMean // at targets that had not handled the object
	again logMean // at targets that should have had it at hand
}

// typical returns the running times at a target that has a request's object at
// hand and at one that has not; both are 0 while nothing is known, and equal
// if objects do not count.
func (s *runStats) typical() (atHand, without time.Duration) {
	switch {
	case !s.first.known() && !s.again.known():
		if s.all.n == 0 {
			return 0, 0
		}
		return s.all.mean() / assumedGain, s.all.mean()
	case !s.again.known():
		return s.first.mean() / assumedGain, s.first.mean()
	case !s.first.known():
		return s.again.mean(), assumedGain * s.again.mean()
	}
	atHand, without = s.again.mean(), s.first.mean()
	if without <= time.Duration(affinityGain*float64(atHand)) {
		return s.all.mean(), s.all.mean()
	}
	return atHand, without
}

// wasAtHand tells from a running time whether the target had the object, or
// false if that cannot be told.
func (s *runStats) wasAtHand(d time.Duration) (atHand, known bool) {
	if atHand, without := s.typical(); atHand == without || !s.first.known() || !s.again.known() {
		return false, false
	}
	between := (s.first.value + s.again.value) / 2
	return math.Log(max(d.Seconds(), 1e-6)) < between, true
}

const (
	keepsBucket  = 4   // distances that are judged together
	keepsWeight  = 0.2 // of a new observation
	keepsSamples = 3   // observations of a bucket that count
)

// keeps learns how many objects a target keeps at hand, from objects that were,
// or were no longer, at hand at their distance.
type keeps struct {
	share [maxObjects / keepsBucket]float64 // of the objects that were at hand
	n     [maxObjects / keepsBucket]int
	limit int // 0: not known yet
}

// learn takes over that an object at a distance was at hand or not.
func (k *keeps) learn(distance int, atHand bool) {
	b := min(distance/keepsBucket, len(k.share)-1)
	v := 0.0
	if atHand {
		v = 1
	}
	k.n[b]++
	k.share[b] += (v - k.share[b]) * max(keepsWeight, 1/float64(k.n[b]))
	k.limit = 0
	for i := range k.share {
		if k.n[i] >= keepsSamples && k.share[i] < 0.5 {
			k.limit = max(i*keepsBucket, 1)
			return
		}
	}
}

// most returns the number of objects that a target keeps, as far as it is
// known.
func (k *keeps) most() int {
	if k.limit == 0 {
		return maxObjects
	}
	return k.limit
}
