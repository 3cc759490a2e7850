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
	// shiftCreditFactor is the part of the configured share that each request that runs
	// adds to the allowances of the other regions, beside their shares. As requests
	// move, the shares follow the new distribution, so that about twice the credit moves
	// within a window.
	shiftCreditFactor = 0.36
	// minCreditedRegions is the number of other regions up to which each gets the same
	// credit. More regions share the credit, so that the distribution as a whole
	// stays within the limit.
	minCreditedRegions = 1.5
	// minWeightedRequests is the minimum for the sum of the recent requests. Fewer
	// requests say little about the distribution over regions, so the earlier ones keep
	// their weight.
	minWeightedRequests = 6
	// maxAllowance caps the allowance of each region, and with it the number of
	// requests that may exceed its share in a row. Half of it, negative, bounds how far a
	// region that takes requests without an allowance falls behind.
	maxAllowance = 2
	// maxTotalAllowance caps the sum of the positive allowances, so that the regions that
	// gain requests at the same time do not exceed the limit together.
	maxTotalAllowance = 2 * maxAllowance
	// idleWindows is the number of windows without a request after which the
	// distribution of the earlier ones no longer counts: the requests of the other
	// entries may have moved since.
	idleWindows = 5
)

// RegionShiftLimiter limits how fast the requests of an entry move between
// regions: from one window to the next, the distribution of requests over
// regions may change by at most a configured share. Without the limit, a region
// that suddenly gets many requests has cold caches and refuses part of them. It
// is safe for concurrent use.
//
// The limiter works like a token bucket for each region. Each request that runs adds to
// the allowance of every region its share of the recent requests and a credit, and takes 1
// from the allowance of the region in which it runs. The credits let the
// distribution change. An entry may have few requests, so a region takes nothing from
// another one, and an allowance stays until it is used: otherwise, chance alone uses up
// the credits, and the distribution never changes. Requests that run nowhere change
// nothing: they are not part of the distribution.
type RegionShiftLimiter struct {
	ownRegion string
	maxShare  float64 // 0: no limit
	window    time.Duration
	initial   func() map[string]float64 // shares of the regions before the first requests; nil: the own region has all

	mu         sync.Mutex
	updatedAt  time.Time
	lastRun    time.Time
	recentRuns map[string]float64 // requests by region, decayed with a time constant of half a window
	allowances map[string]float64 // by region; the regions are those asked for so far
}

// NewRegionShiftLimiter returns a limiter for an entry in ownRegion. maxShare is
// the share of the requests, 0 to 1, that may move from one window to the next;
// 0 means no limit.
func NewRegionShiftLimiter(ownRegion string, maxShare float64, window time.Duration) *RegionShiftLimiter {
	l := &RegionShiftLimiter{ownRegion: ownRegion, maxShare: maxShare, window: window}
	l.reset()
	return l
}

// StartWith sets where the shares of the regions come from with which an entry begins
// that has had no requests for a while, see RoomShares. Without it, or if shares returns
// none, all of its requests run in the own region. It must be called before the first
// request.
func (l *RegionShiftLimiter) StartWith(shares func() map[string]float64) { l.initial = shares }

// reset forgets the earlier requests and begins with the initial shares. There is no
// earlier window to compare with, and the other entries of the region began with the
// same shares.
func (l *RegionShiftLimiter) reset() {
	shares := map[string]float64{l.ownRegion: 1}
	if l.initial != nil {
		if given := l.initial(); len(given) > 0 {
			shares = given
		}
	}
	l.recentRuns, l.allowances = map[string]float64{}, map[string]float64{l.ownRegion: 0}
	for region, share := range shares {
		l.recentRuns[region] = minWeightedRequests * share
		l.allowances[region] = maxAllowance * share
	}
}

// know adds a region that has not been asked for yet.
func (l *RegionShiftLimiter) know(region string) {
	if _, known := l.allowances[region]; !known {
		l.allowances[region] = 0
	}
}

