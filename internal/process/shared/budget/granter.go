package budget

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Timing constants that must be equal at all control instances.
const (
	// LeaseDuration is how long leased units are valid without renewal. It is six
	// request intervals, so that a lease survives a few lost requests.
	LeaseDuration = 3 * time.Second
	// LeaderOverlap is the longest time for which a replaced leader may still
	// grant. It exceeds the time after which a leader without a quorum steps down.
	LeaderOverlap = 2 * time.Second
	// ClockMargin is added to deadlines. It covers the drift between two monotonic
	// clocks over the duration of a lease and a request deadline.
	ClockMargin = 100 * time.Millisecond
	// rotationInterval is how often units that cannot be divided evenly move to
	// other holders.
	rotationInterval = 5 * time.Second
	// pruneInterval is how often accounts that are no longer needed are removed.
	pruneInterval = time.Second
)

// holderInfo is the state of a holder that does not depend on the shift.
type holderInfo struct {
	incarnation   uint64 // 0 until the first request to this leader
	sequence      uint64
	ackedVersion  uint64 // newest version that the holder acknowledged
	lastRequestAt time.Time
}

// Granter keeps account of the shift caps at a control instance and grants units
// to holders. Every control instance passes each committed version to Observe,
// so that a new leader knows the pinned shares that unreachable holders may still
// use. Granter is not safe for concurrent use.
type Granter struct {
	snap            *snapshot.Snapshot
	entries         []string
	longestDeadline time.Duration // longest request deadline that any observed version admits, plus ClockMargin

	leading     bool
	leaderSince time.Time
	term        uint64
	// noPriorHolders is set if no entry had been a member when the term began.
	noPriorHolders bool

	holders      map[string]*holderInfo
	ledgers      map[string]*ledger
	pinnedShares map[string]map[string]int // by shift and instance, of the current version
	loweredCaps  map[string]loweredCap
	prunedAt     time.Time
}

// NewGranter returns a granter for a control instance that is not the leader.
func NewGranter() *Granter {
	return &Granter{
		holders:      map[string]*holderInfo{},
		ledgers:      map[string]*ledger{},
		pinnedShares: map[string]map[string]int{},
		loweredCaps:  map[string]loweredCap{},
	}
}

// Observe applies a committed version. It ignores versions that are not newer
// than the current one.
func (g *Granter) Observe(s *snapshot.Snapshot) {
	if s == nil || (g.snap != nil && s.Version <= g.snap.Version) {
		return
	}
	g.recordLoweredCaps(s)
	g.snap = s
	g.entries = entryNames(s)
	g.longestDeadline = max(g.longestDeadline, s.Limits.LongestDeadline.AsDuration()+ClockMargin)
	for _, l := range g.ledgers {
		l.invalidate()
	}
	g.pinnedShares = make(map[string]map[string]int, len(s.Shifts))
	for name, sh := range s.Shifts {
		split := splitPinned(name, sh.Cap, g.entries)
		g.pinnedShares[name] = split
		for inst, units := range split {
			a := g.account(name, inst)
			a.maxPinned = max(a.maxPinned, units)
		}
	}
}

// BecomeLeader makes the granter that of a new leader. It grants nothing until
// the leases of earlier leaders and the requests admitted under them have ended.
// If no entry has been a member yet, there are no such leases, and it grants at
// once. The caller must have passed all versions committed before the term to
// Observe.
func (g *Granter) BecomeLeader(term uint64, now time.Time) {
	g.leading, g.leaderSince, g.term = true, now, term
	g.noPriorHolders = len(g.entries) == 0 && !g.hasAccounts()
	for _, h := range g.holders {
		*h = holderInfo{}
	}
	for _, l := range g.ledgers {
		for _, a := range l.accounts {
			a.assumeMaxPinned()
		}
		l.invalidate()
	}
}

// hasAccounts reports whether any entry may hold units of any shift.
func (g *Granter) hasAccounts() bool {
	for _, l := range g.ledgers {
		if len(l.accounts) > 0 {
			return true
		}
	}
	return false
}

// StepDown ends the leadership of the granter.
func (g *Granter) StepDown() { g.leading = false }

// GrantsFrom returns the time from which a new leader may grant units.
func (g *Granter) GrantsFrom() time.Time {
	if g.noPriorHolders {
		return g.leaderSince
	}
	return g.leaderSince.Add(LeaderOverlap + LeaseDuration + g.longestDeadline)
}

// InstanceRemoved records that the process of an instance has ended: the process
// announced its end with no request in flight, its address refuses connections,
// or the platform list no longer contains it. Its requests in flight stay charged
// for the longest request deadline. The caller must have passed the version
// without the instance to Observe.
func (g *Granter) InstanceRemoved(instance string, now time.Time) {
	delete(g.holders, instance)
	g.recordRestart(instance, now)
	for _, l := range g.ledgers {
		if a := l.accounts[instance]; a != nil {
			a.maxPinned = 0
		}
	}
}

