package group

import (
	"sort"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/rendezvous"
)

// handleLendRequest answers a member that asks for a loan of this instance's
// share. The loan is granted only to the dispatcher that this instance knows, in
// the same epoch.
func (c *Core) handleLendRequest(req *fescuepb.LendRequest, now time.Time) *fescuepb.LendReply {
	reply := &fescuepb.LendReply{Group: req.Group, Lender: c.self, LenderIncarnation: c.incarnation}
	g := c.group(req.Group.GetService())
	if req.Group.GetDataCentre() != c.dc || req.Epoch != g.epoch || req.Borrower != g.dispatcher || req.Borrower == c.self {
		return reply
	}
	reply.Lent = true
	reply.DurationMs = uint64(c.loanDuration().Milliseconds())
	g.lentUntil[req.Borrower] = now.Add(c.loanDuration() + c.longestDeadline(req.Group.GetService()))
	reply.OwedMs = c.otherBorrowers(req.Group.GetService(), g, req.Borrower, now)
	if g.inUse != nil {
		reply.InUse = g.inUse()
	}
	return reply
}

// otherBorrowers returns the members other than borrower that may still use this
// instance's share, with the time left in milliseconds. This process, or an
// earlier process of this instance, may have lent the share to them.
func (c *Core) otherBorrowers(service string, g *groupView, borrower string, now time.Time) map[string]uint64 {
	out := map[string]uint64{}
	for name := range c.peers {
		if name == borrower {
			continue
		}
		if left := c.lentUntil(service, g, name).Sub(now); left > 0 {
			out[name] = uint64(left.Milliseconds()) + 1
		}
	}
	return out
}

// lentUntil returns until when a member may be using this instance's share. An
// earlier process of this instance may have lent the share to any member just
// before it ended, so for some time after the start it counts as lent to all.
func (c *Core) lentUntil(service string, g *groupView, member string) time.Time {
	hold := c.started.Add(maxLoanDuration + c.longestDeadline(service))
	if lent := g.lentUntil[member]; lent.After(hold) {
		return lent
	}
	return hold
}

// lendRequest returns the request for a loan of other members' shares, or nil if
// this instance does not dispatch the service.
func (c *Core) lendRequest(service string) *fescuepb.LendRequest {
	if !c.IsDispatcher(service) {
		return nil
	}
	return &fescuepb.LendRequest{
		Group:    &fescuepb.GroupId{Service: service, DataCentre: c.dc},
		Borrower: c.self, BorrowerIncarnation: c.incarnation,
		VersionInForce: c.versionInForce(), Epoch: c.Epoch(service),
	}
}

// handleLendReply handles, at now, the reply to a lend request sent at sentAt. It
// ignores replies that grant no loan or name another lender.
func (c *Core) handleLendReply(from string, r *fescuepb.LendReply, sentAt, now time.Time) {
	if !r.Lent || r.Lender != from || r.Group.GetDataCentre() != c.dc {
		return
	}
	c.group(r.Group.Service).loans[from] = &loan{
		expiry:            sentAt.Add(time.Duration(r.DurationMs)*time.Millisecond - loanMargin),
		lenderIncarnation: r.LenderIncarnation,
		inUse:             r.InUse,
		otherBorrowers:    expiryTimes(r.OwedMs, now),
	}
}

// expiryTimes converts remaining milliseconds, counted from a time, to points in
// time.
func expiryTimes(ms map[string]uint64, from time.Time) map[string]time.Time {
	out := make(map[string]time.Time, len(ms))
	for name, left := range ms {
		out[name] = from.Add(time.Duration(left) * time.Millisecond)
	}
	return out
}

// longestDeadline returns the longest deadline of requests of the service, or
// that of all services if the snapshot does not contain the service.
func (c *Core) longestDeadline(service string) time.Duration {
	if c.snap == nil {
		return 0
	}
	if svc := c.snap.Services[service]; svc != nil {
		return c.snap.LongestDeadline(svc)
	}
	return c.snap.Limits.LongestDeadline.AsDuration()
}

