package budget

import (
	"strconv"
	"time"
)

// refreshInterval is how long sums and splits are used again. Computing both
// for each of 2,000 requests per second from 1,000 entries took 13 ms per
// request.
const refreshInterval = 100 * time.Millisecond

// ledger holds the accounts of one shift.
type ledger struct {
	accounts map[string]*account

	// total is the sum of account.counted: at least the sum of the charges,
	// because a charge that is not touched only falls.
	total     int
	countedAt time.Time

	split   *split
	splitAt time.Time
}

// split is what each reachable holder should have of a shift.
type split struct {
	pinned map[string]int
	leased map[string]int
	slack  int // leasable units that nobody wanted
	level  int // most that holders got if not all got what they wanted
}

// stale makes the next use compute everything again.
func (l *ledger) stale() { l.countedAt, l.split = time.Time{}, nil }

// recount takes over the present charge of one account.
func (l *ledger) recount(a *account, now time.Time, deadline time.Duration) {
	charge := a.charge(now, deadline)
	l.total += charge - a.counted
	a.counted = charge
}

// sum returns at least the units that all holders may have in use.
func (l *ledger) sum(now time.Time, deadline time.Duration) int {
	if now.Sub(l.countedAt) < refreshInterval {
		return l.total
	}
	l.countedAt = now
	for _, a := range l.accounts {
		l.recount(a, now, deadline)
	}
	return l.total
}

// target returns the limits that a holder should have once every reachable
// holder has taken its own. A want that has changed since the split gets what
// was left over, or as much as others in need got.
func (g *Granter) target(instance, shift string, now time.Time) (pinned, leased int) {
	l := g.ledger(shift)
	if l.split != nil {
		_, known := l.split.pinned[instance]
		if !known || now.Sub(l.splitAt) >= refreshInterval {
			l.split = nil
		}
	}
	if l.split == nil {
		l.split, l.splitAt = g.newSplit(shift, l, now), now
	}
	s := l.split
	had := s.leased[instance]
	leased = min(g.wanted(instance, l.accounts[instance]), max(had+s.slack, s.level))
	s.slack = max(0, s.slack-(leased-had))
	s.leased[instance] = leased
	return s.pinned[instance], leased
}

// wanted returns the leased units that a holder may ask for: none unless it
// is a committed member.
func (g *Granter) wanted(instance string, a *account) int {
	if g.snap.Member(instance) == nil {
		return 0
	}
	return a.want
}

// newSplit divides the cap over the reachable holders. Silent holders keep
// what they may use.
func (g *Granter) newSplit(shift string, l *ledger, now time.Time) *split {
	pool := g.cap(shift)
	var shares, wants []claim
	for inst, a := range l.accounts {
		share := g.pinned[shift][inst]
		if !g.reachable(inst, now) {
			pool -= max(a.charge(now, g.deadline), share)
			continue
		}
		pool -= a.before(now)
		shares = append(shares, claim{inst, share})
		wants = append(wants, claim{inst, g.wanted(inst, a)})
	}
	pool = max(pool, 0)
	s := &split{}
	s.pinned, pool, _ = fill(pool, shares, shift)
	turn := shift + "\x00" + strconv.FormatInt(int64(now.Sub(g.leaderFrom)/rotation), 10)
	s.leased, s.slack, s.level = fill(pool, wants, turn)
	return s
}
