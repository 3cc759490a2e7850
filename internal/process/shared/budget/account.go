package budget

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// possible is a set of limits that a holder may be acting on: the one that it
// reported, or one that a reply gave it and that may or may not have arrived.
type possible struct {
	pinned int
	leased int
	expiry time.Time // of the leased units, on the granter's clock
}

// account is everything that one holder may have in use of one shift.
// Charges fall only by a report of the holder or by the passing of time.
type account struct {
	states []possible

	// Requests in flight that the last report showed. They may exceed the
	// limits after a share was lowered, until overhangUntil.
	inUse         int
	overhangUntil time.Time

	// Requests in flight of earlier processes of the instance.
	earlier      int
	earlierUntil time.Time

	want    int
	counted int // part of ledger.total
	// floor is the highest pinned share that the holder may have been granted
	// by any leader, used if this granter becomes the leader.
	floor int
	// guessed: the states come from floor and not from a report.
	guessed bool
}

// own returns the units that the present process of the holder may have in
// use. Leased units count until their expiry plus the longest deadline.
func (a *account) own(now time.Time, deadline time.Duration) int {
	most := 0
	for _, s := range a.states {
		n := s.pinned
		if now.Before(s.expiry.Add(deadline)) {
			n += s.leased
		}
		most = max(most, n)
	}
	if now.Before(a.overhangUntil) {
		most = max(most, a.inUse)
	}
	return most
}

func (a *account) before(now time.Time) int {
	if now.Before(a.earlierUntil) {
		return a.earlier
	}
	return 0
}

// charge returns the units that the holder may have in use.
func (a *account) charge(now time.Time, deadline time.Duration) int {
	return a.own(now, deadline) + a.before(now)
}

// report replaces the possible limits by the ones that the holder says it
// acts on. Replies to its earlier requests can no longer reach it, because a
// holder only takes the reply to its latest request.
func (a *account) report(ask *fescuepb.LeaseAsk, now time.Time, deadline time.Duration) {
	expiry := now.Add(LeaseDuration) // leased by an earlier leader
	if len(a.states) > 0 {
		expiry = a.states[0].expiry
	}
	for _, s := range a.states {
		if s.expiry.After(expiry) {
			expiry = s.expiry
		}
	}
	a.states = append(a.states[:0], possible{pinned: int(ask.Pinned), leased: int(ask.Held), expiry: expiry})
	a.inUse, a.overhangUntil = int(ask.InUse), now.Add(deadline)
	a.want = int(ask.Want)
}

// granted adds the limits of a reply. Equal limits of an earlier reply that
// was not followed by a report are replaced, as the later expiry covers both.
func (a *account) granted(p possible) {
	last := len(a.states) - 1
	if last > 0 && a.states[last].pinned == p.pinned && a.states[last].leased == p.leased {
		a.states[last] = p
		return
	}
	a.states = append(a.states, p)
}

// firstReport handles the first report to a new leader. If the holder has
// less than the share that some version gave it, the difference may still be
// in flight from an earlier process.
func (a *account) firstReport(pinned int, now time.Time, deadline time.Duration) {
	left := max(0, a.own(now, deadline)-pinned)
	a.earlier, a.earlierUntil = left, now.Add(deadline)
	a.states, a.guessed = nil, false
}

// restart moves the charge to the earlier process. It ended before now, so
// its last request ends within the longest deadline from now.
func (a *account) restart(now time.Time, deadline time.Duration) {
	a.earlier, a.earlierUntil = a.charge(now, deadline), now.Add(deadline)
	a.states, a.inUse, a.want, a.guessed = nil, 0, 0, false
}

// unknown makes the account that of a holder about which a new leader knows
// only the versions that it has seen committed.
func (a *account) unknown() {
	*a = account{floor: a.floor, counted: a.counted, guessed: true, states: []possible{{pinned: a.floor}}}
}
