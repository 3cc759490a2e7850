package budget

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"golang.org/x/time/rate"
)

const (
	// linkBurst determines the size of a burst: the bytes that the rate of the share
	// allows in this time.
	linkBurst = 100 * time.Millisecond
	// minLinkBurst is the smallest burst in bytes. It is the size of one copy
	// buffer, which must fit also on a slow link.
	minLinkBurst = 32 << 10
	// raiseDelay is the time within which all entries apply a change. An entry
	// raises its share only after this delay, when the other entries have lowered
	// theirs.
	raiseDelay = 5 * time.Second
)

// linkShare is the token bucket for one destination region.
type linkShare struct {
	bucket  *rate.Limiter
	rate    float64   // bytes per second according to the snapshot in force
	raiseAt time.Time // when the bucket may adopt a higher rate
}

// LinkShares limits the bytes that one entry sends to other regions. Each entry
// of the sending region has an equal pinned share of the rate of a link; no part
// of the rate is leased. LinkShares is not safe for concurrent use.
type LinkShares struct {
	instance string
	version  uint64
	byRegion map[string]*linkShare
}

// NewLinkShares returns shares that allow no bytes to other regions until a
// snapshot is applied.
func NewLinkShares(instance string) *LinkShares {
	return &LinkShares{instance: instance, byRegion: map[string]*linkShare{}}
}

// LinkRate returns the pinned share of an entry in the link from its region to
// region to, in bytes per second. It is 0 if the document does not list the link
// or the instance is not an entry.
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

// ApplySnapshot applies the snapshot in force. A lower rate takes effect at once,
// a higher one after raiseDelay.
func (l *LinkShares) ApplySnapshot(s *snapshot.Snapshot, now time.Time) {
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
		sh.setRate(LinkRate(s, l.instance, to), now)
	}
}

func (sh *linkShare) setRate(bytesPerSecond float64, now time.Time) {
	if bytesPerSecond > sh.rate {
		sh.raiseAt = now.Add(raiseDelay)
	}
	sh.rate = bytesPerSecond
	if bytesPerSecond < float64(sh.bucket.Limit()) {
		sh.applyRate(now)
	}
}

// applyRate makes the bucket use the rate of the snapshot in force.
func (sh *linkShare) applyRate(now time.Time) {
	burst := max(int(sh.rate*linkBurst.Seconds()), minLinkBurst)
	if sh.rate == 0 {
		burst = 0
	}
	sh.bucket.SetLimitAt(now, rate.Limit(sh.rate))
	sh.bucket.SetBurstAt(now, burst)
}

// Allow takes n bytes from the share of the link to region to and reports
// whether they were available. Callers call it before they send a request, and do
// not send the request if it reports false.
func (l *LinkShares) Allow(to string, n int, now time.Time) bool {
	b := l.bucket(to, now)
	return b != nil && b.AllowN(now, n)
}

// Reserve takes n bytes from the share of the link to region to and returns how
// long to wait before sending them. Callers use it for the body of a request that
// has already begun, in pieces of at most 32 KiB. It reports false and takes
// nothing if n exceeds the burst of the share or no link to the region is listed.
func (l *LinkShares) Reserve(to string, n int, now time.Time) (time.Duration, bool) {
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

// bucket returns the token bucket for a region, or nil if no snapshot has listed
// a link to it. It first adopts a higher rate whose raiseDelay has passed.
func (l *LinkShares) bucket(to string, now time.Time) *rate.Limiter {
	sh := l.byRegion[to]
	if sh == nil {
		return nil
	}
	if sh.rate > float64(sh.bucket.Limit()) && !now.Before(sh.raiseAt) {
		sh.applyRate(now)
	}
	return sh.bucket
}
