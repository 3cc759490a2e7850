package spill

import (
	"math"
	"sync"
	"time"
)

// DefaultRegionShiftWindow is the length of the consecutive windows whose
// distributions of requests over regions are compared.
const DefaultRegionShiftWindow = 2 * time.Second

const (
	// shiftCreditFactor is the part of the configured share that is credited to
	// the shared allowance. As requests move, the allowances of the regions
	// follow the new distribution, so that about twice the credit moves within a
	// window. The remaining tenth covers differences between entries.
	shiftCreditFactor = 0.45
	// minWeightedRequests is the minimum for the sum of the recent requests;
	// missing ones count as run in the own region. Fewer requests say little
	// about the distribution over regions.
	minWeightedRequests = 20
	// sparseRequests is the sum of recent requests (decayed over half a window)
	// below which an entry counts as having few requests. The decay of the
	// allowances between two requests is then not negligible.
	sparseRequests = 40
	// maxAllowance caps each allowance, and with it the number of requests that
	// may exceed a share in a row.
	maxAllowance = 2
)

// RegionShiftLimiter limits how fast the requests of an entry move between
// regions: from one window to the next, the distribution of requests over
// regions may change by at most a configured share. Without the limit, a region
// that suddenly gets many requests has cold caches and refuses part of them. It
// is safe for concurrent use.
//
// The limiter works like a set of token buckets. Each arriving request adds one
// allowance in total to the regions, split by their shares of the recent
// requests, and maxCredit to a shared allowance. A request that is run takes 1
// from the allowance of its region, or from the shared one if that of the
// region is below 1.
type RegionShiftLimiter struct {
	ownRegion string
	maxCredit float64 // added to the shared allowance per request; 0: no limit
	window    time.Duration

	mu              sync.Mutex
	updatedAt       time.Time
	recentRuns      map[string]float64 // requests by region, decayed with a time constant of half a window
	allowances      map[string]float64 // by region
	sharedAllowance float64            // for requests that move between regions
}

// NewRegionShiftLimiter returns a limiter for an entry in ownRegion. maxShare is
// the share of the requests, 0 to 1, that may move from one window to the next;
// 0 means no limit.
func NewRegionShiftLimiter(ownRegion string, maxShare float64, window time.Duration) *RegionShiftLimiter {
	return &RegionShiftLimiter{
		ownRegion: ownRegion, maxCredit: maxShare * shiftCreditFactor, window: window,
		recentRuns: map[string]float64{ownRegion: minWeightedRequests}, allowances: map[string]float64{ownRegion: maxAllowance}, sharedAllowance: maxAllowance / 2,
	}
}

// decay reduces the weight of earlier requests and of the region allowances
// with the time passed. If fewer than minWeightedRequests remain, the missing
// ones are counted as run in the own region.
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

// totalRecentRuns returns the decayed number of requests run in all regions.
func (s *RegionShiftLimiter) totalRecentRuns() float64 {
	total := 0.0
	for _, ran := range s.recentRuns {
		total += ran
	}
	return total
}

// decayFactor returns the weight that remains after passed. The time constant
// is half a window.
func (s *RegionShiftLimiter) decayFactor(passed time.Duration) float64 {
	return math.Exp(-2 * passed.Seconds() / s.window.Seconds())
}

// RecordArrival records a request for which a region is to be chosen.
func (s *RegionShiftLimiter) RecordArrival(now time.Time) { s.addAllowances(now, 1) }

// RecordRefusal takes back RecordArrival for a request that ran in no region.
func (s *RegionShiftLimiter) RecordRefusal(now time.Time) { s.addAllowances(now, -1) }

// addAllowances adds the allowances of n requests; a negative n takes them back.
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

// Allows reports whether a request may run in a region: if the allowance of the
// region or the shared one is at least 1, or if no region has an allowance of 1.
// For an entry with few requests the last case permits only the region with the
// largest allowance: there the decay often leaves every region below 1, and a
// free choice would then move more than the permitted share. Entries with more requests keep the free choice, because
// otherwise requests of a failing region would stay there.
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

// RecordRun records that a request runs in a region. The returned function takes
// the record back if the region refused the request.
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

// charge takes n from the region's own allowance or from the shared one; a
// negative n gives it back.
func (s *RegionShiftLimiter) charge(region string, fromOwnAllowance bool, n float64) {
	if fromOwnAllowance {
		s.allowances[region] = min(s.allowances[region]-n, maxAllowance)
		return
	}
	s.sharedAllowance = min(s.sharedAllowance-n, maxAllowance)
}
