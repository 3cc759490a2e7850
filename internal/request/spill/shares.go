package spill

import (
	"math"
	"sync"
	"time"
)

// DefaultShiftWindow is the span over which shares are compared.
const DefaultShiftWindow = 2 * time.Second

const (
	// shareMargin is the part of the share that may move that requests get at
	// once. While they use it, the shares follow, so that twice as much moves
	// within a window; the rest is for the differences between entries.
	shareMargin = 0.45
	// fewRequests in a window say little about shares.
	fewRequests = 20
	// enoughRequests within half a window keep the allowances whole: below, what
	// fades of them matters.
	enoughRequests = 40
	// shareBurst is how many requests may be run beyond a share in a row.
	shareBurst = 2
)

// Shares bounds how fast the requests of an entry move between regions: of the
// requests of a window, at most a share runs in other regions than those of the
// window before did. Regions that get many requests at once meet them with cold
// caches and turn part of them away. It is safe for concurrent use.
//
// Each request gives every region its lately share of an allowance, and a common
// one the share that may move. A request that is run takes one from its region's,
// or else from the common one.
type Shares struct {
	own    string
	most   float64 // share that may move
	window time.Duration

	mu     sync.Mutex
	at     time.Time
	ran    map[string]float64 // requests, fading within half a window
	allow  map[string]float64 // allowances of the regions
	common float64
}

// NewShares returns a limiter for the entries of a region. most is the share of
// the requests that may move from one window to the next; 0 bounds nothing.
func NewShares(own string, most float64, window time.Duration) *Shares {
	return &Shares{
		own: own, most: most * shareMargin, window: window,
		ran: map[string]float64{own: fewRequests}, allow: map[string]float64{own: shareBurst}, common: shareBurst / 2,
	}
}

// fade lets the requests of earlier windows count less. An entry that has run
// few requests counts as having run them in its own region.
func (s *Shares) fade(now time.Time) {
	passed := now.Sub(s.at)
	if passed <= 0 {
		return
	}
	s.at = now
	kept := s.kept(passed)
	total := 0.0
	for region := range s.ran {
		s.ran[region] *= kept
		s.allow[region] *= kept
		total += s.ran[region]
	}
	s.ran[s.own] += max(0, fewRequests-total)
}

// totalRan returns the requests that ran lately, in all regions.
func (s *Shares) totalRan() float64 {
	total := 0.0
	for _, ran := range s.ran {
		total += ran
	}
	return total
}

func (s *Shares) kept(passed time.Duration) float64 {
	return math.Exp(-2 * passed.Seconds() / s.window.Seconds())
}

// Arrived notes a request that needs a region.
func (s *Shares) Arrived(now time.Time) { s.allowFor(now, 1) }

// Refused notes that a request that arrived was run nowhere.
func (s *Shares) Refused(now time.Time) { s.allowFor(now, -1) }

// allowFor adds to the allowances what n requests are worth.
func (s *Shares) allowFor(now time.Time, n float64) {
	if s.most <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)
	total := s.totalRan()
	for region, ran := range s.ran {
		s.allow[region] = min(s.allow[region]+n*ran/total, shareBurst)
	}
	s.common = min(s.common+n*s.most, shareBurst)
}

// May reports whether a request may run in a region. Where no region has a whole
// request left, none is barred. With few requests only the region that has most is
// not: allowances fade, so that there is often none with a whole one, and a free
// choice would move more than the share.
func (s *Shares) May(region string) bool {
	if s.most <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.common >= 1 || s.allow[region] >= 1 {
		return true
	}
	total := s.totalRan()
	for _, a := range s.allow {
		if a >= 1 || total < enoughRequests && a > s.allow[region] {
			return false
		}
	}
	return true
}

// Ran notes that a request is run in a region. The result takes it back, for
// one that was refused there.
func (s *Shares) Ran(now time.Time, region string) (undo func(now time.Time)) {
	if s.most <= 0 {
		return func(time.Time) {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)
	s.ran[region]++
	ownAllowance := s.allow[region] >= 1
	s.take(region, ownAllowance, 1)
	return func(then time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ran[region] = max(0, s.ran[region]-s.kept(then.Sub(now)))
		s.take(region, ownAllowance, -1)
	}
}

func (s *Shares) take(region string, own bool, n float64) {
	if own {
		s.allow[region] = min(s.allow[region]-n, shareBurst)
		return
	}
	s.common = min(s.common-n, shareBurst)
}