// UsableSlots returns how many slots of a target this instance may use now; slots
// is the number of slots of the target. The dispatcher may use its own share,
// the shares that members have lent to it and the shares of members whose process
// is proved dead. The requests that lenders still have in flight are deducted.
func (c *Core) UsableSlots(service, target string, slots int, now time.Time) int {
	if !c.IsDispatcher(service) || c.stopping {
		return 0
	}
	g := c.groups[service]
	members := c.snap.Entries(c.dc)
	usable := 0
	if c.ownShareAvailable(service, g, now) {
		usable = share(members, c.self, target, slots)
	}
	for _, m := range members {
		if m.Instance != c.self {
			usable += c.borrowedSlots(service, g, m.Instance, share(members, m.Instance, target, slots), target, now)
		}
	}
	return max(usable, 0)
}

// borrowedSlots returns how many slots of a member's share this instance may use.
// It is negative while the member has more requests in flight than its share.
func (c *Core) borrowedSlots(service string, g *groupView, member string, share int, target string, now time.Time) int {
	if c.ProvedDead(member, now) {
		return c.deadMemberShare(g, member, share, now)
	}
	p := g.loans[member]
	if p == nil || !now.Before(p.expiry.Add(c.longestDeadline(service))) {
		return 0
	}
	free := share - int(p.inUse[target])
	if p.active(now) && c.lentShareAvailable(g, p, now) {
		return free
	}
	return min(free, 0)
}

// deadMemberShare returns the share of a dead member if no other member can claim
// it as well, and 0 otherwise.
func (c *Core) deadMemberShare(g *groupView, dead string, share int, now time.Time) int {
	for name := range c.peers {
		if name != dead && !c.inactive(g, name, now) {
			return 0
		}
	}
	return share
}

// inactive reports whether a member certainly starts no requests now: it has lent
// its share to this instance, or its process is proved dead.
func (c *Core) inactive(g *groupView, member string, now time.Time) bool {
	return c.ProvedDead(member, now) || g.loans[member].active(now)
}

// lentShareAvailable reports whether no third member may be using the share of a
// lender.
func (c *Core) lentShareAvailable(g *groupView, p *loan, now time.Time) bool {
	for name, until := range p.otherBorrowers {
		if name != c.self && now.Before(until) && !c.inactive(g, name, now) {
			return false
		}
	}
	return true
}

// ownShareAvailable reports whether this instance may use its own share: no other
// active member may be using it, and each has a version in force in which this
// instance is a member. With an older version, the member computes the shares
// without this instance.
func (c *Core) ownShareAvailable(service string, g *groupView, now time.Time) bool {
	self := c.snap.Member(c.self)
	for name, p := range c.peers {
		if c.inactive(g, name, now) {
			continue
		}
		if now.Before(c.lentUntil(service, g, name)) {
			return false
		}
		if self == nil || p.version < self.JoinedVersion {
			return false
		}
	}
	return true
}

// active reports whether the loan exists and has not expired.
func (p *loan) active(now time.Time) bool { return p != nil && now.Before(p.expiry) }

// share returns how many of a target's slots belong to a member. The shares of
// all members add up to slots. The remainder of the division goes to different
// members for different targets, by rendezvous hashing.
func share(members []*fescuepb.Member, member, target string, slots int) int {
	n := len(members)
	if n == 0 {
		return 0
	}
	order := make([]string, 0, n)
	for _, m := range members {
		order = append(order, m.Instance)
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := rendezvous.Hash(target, order[i]), rendezvous.Hash(target, order[j])
		if a != b {
			return a > b
		}
		return order[i] < order[j]
	})
	for i, name := range order {
		if name == member {
			return slots/n + boolToInt(i < slots%n)
		}
	}
	return 0
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
