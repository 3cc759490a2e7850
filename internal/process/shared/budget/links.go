package budget

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"golang.org/x/time/rate"
)

const (
	// linkBurst is how much of its rate a holder may send at once.
	linkBurst = 100 * time.Millisecond
	// minLinkBurst lets one copy buffer through on a slow link, in bytes.
	minLinkBurst = 32 << 10
	// raiseDelay is the bound for a change to be in effect everywhere. A
	// holder raises its share only after it, when the others have lowered
	// theirs.
	raiseDelay = 5 * time.Second
)

// linkShare is the token bucket of one destination region.
type linkShare struct {
	bucket  *rate.Limiter
	rate    float64 // bytes per second by the snapshot in force
	raiseAt time.Time
}

// LinkShares are one entry's shares of the links from its region, in bytes.
// Each entry of the sending region has an equal pinned share of the rate; no
// part of it is leased. It is not safe for concurrent use.
type LinkShares struct {
	instance string
	version  uint64
	byRegion map[string]*linkShare
}

// NewLinkShares returns shares that allow nothing to other regions yet.
func NewLinkShares(instance string) *LinkShares {
	return &LinkShares{instance: instance, byRegion: map[string]*linkShare{}}
}

// LinkRate returns the pinned share of an instance in the link to region to,
// in bytes per second. A link that the document does not list has none.
func LinkRate(s *snapshot.Snapshot, instance, to string) float64 {
	m := s.Member(instance)
	if m == nil || m.Role != fescuepb.Role_ROLE_ENTRY {
		return 0
	}
	from := s.Region(m.DataCentre)
	entries := 0
	for _, dc := range s.DataCentres(from) {
		entries += len(s.Entries(dc))
	}
	for _, l := range s.Links {
		if l.From == from && l.To == to && entries > 0 {
			return float64(l.BytesPerSecond) / float64(entries)
		}
	}
	return 0
}

// Use takes the snapshot in force. A lower rate holds at once, a higher one
// after raiseDelay.
func (l *LinkShares) Use(s *snapshot.Snapshot, now time.Time) {
	if s.Version <= l.version {
		return
	}
	l.version = s.Version
	for _, link := range s.Links {
		if l.byRegion[link.To] == nil {
			l.byRegion[link.To] = &linkShare{bucket: rate.NewLimiter(0, 0)}
		}
	}
	for to, sh := range l.byRegion {
		sh.set(LinkRate(s, l.instance, to), now)
	}
}

func (sh *linkShare) set(bytesPerSecond float64, now time.Time) {
	if bytesPerSecond > sh.rate {
		sh.raiseAt = now.Add(raiseDelay)
	}
	sh.rate = bytesPerSecond
	if bytesPerSecond < float64(sh.bucket.Limit()) {
		sh.install(now)
	}
}

func (sh *linkShare) install(now time.Time) {
	burst := max(int(sh.rate*linkBurst.Seconds()), minLinkBurst)
	if sh.rate == 0 {
		burst = 0
	}
	sh.bucket.SetLimitAt(now, rate.Limit(sh.rate))
	sh.bucket.SetBurstAt(now, burst)
}

// Allow takes n bytes to a region if the share has them now. Use it before a
// request is sent; a request that is refused was not sent.
func (l *LinkShares) Allow(to string, n int, now time.Time) bool {
	b := l.bucket(to, now)
	return b != nil && b.AllowN(now, n)
}

// Delay takes n bytes to a region and returns how long to wait before
// sending them. It is for the body of a request that has begun, in pieces of
// at most 32 KiB. It reports false, and takes nothing, if the share can never
// have n bytes.
func (l *LinkShares) Delay(to string, n int, now time.Time) (time.Duration, bool) {
	b := l.bucket(to, now)
	if b == nil {
		return 0, false
	}
	r := b.ReserveN(now, n)
	if !r.OK() {
		return 0, false
	}
	return r.DelayFrom(now), true
}

func (l *LinkShares) bucket(to string, now time.Time) *rate.Limiter {
	sh := l.byRegion[to]
	if sh == nil {
		return nil
	}
	if sh.rate > float64(sh.bucket.Limit()) && !now.Before(sh.raiseAt) {
		sh.install(now)
	}
	return sh.bucket
}
