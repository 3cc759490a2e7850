package spill

import (
	"math"
	"sync"
	"time"
)

// DefaultShiftWindow is the span over which shares are compared.
const DefaultRegionShiftWindow = 2 * time.Second

const (
	// shareMargin is the part of the share that may move that requests get at
	// once. While they use it, the shares follow, so that twice as much moves
	// within a window; the rest is for the differences between entries.
	shiftCreditFactor = 0.45
	// fewRequests in a window say little about shares.
	minWeightedRequests = 20
	// enoughRequests within half a window keep the allowances whole: below, what
	// fades of them matters.
	sparseRequests = 40
	// shareBurst is how many requests may be run beyond a share in a row.
	maxAllowance = 2
)

// Shares bounds how fast the requests of an entry move between regions: of the
// requests of a window, at most a share runs in other regions than those of the
// window before did. Regions that get many requests at once meet them with cold
// caches and turn part of them away. It is safe for concurrent use.
//
// Each request gives every region its lately share of an allowance, and a common
// one the share that may move. A request that is run takes one from its region's,
// or else from the common one.
type RegionShiftLimiter struct {
	ownRegion string
	maxCredit float64 // share that may move
	window    time.Duration

	mu              sync.Mutex
	updatedAt       time.Time
	recentRuns      map[string]float64 // requests, fading within half a window
	allowances      map[string]float64 // allowances of the regions
	sharedAllowance float64
}

// NewShares returns a limiter for the entries of a region. most is the share of
// the requests that may move from one window to the next; 0 bounds nothing.
func NewRegionShiftLimiter(ownRegion string, maxShare float64, window time.Duration) *RegionShiftLimiter {
	return &RegionShiftLimiter{
		ownRegion: ownRegion, maxCredit: maxShare * shiftCreditFactor, window: window,
		recentRuns: map[string]float64{ownRegion: minWeightedRequests}, allowances: map[string]float64{ownRegion: maxAllowance}, sharedAllowance: maxAllowance / 2,
	}
}

// fade lets the requests of earlier windows count less. An entry that has run
// few requests counts as having run them in its own region.
func (s *RegionShiftLimiter) decay(now time.Time) {
	passed := now.Sub(s.updatedAt)
	if passed <= 0 {
		return
	}
	s.updatedAt = now
	kept := s.decayFactor(passed)
	total := 0.0
	for region := range s.recentRuns {
		s.recentRuns[region] *= kept
		s.allowances[region] *= kept
		total += s.recentRuns[region]
	}
	s.recentRuns[s.ownRegion] += max(0, minWeightedRequests-total)
}

// totalRan returns the requests that ran lately, in all regions.
func (s *RegionShiftLimiter) totalRecentRuns() float64 {
	total := 0.0
	for _, ran := range s.recentRuns {
		total += ran
	}
	return total
}

func (s *RegionShiftLimiter) decayFactor(passed time.Duration) float64 {
	return math.Exp(-2 * passed.Seconds() / s.window.Seconds())
}

// Arrived notes a request that needs a region.
func (s *RegionShiftLimiter) RecordArrival(now time.Time) { s.addAllowances(now, 1) }

// Refused notes that a request that arrived was run nowhere.
func (s *RegionShiftLimiter) RecordRefusal(now time.Time) { s.addAllowances(now, -1) }

// allowFor adds to the allowances what n requests are worth.
func (s *RegionShiftLimiter) addAllowances(now time.Time, n float64) {
	if s.maxCredit <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	total := s.totalRecentRuns()
	for region, ran := range s.recentRuns {
		s.allowances[region] = min(s.allowances[region]+n*ran/total, maxAllowance)
	}
	s.sharedAllowance = min(s.sharedAllowance+n*s.maxCredit, maxAllowance)
}

// May reports whether a request may run in a region. Where no region has a whole
// request left, none is barred. With few requests only the region that has most is
// not: allowances fade, so that there is often none with a whole one, and a free
// choice would move more than the share.
func (s *RegionShiftLimiter) Allows(region string) bool {
	if s.maxCredit <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sharedAllowance >= 1 || s.allowances[region] >= 1 {
		return true
	}
	total := s.totalRecentRuns()
	for _, a := range s.allowances {
		if a >= 1 || total < sparseRequests && a > s.allowances[region] {
			return false
		}
	}
	return true
}

// Ran notes that a request is run in a region. The result takes it back, for
// one that was refused there.
func (s *RegionShiftLimiter) RecordRun(now time.Time, region string) (undo func(now time.Time)) {
	if s.maxCredit <= 0 {
		return func(time.Time) {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.recentRuns[region]++
	ownAllowance := s.allowances[region] >= 1
	s.charge(region, ownAllowance, 1)
	return func(then time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recentRuns[region] = max(0, s.recentRuns[region]-s.decayFactor(then.Sub(now)))
		s.charge(region, ownAllowance, -1)
	}
}

func (s *RegionShiftLimiter) charge(region string, fromOwnAllowance bool, n float64) {
	if fromOwnAllowance {
		s.allowances[region] = min(s.allowances[region]-n, maxAllowance)
		return
	}
	s.sharedAllowance = min(s.sharedAllowance-n, maxAllowance)
}