// decay reduces the weight of earlier requests with the time passed, but keeps a weight
// of minWeightedRequests in the same distribution.
func (l *RegionShiftLimiter) decay(now time.Time) {
	passed := now.Sub(l.updatedAt)
	if passed <= 0 {
		return
	}
	l.updatedAt = now
	if now.Sub(l.lastRun) > idleWindows*l.window {
		l.reset()
		return
	}
	kept := l.decayFactor(passed)
	if total := l.totalRecentRuns() * kept; total < minWeightedRequests {
		kept *= minWeightedRequests / total
	}
	for region := range l.recentRuns {
		l.recentRuns[region] *= kept
	}
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

// gain returns what a request that runs adds to the allowance of a region. total is the
// sum of the recent requests. The credits of the other regions together are
// bounded, however many regions there are.
func (l *RegionShiftLimiter) gain(region string, total float64) float64 {
	credit := l.maxShare * shiftCreditFactor / max(minCreditedRegions, float64(len(l.allowances)-1))
	return l.recentRuns[region]/total + credit
}

// Allows reports whether a request may run in a region: if the allowance of the
// region suffices with what the request adds, or if no region has enough and this one
// has most.
func (l *RegionShiftLimiter) Allows(now time.Time, region string) bool {
	if l.maxShare <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.know(region)
	total := l.totalRecentRuns()
	available := l.allowances[region] + l.gain(region, total)
	if available >= 1 {
		return true
	}
	for other := range l.allowances {
		if l.allowances[other]+l.gain(other, total) > available {
			return false
		}
	}
	return true
}

// ShiftAllowances are the inputs of a decision of a RegionShiftLimiter, for log lines.
type ShiftAllowances struct {
	Region      float64 // allowance of the chosen region
	OwnRegion   float64
	RegionShare float64 // share of the recent requests that ran in the chosen region
	Recent      float64 // recent requests, decayed with a time constant of half a window
}

// Allowances returns the present allowances for a region.
func (l *RegionShiftLimiter) Allowances(region string) ShiftAllowances {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.totalRecentRuns()
	return ShiftAllowances{
		Region: l.allowances[region], OwnRegion: l.allowances[l.ownRegion], RegionShare: l.recentRuns[region] / total, Recent: total,
	}
}

// RecordRun records that a request runs in a region. A request that moves without
// limit, because its own region failed, uses no allowance. The returned function takes
// the record back if the region refused the request.
func (l *RegionShiftLimiter) RecordRun(now time.Time, region string, unlimited bool) (undo func(now time.Time)) {
	if l.maxShare <= 0 {
		return func(time.Time) {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.lastRun = now
	l.know(region)
	if !unlimited {
		l.addGains(1)
		l.allowances[region] = max(l.allowances[region]-1, -maxAllowance/2)
	}
	l.recentRuns[region]++
	return func(then time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.decay(then)
		l.know(region)
		l.recentRuns[region] = max(0, l.recentRuns[region]-l.decayFactor(then.Sub(now)))
		if !unlimited {
			l.allowances[region] = min(l.allowances[region]+1, maxAllowance)
			l.addGains(-1)
		}
	}
}

// addGains adds what a request adds to the allowances, or takes it back if n is -1. An
// allowance above its maximum is lowered by one instead of cut off: cut off, the entries
// that had nothing to move would all be ready to move a request at the same moment. The
// same holds for the sum of the allowances, since several regions may gain at once.
func (l *RegionShiftLimiter) addGains(n float64) {
	total, sum := l.totalRecentRuns(), 0.0
	highest := l.ownRegion
	for region := range l.allowances {
		l.allowances[region] += n * l.gain(region, total)
		if l.allowances[region] > maxAllowance {
			l.allowances[region]--
		}
		sum += max(l.allowances[region], 0)
		if a, h := l.allowances[region], l.allowances[highest]; a > h || a == h && region < highest {
			highest = region
		}
	}
	if sum > maxTotalAllowance {
		l.allowances[highest]--
	}
}
