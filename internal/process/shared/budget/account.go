package budget

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// limits are the units of one shift that a holder may use. A holder may be
// applying the limits of its last report, or those of any later reply, because
// the granter does not know which replies arrived.
type limits struct {
	pinned int
	leased int
	expiry time.Time // expiry of the leased units on the granter's clock
}

// account records the units of one shift that one holder may have in use. The
// charge decreases only when the holder reports a lower usage or when leases
// and requests in flight run out with time.
type account struct {
	possible []limits

	// inUse is the number of requests in flight in the last report. It may exceed
	// the limits after they were lowered, and counts until inUseUntil, when all
	// of these requests have ended.
	inUse      int
	inUseUntil time.Time

	// priorCharge is the number of requests that earlier processes of the
	// instance may have in flight. It counts until priorUntil.
	priorCharge int
	priorUntil  time.Time

	want          int
	countedCharge int // charge included in ledger.chargeSum
	// maxPinned is the highest pinned share that any leader may have granted to
	// the holder. A granter that becomes the leader charges the holder with it
	// until the holder reports.
	maxPinned int
	// unreported is set while the possible limits are derived from maxPinned
	// because the holder has not reported to this leader yet.
	unreported bool
}

// currentCharge returns the units that the current process of the holder may
// have in use. Leased units count until their expiry plus the longest request
// deadline, because a request admitted just before the expiry may run that long.
func (a *account) currentCharge(now time.Time, deadline time.Duration) int {
	most := 0
	for _, s := range a.possible {
		n := s.pinned
		if now.Before(s.expiry.Add(deadline)) {
			n += s.leased
		}
		most = max(most, n)
	}
	if now.Before(a.inUseUntil) {
		most = max(most, a.inUse)
	}
	return most
}

// remainingPriorCharge returns the units that earlier processes of the instance
// may still have in use.
func (a *account) remainingPriorCharge(now time.Time) int {
	if now.Before(a.priorUntil) {
		return a.priorCharge
	}
	return 0
}

// charge returns the units that the holder may have in use, including requests
// of earlier processes of the instance.
func (a *account) charge(now time.Time, deadline time.Duration) int {
	return a.currentCharge(now, deadline) + a.remainingPriorCharge(now)
}

// recordReport replaces the possible limits by those that the holder reports. A
// holder accepts only the reply to its latest request, so the limits in replies
// to its earlier requests can no longer take effect.
func (a *account) recordReport(ask *fescuepb.LeaseAsk, now time.Time, deadline time.Duration) {
	expiry := now.Add(LeaseDuration) // latest possible expiry of units leased by an earlier leader
	if len(a.possible) > 0 {
		expiry = a.possible[0].expiry
	}
	for _, s := range a.possible {
		if s.expiry.After(expiry) {
			expiry = s.expiry
		}
	}
	a.possible = append(a.possible[:0], limits{pinned: int(ask.Pinned), leased: int(ask.Held), expiry: expiry})
	a.inUse, a.inUseUntil = int(ask.InUse), now.Add(deadline)
	a.want = int(ask.Want)
}

// recordGrant adds the limits of a reply to the possible limits. If they equal
// those of the previous reply, and no report arrived in between, they replace
// them, because the later expiry covers both.
func (a *account) recordGrant(p limits) {
	last := len(a.possible) - 1
	if last > 0 && a.possible[last].pinned == p.pinned && a.possible[last].leased == p.leased {
		a.possible[last] = p
		return
	}
	a.possible = append(a.possible, p)
}

// recordFirstReport handles the first report of a holder to a new leader. If
// the reported pinned share is lower than the charge assumed so far, the holder
// may have restarted, so the difference is charged as requests in flight of an
// earlier process.
func (a *account) recordFirstReport(pinned int, now time.Time, deadline time.Duration) {
	prior := max(0, a.currentCharge(now, deadline)-pinned)
	a.priorCharge, a.priorUntil = prior, now.Add(deadline)
	a.possible, a.unreported = nil, false
}

// recordRestart charges the previous process of the instance with the current
// charge. That process ended before now, so its last request ends within the
// longest request deadline from now.
func (a *account) recordRestart(now time.Time, deadline time.Duration) {
	a.priorCharge, a.priorUntil = a.charge(now, deadline), now.Add(deadline)
	a.possible, a.inUse, a.want, a.unreported = nil, 0, 0, false
}

// assumeMaxPinned resets the account for a new leader, which knows only the
// committed versions: the holder may use the highest pinned share that any of
// them gave it.
func (a *account) assumeMaxPinned() {
	*a = account{maxPinned: a.maxPinned, countedCharge: a.countedCharge, unreported: true, possible: []limits{{pinned: a.maxPinned}}}
}
