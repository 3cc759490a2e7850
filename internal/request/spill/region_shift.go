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
func (l *RegionShiftLimiter) decay(now time.Time) {
	passed := now.Sub(l.updatedAt)
	if passed <= 0 {
		return
	}
	l.updatedAt = now
	kept := l.decayFactor(passed)
	total := 0.0
	for region := range l.recentRuns {
		l.recentRuns[region] *= kept
		l.allowances[region] *= kept
		total += l.recentRuns[region]
	}
	l.recentRuns[l.ownRegion] += max(0, minWeightedRequests-total)
}

// totalRecentRuns returns the decayed number of requests run in all regions.
func (l *RegionShiftLimiter) totalRecentRuns() float64 {
	total := 0.0
	for _, ran := range l.recentRuns {
		total += ran
	}
	return total
}

// decayFactor returns the weight that remains after passed. The time constant
// is half a window.
func (l *RegionShiftLimiter) decayFactor(passed time.Duration) float64 {
	return math.Exp(-2 * passed.Seconds() / l.window.Seconds())
}

// RecordArrival records a request for which a region is to be chosen.
func (l *RegionShiftLimiter) RecordArrival(now time.Time) { l.addAllowances(now, 1) }

// RecordRefusal takes back RecordArrival for a request that ran in no region.
func (l *RegionShiftLimiter) RecordRefusal(now time.Time) { l.addAllowances(now, -1) }

// addAllowances adds the allowances of n requests; a negative n takes them back.
func (l *RegionShiftLimiter) addAllowances(now time.Time, n float64) {
	if l.maxCredit <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	total := l.totalRecentRuns()
	for region, ran := range l.recentRuns {
		l.allowances[region] = min(l.allowances[region]+n*ran/total, maxAllowance)
	}
	l.sharedAllowance = min(l.sharedAllowance+n*l.maxCredit, maxAllowance)
}

// Allows reports whether a request may run in a region: if the allowance of the
// region or the shared one is at least 1, or if no region has an allowance of 1.
// For an entry with few requests the last case permits only the region with the
// largest allowance: there the decay often leaves every region below 1, and a
// free choice would then move more than the permitted share. Entries with more
// requests keep the free choice, because otherwise requests of a failing region
// would stay there.
func (l *RegionShiftLimiter) Allows(region string) bool {
	if l.maxCredit <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sharedAllowance >= 1 || l.allowances[region] >= 1 {
		return true
	}
	total := l.totalRecentRuns()
	for _, a := range l.allowances {
		if a >= 1 || total < sparseRequests && a > l.allowances[region] {
			return false
		}
	}
	return true
}

// ShiftAllowances are the inputs of a decision of a RegionShiftLimiter, for log lines.
type ShiftAllowances struct {
	Region    float64 // allowance of the chosen region
	OwnRegion float64
	Shared    float64
	Recent    float64 // recent requests, decayed with a time constant of half a window
}

// Allowances returns the present allowances for a region.
func (l *RegionShiftLimiter) Allowances(region string) ShiftAllowances {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ShiftAllowances{
		Region: l.allowances[region], OwnRegion: l.allowances[l.ownRegion], Shared: l.sharedAllowance, Recent: l.totalRecentRuns(),
	}
}

// RecordRun records that a request runs in a region. The returned function takes
// the record back if the region refused the request.
func (l *RegionShiftLimiter) RecordRun(now time.Time, region string) (undo func(now time.Time)) {
	if l.maxCredit <= 0 {
		return func(time.Time) {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.recentRuns[region]++
	ownAllowance := l.allowances[region] >= 1
	l.charge(region, ownAllowance, 1)
	return func(then time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.recentRuns[region] = max(0, l.recentRuns[region]-l.decayFactor(then.Sub(now)))
		l.charge(region, ownAllowance, -1)
	}
}

// charge takes n from the region's own allowance or from the shared one; a
// negative n gives it back.
func (l *RegionShiftLimiter) charge(region string, fromOwnAllowance bool, n float64) {
	if fromOwnAllowance {
		l.allowances[region] = min(l.allowances[region]-n, maxAllowance)
		return
	}
	l.sharedAllowance = min(l.sharedAllowance-n, maxAllowance)
}
