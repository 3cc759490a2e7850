package budget

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Timing constants. They must be the same at every control instance.
const (
	// LeaseDuration is how long leased units last without renewal. It is six
	// request intervals, so that a few lost requests do not end a lease.
	LeaseDuration = 3 * time.Second
	// LeaderOverlap bounds how long a replaced leader may still grant. It is
	// above the time in which a leader without a quorum steps down.
	LeaderOverlap = 2 * time.Second
	// ClockMargin covers the difference in rate between two monotonic clocks
	// over a lease and a deadline.
	ClockMargin = 100 * time.Millisecond
	// rotation is how often indivisible units move on to the next holder.
	rotation = 5 * time.Second
	// pruneInterval is how often accounts without use are looked for.
	pruneInterval = time.Second
)

// holderInfo is what the granter knows of a holder for all shifts.
type holderInfo struct {
	incarnation uint64 // 0: no request since this granter became the leader
	sequence    uint64
	version     uint64 // acknowledged
	heard       time.Time
}

// Granter accounts the shift caps at a control instance. Every control
// instance passes each committed version to Observe, so that a new leader
// knows the pinned shares that silent holders may still use. Granter is not
// safe for concurrent use.
type Granter struct {
	snap     *snapshot.Snapshot
	entries  []string
	deadline time.Duration // longest admitted deadline of any version seen, with ClockMargin

	leading    bool
	leaderFrom time.Time
	term       uint64
	// nothingBefore is set if no entry was a member when the term began.
	nothingBefore bool

	holders  map[string]*holderInfo
	shifts   map[string]*ledger
	pinned   map[string]map[string]int // of the present version
	pending  map[string]lowered
	prunedAt time.Time
}

// NewGranter returns a granter that does not lead.
func NewGranter() *Granter {
	return &Granter{
		holders: map[string]*holderInfo{},
		shifts:  map[string]*ledger{},
		pinned:  map[string]map[string]int{},
		pending: map[string]lowered{},
	}
}

// Observe takes a committed version. Versions at or below the present one
// are ignored.
func (g *Granter) Observe(s *snapshot.Snapshot) {
	if s == nil || (g.snap != nil && s.Version <= g.snap.Version) {
		return
	}
	g.noteLowered(s)
	g.snap = s
	g.entries = entryNames(s)
	g.deadline = max(g.deadline, s.Limits.LongestDeadline.AsDuration()+ClockMargin)
	for _, l := range g.shifts {
		l.stale()
	}
	g.pinned = make(map[string]map[string]int, len(s.Shifts))
	for name, sh := range s.Shifts {
		split := splitPinned(name, sh.Cap, g.entries)
		g.pinned[name] = split
		for inst, units := range split {
			a := g.account(name, inst)
			a.floor = max(a.floor, units)
		}
	}
}

// Reset makes the granter that of a new leader. It grants nothing until the
// leases of earlier leaders and the requests admitted under them have ended.
// If no entry has been a member yet, there are none. The versions observed
// must include all that were committed before the term.
func (g *Granter) Reset(term uint64, now time.Time) {
	g.leading, g.leaderFrom, g.term = true, now, term
	g.nothingBefore = len(g.entries) == 0 && !g.anyAccount()
	for _, h := range g.holders {
		*h = holderInfo{}
	}
	for _, l := range g.shifts {
		for _, a := range l.accounts {
			a.unknown()
		}
		l.stale()
	}
}

// anyAccount reports whether an entry may hold units of any shift.
func (g *Granter) anyAccount() bool {
	for _, l := range g.shifts {
		if len(l.accounts) > 0 {
			return true
		}
	}
	return false
}

// Follow ends the leadership of the granter.
func (g *Granter) Follow() { g.leading = false }

// GrantsFrom returns the time before which a new leader grants nothing.
func (g *Granter) GrantsFrom() time.Time {
	if g.nothingBefore {
		return g.leaderFrom
	}
	return g.leaderFrom.Add(LeaderOverlap + LeaseDuration + g.deadline)
}

// Gone tells that the process of an instance has ended: it said so with no
// request in flight, its address refuses connections, or the platform list
// has dropped it. What it had in flight counts for the longest deadline more.
// Call it after the version without the instance was observed.
func (g *Granter) Gone(instance string, now time.Time) {
	delete(g.holders, instance)
	g.restart(instance, now)
	for _, l := range g.shifts {
		if a := l.accounts[instance]; a != nil {
			a.floor = 0
		}
	}
}