// Lease handles one request of a holder. The error kinds are NotReady (no
// version yet, or not the leader) and Conflict (the sender is not the committed
// process of the instance).
//
// A request of another term gets a reply that contains only the current term,
// and its reports are ignored: a report that was sent to an earlier leader and
// arrives late must not lower a charge. Within a term, requests that arrive out
// of order are recognised by their sequence number and ignored in the same way.
func (g *Granter) Lease(req *fescuepb.LeaseRequest, now time.Time) (*fescuepb.LeaseReply, error) {
	if g.snap == nil || !g.leading {
		return nil, errkind.New(errkind.NotReady, "this control instance is not the leader or has no confirmed version of the document yet")
	}
	reply := &fescuepb.LeaseReply{Sequence: req.Sequence, Term: g.term}
	h, err := g.checkProcess(req, now)
	if err != nil {
		return nil, err
	}
	outOfOrder := req.Incarnation == h.incarnation && req.Sequence <= h.sequence
	if req.Term != g.term || outOfOrder {
		return reply, nil
	}
	g.recordRequest(h, req, now)
	for _, ask := range req.Asks {
		g.recordAsk(req.Instance, ask, now)
	}
	if now.Before(g.GrantsFrom()) {
		return reply, nil
	}
	for _, ask := range req.Asks {
		reply.Grants = append(reply.Grants, g.grant(req.Instance, ask.Shift, now))
	}
	reply.Grants = append(reply.Grants, g.reclaimGrants(req, now)...)
	g.updateLoweredCaps(now)
	return reply, nil
}

// checkProcess returns the holder of the request, or an error unless the sender
// is the process that reported last or the committed process of the instance.
func (g *Granter) checkProcess(req *fescuepb.LeaseRequest, now time.Time) (*holderInfo, error) {
	h := g.holder(req.Instance)
	if req.Incarnation == h.incarnation {
		return h, nil
	}
	m := g.snap.Member(req.Instance)
	if m == nil || m.Incarnation != req.Incarnation {
		return nil, errkind.New(errkind.Conflict, "instance %q: incarnation %d is not the committed one", req.Instance, req.Incarnation)
	}
	return h, nil
}

// recordRequest records a request that arrived in order, and a restart of the
// process if the incarnation has changed.
func (g *Granter) recordRequest(h *holderInfo, req *fescuepb.LeaseRequest, now time.Time) {
	if req.Incarnation != h.incarnation {
		if h.incarnation != 0 {
			g.recordRestart(req.Instance, now)
		}
		*h = holderInfo{incarnation: req.Incarnation}
	}
	h.sequence, h.lastRequestAt = req.Sequence, now
	h.ackedVersion = max(h.ackedVersion, req.VersionInForce)
}

// recordRestart charges the previous process of the instance with what the
// instance may have in use.
func (g *Granter) recordRestart(instance string, now time.Time) {
	for _, l := range g.ledgers {
		if a := l.accounts[instance]; a != nil {
			a.recordRestart(now, g.longestDeadline)
			l.invalidate()
		}
	}
}

// recordAsk records the report of one shift that an ask contains.
func (g *Granter) recordAsk(instance string, ask *fescuepb.LeaseAsk, now time.Time) {
	a := g.account(ask.Shift, instance)
	if a.unreported {
		a.recordFirstReport(int(ask.Pinned), now, g.longestDeadline)
	}
	a.recordReport(ask, now, g.longestDeadline)
	g.ledger(ask.Shift).recount(a, now, g.longestDeadline)
	a.maxPinned = max(int(ask.Pinned), g.pinnedShares[ask.Shift][instance])
}

// grant determines the limits of one holder in one shift, adds them to its
// account and returns them for the reply.
func (g *Granter) grant(instance, shift string, now time.Time) *fescuepb.LeaseGrant {
	a := g.account(shift, instance)
	pinned, leased := g.targetLimits(instance, shift, now)
	// Limits may grow only by units that no other holder may have in use. Limits
	// up to the holder's current charge do not increase the sum of the charges.
	l := g.ledger(shift)
	l.recount(a, now, g.longestDeadline)
	available := g.committedCap(shift) - l.totalCharge(now, g.longestDeadline) + a.currentCharge(now, g.longestDeadline)
	allowed := max(available, a.possible[0].pinned+g.unexpiredLease(a, now))
	pinned = min(pinned, allowed)
	leased = min(leased, allowed-pinned)
	a.recordGrant(limits{pinned: pinned, leased: leased, expiry: now.Add(LeaseDuration)})
	l.recount(a, now, g.longestDeadline)
	return &fescuepb.LeaseGrant{
		Shift:      shift,
		Granted:    uint32(leased),
		Pinned:     uint32(pinned),
		DurationMs: uint64(LeaseDuration / time.Millisecond),
	}
}

// reachable reports whether the holder has sent a request to this leader within
// LeaseDuration.
func (g *Granter) reachable(instance string, now time.Time) bool {
	h := g.holders[instance]
	return h != nil && h.incarnation != 0 && now.Before(h.lastRequestAt.Add(LeaseDuration))
}

// unexpiredLease returns the leased units of the last report that have not
// expired.
func (g *Granter) unexpiredLease(a *account, now time.Time) int {
	if now.Before(a.possible[0].expiry) {
		return a.possible[0].leased
	}
	return 0
}

func (g *Granter) totalCharge(shift string, now time.Time) int {
	return g.ledger(shift).totalCharge(now, g.longestDeadline)
}

func (g *Granter) committedCap(shift string) int { return g.snap.Shifts[shift].Cap }

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
	if g.ledgers[shift] == nil {
		g.ledgers[shift] = &ledger{accounts: map[string]*account{}}
	}
	return g.ledgers[shift]
}
