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
	// window. The remaining fifth covers differences between entries.
	shiftCreditFactor = 0.39
	// minWeightedRequests is the minimum for the sum of the recent requests;
	// missing ones count as run in the own region. Fewer requests say little
	// about the distribution over regions.
	minWeightedRequests = 10
	// allowanceDecay is the rate at which the allowances of the regions decay,
	// relative to the weight of earlier requests. An entry with few requests needs
	// several of them until a region's share adds up to one.
	allowanceDecay = 0.25
	// maxAllowance caps the allowance of each region, and with it the number of
	// requests that may exceed its share in a row.
	maxAllowance = 2
	// maxSharedAllowance caps the shared allowance. The requests of many entries with
	// few requests each may use it at the same moment.
	maxSharedAllowance = 1
)

// RegionShiftLimiter limits how fast the requests of an entry move between
// regions: from one window to the next, the distribution of requests over
// regions may change by at most a configured share. Without the limit, a region
// that suddenly gets many requests has cold caches and refuses part of them. It
// is safe for concurrent use.
//
// The limiter works like a set of token buckets. Each request that runs adds one
// allowance in total to the regions, split by their shares of the recent requests,
// and maxCredit to a shared allowance. It takes 1 from the allowance of its region,
// or from the shared one if that of the region is below 1. Requests that run nowhere
// change nothing: they are not part of the distribution.
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
		recentRuns: map[string]float64{ownRegion: minWeightedRequests}, allowances: map[string]float64{ownRegion: maxAllowance}, sharedAllowance: maxSharedAllowance,
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
	allowanceKept := math.Pow(kept, allowanceDecay)
	total := 0.0
	for region := range l.recentRuns {
		l.recentRuns[region] *= kept
		l.allowances[region] *= allowanceKept
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

// Allows reports whether a request may run in a region: if the allowance of the
// region or the shared one suffices, or if no region has enough and this one has most.
func (l *RegionShiftLimiter) Allows(now time.Time, region string) bool {
	if l.maxCredit <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	return l.sharedAllowance+l.maxCredit >= 1 || l.coveredByRegion(region)
}

// coveredByRegion reports whether a request in the region takes its allowance: if
// it is at least 1 with the part that the request adds, or if no region has enough and
// this one has most.
func (l *RegionShiftLimiter) coveredByRegion(region string) bool {
	total := l.totalRecentRuns()
	available := l.available(region, total)
	if available >= 1 {
		return true
	}
	for other := range l.allowances {
		if l.available(other, total) > available {
			return false
		}
	}
	return true
}

// available returns the allowance of a region with the part that the next request
// adds. total is the sum of the recent requests.
func (l *RegionShiftLimiter) available(region string, total float64) float64 {
	return l.allowances[region] + l.recentRuns[region]/total
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

// RecordRun records that a request runs in a region. A request that moves without
// limit, because its own region failed, uses no allowance. The returned function takes
// the record back if the region refused the request.
func (l *RegionShiftLimiter) RecordRun(now time.Time, region string, unlimited bool) (undo func(now time.Time)) {
	if l.maxCredit <= 0 {
		return func(time.Time) {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	// If neither allowance suffices, that of the region becomes negative.
	fromRegion := l.available(region, l.totalRecentRuns()) >= 1 || l.sharedAllowance+l.maxCredit < 1
	if !unlimited {
		l.addAllowances(1)
		l.charge(region, fromRegion, 1)
	}
	l.recentRuns[region]++
	return func(then time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.decay(then)
		l.recentRuns[region] = max(0, l.recentRuns[region]-l.decayFactor(then.Sub(now)))
		if !unlimited {
			l.charge(region, fromRegion, -1)
			l.addAllowances(-1)
		}
	}
}

// addAllowances adds the allowances of a request, or takes them back if n is -1.
func (l *RegionShiftLimiter) addAllowances(n float64) {
	total := l.totalRecentRuns()
	for region, ran := range l.recentRuns {
		l.allowances[region] = min(l.allowances[region]+n*ran/total, maxAllowance)
	}
	l.sharedAllowance = min(l.sharedAllowance+n*l.maxCredit, maxSharedAllowance)
}

// charge takes n from the region's own allowance or from the shared one; a
// negative n gives it back.
func (l *RegionShiftLimiter) charge(region string, fromRegion bool, n float64) {
	if fromRegion {
		l.allowances[region] = min(l.allowances[region]-n, maxAllowance)
		return
	}
	l.sharedAllowance = min(l.sharedAllowance-n, maxSharedAllowance)
}