// Lease handles one request of a holder. The error kinds are NotReady (no
// version yet, or not the leader) and Conflict (not the committed process of
// the instance).
//
// A request from before this leader's term gets a reply that only names the
// term: a report that was sent to an earlier leader and arrives late must not
// lower a charge. Within a term, the sequence keeps reports in order.
func (g *Granter) Lease(req *fescuepb.LeaseRequest, now time.Time) (*fescuepb.LeaseReply, error) {
	if g.snap == nil || !g.leading {
		return nil, errkind.New(errkind.NotReady, "no leadership or no confirmed version of the document yet")
	}
	reply := &fescuepb.LeaseReply{Sequence: req.Sequence, Term: g.term}
	h, err := g.admit(req, now)
	if err != nil {
		return nil, err
	}
	overtaken := req.Incarnation == h.incarnation && req.Sequence <= h.sequence
	if req.Term != g.term || overtaken {
		return reply, nil
	}
	g.enter(h, req, now)
	for _, ask := range req.Asks {
		g.record(req.Instance, ask, now)
	}
	if now.Before(g.GrantsFrom()) {
		return reply, nil
	}
	for _, ask := range req.Asks {
		reply.Grants = append(reply.Grants, g.grant(req.Instance, ask.Shift, now))
	}
	reply.Grants = append(reply.Grants, g.claimBack(req, now)...)
	g.settle(now)
	return reply, nil
}

// admit checks the process of the request.
func (g *Granter) admit(req *fescuepb.LeaseRequest, now time.Time) (*holderInfo, error) {
	h := g.holder(req.Instance)
	if req.Incarnation == h.incarnation {
		return h, nil
	}
	m := g.snap.Member(req.Instance)
	if m == nil || m.Incarnation != req.Incarnation {
		return nil, errkind.New(errkind.Conflict, "instance %q: process %d is not the committed one", req.Instance, req.Incarnation)
	}
	return h, nil
}

// enter notes a report in order, and a restart of the process.
func (g *Granter) enter(h *holderInfo, req *fescuepb.LeaseRequest, now time.Time) {
	if req.Incarnation != h.incarnation {
		if h.incarnation != 0 {
			g.restart(req.Instance, now)
		}
		*h = holderInfo{incarnation: req.Incarnation}
	}
	h.sequence, h.heard = req.Sequence, now
	h.version = max(h.version, req.VersionInForce)
}

func (g *Granter) restart(instance string, now time.Time) {
	for _, l := range g.shifts {
		if a := l.accounts[instance]; a != nil {
			a.restart(now, g.deadline)
			l.stale()
		}
	}
}

func (g *Granter) record(instance string, ask *fescuepb.LeaseAsk, now time.Time) {
	a := g.account(ask.Shift, instance)
	if a.guessed {
		a.firstReport(int(ask.Pinned), now, g.deadline)
	}
	a.report(ask, now, g.deadline)
	g.ledger(ask.Shift).recount(a, now, g.deadline)
	a.floor = max(int(ask.Pinned), g.pinned[ask.Shift][instance])
}

// grant decides the limits of one holder and adds them to its account.
func (g *Granter) grant(instance, shift string, now time.Time) *fescuepb.LeaseGrant {
	a := g.account(shift, instance)
	pinned, leased := g.target(instance, shift, now)
	// Growth must fit beside everything that others may have in use. Up to
	// the holder's present charge nothing is added to the sum.
	l := g.ledger(shift)
	l.recount(a, now, g.deadline)
	room := g.cap(shift) - l.sum(now, g.deadline) + a.own(now, g.deadline)
	allowed := max(room, a.states[0].pinned+g.liveLease(a, now))
	pinned = min(pinned, allowed)
	leased = min(leased, allowed-pinned)
	a.granted(possible{pinned: pinned, leased: leased, expiry: now.Add(LeaseDuration)})
	l.recount(a, now, g.deadline)
	return &fescuepb.LeaseGrant{
		Shift:      shift,
		Granted:    uint32(leased),
		Pinned:     uint32(pinned),
		DurationMs: uint64(LeaseDuration / time.Millisecond),
	}
}

func (g *Granter) reachable(instance string, now time.Time) bool {
	h := g.holders[instance]
	return h != nil && h.incarnation != 0 && now.Before(h.heard.Add(LeaseDuration))
}

func (g *Granter) liveLease(a *account, now time.Time) int {
	if now.Before(a.states[0].expiry) {
		return a.states[0].leased
	}
	return 0
}

func (g *Granter) sum(shift string, now time.Time) int {
	return g.ledger(shift).sum(now, g.deadline)
}

func (g *Granter) cap(shift string) int { return g.snap.Shifts[shift].Cap }

func (g *Granter) holder(instance string) *holderInfo {
	if g.holders[instance] == nil {
		g.holders[instance] = &holderInfo{}
	}
	return g.holders[instance]
}

func (g *Granter) account(shift, instance string) *account {
	l := g.ledger(shift)
	if l.accounts[instance] == nil {
		l.accounts[instance] = &account{}
	}
	return l.accounts[instance]
}

func (g *Granter) ledger(shift string) *ledger {
	if g.shifts[shift] == nil {
		g.shifts[shift] = &ledger{accounts: map[string]*account{}}
	}
	return g.shifts[shift]
}
