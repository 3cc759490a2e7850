package group

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// onLend answers a dispatcher that asks this member to start nothing. The
// promise is made only to the dispatcher that this member knows.
func (c *Core) onLend(req *fescuepb.LendRequest, now time.Time) *fescuepb.LendReply {
	reply := &fescuepb.LendReply{Group: req.Group, Lender: c.self, LenderIncarnation: c.incarnation}
	g := c.group(req.Group.GetService())
	if req.Group.GetDataCentre() != c.dc || req.Epoch != g.epoch || req.Borrower != g.home || req.Borrower == c.self {
		return reply
	}
	reply.Lent = true
	reply.DurationMs = uint64(c.promiseTime().Milliseconds())
	g.owed[req.Borrower] = now.Add(c.promiseTime() + c.longest(req.Group.GetService()))
	reply.OwedMs = c.owedToOthers(req.Group.GetService(), g, req.Borrower, now)
	if g.inUse != nil {
		reply.InUse = g.inUse()
	}
	return reply
}

// owedToOthers returns the members other than borrower that may still use
// our share, because we promised them to start nothing or because an earlier
// process of this instance may have.
func (c *Core) owedToOthers(service string, g *groupView, borrower string, now time.Time) map[string]uint64 {
	out := map[string]uint64{}
	for name := range c.peers {
		if name == borrower {
			continue
		}
		if left := c.owedUntil(service, g, name).Sub(now); left > 0 {
			out[name] = uint64(left.Milliseconds()) + 1
		}
	}
	return out
}

// owedUntil returns until when a member may be using our share.
func (c *Core) owedUntil(service string, g *groupView, member string) time.Time {
	hold := c.started.Add(maxPromiseTime + c.longest(service))
	if owed := g.owed[member]; owed.After(hold) {
		return owed
	}
	return hold
}

// lend returns the request to another member, or nil if this instance does
// not dispatch the service.
func (c *Core) lend(service string) *fescuepb.LendRequest {
	if !c.IsHome(service) {
		return nil
	}
	return &fescuepb.LendRequest{
		Group:    &fescuepb.GroupId{Service: service, DataCentre: c.dc},
		Borrower: c.self, BorrowerIncarnation: c.incarnation,
		VersionInForce: c.version(), Epoch: c.Epoch(service),
	}
}

// onLendReply takes over, at now, the answer to a request sent at sentAt.
func (c *Core) onLendReply(from string, r *fescuepb.LendReply, sentAt, now time.Time) {
	if !r.Lent || r.Lender != from || r.Group.GetDataCentre() != c.dc {
		return
	}
	c.group(r.Group.Service).promises[from] = &promise{
		until:       sentAt.Add(time.Duration(r.DurationMs)*time.Millisecond - refreshMargin),
		incarnation: r.LenderIncarnation,
		inUse:       r.InUse,
		owed:        owedTimes(r.OwedMs, now),
	}
}

func owedTimes(ms map[string]uint64, from time.Time) map[string]time.Time {
	out := make(map[string]time.Time, len(ms))
	for name, left := range ms {
		out[name] = from.Add(time.Duration(left) * time.Millisecond)
	}
	return out
}

func (c *Core) longest(service string) time.Duration {
	if c.snap == nil {
		return 0
	}
	if svc := c.snap.Services[service]; svc != nil {
		return c.snap.LongestDeadline(svc)
	}
	return c.snap.Limits.LongestDeadline.AsDuration()
}

// Usable returns how many slots of a target this instance may use now. The
// dispatcher uses its own share, the shares of members that have promised to
// start nothing and those of members whose process is proved dead, less what
// these members still have in flight.
func (c *Core) Usable(service, target string, slots int, now time.Time) int {
	if !c.IsHome(service) || c.stopping {
		return 0
	}
	g := c.groups[service]
	members := c.snap.Entries(c.dc)
	usable := 0
	if c.ownShareFree(service, g, now) {
		usable = share(members, c.self, target, slots)
	}
	for _, m := range members {
		if m.Instance != c.self {
			usable += c.borrowed(service, g, m.Instance, share(members, m.Instance, target, slots), target, now)
		}
	}
	return max(usable, 0)
}

// borrowed returns the part of a member's share that this instance may use;
// it is negative while the member has more in flight than its share.
func (c *Core) borrowed(service string, g *groupView, member string, share int, target string, now time.Time) int {
	if c.Dead(member, now) {
		return c.inheritable(g, member, share, now)
	}
	p := g.promises[member]
	if p == nil || !now.Before(p.until.Add(c.longest(service))) {
		return 0
	}
	free := share - int(p.inUse[target])
	if p.live(now) && c.lenderShareFree(g, p, now) {
		return free
	}
	return min(free, 0)
}

// inheritable returns the share of a dead member if no other member can
// claim it as well.
func (c *Core) inheritable(g *groupView, dead string, share int, now time.Time) int {
	for name := range c.peers {
		if name != dead && !c.inactive(g, name, now) {
			return 0
		}
	}
	return share
}

// inactive reports whether a member certainly starts nothing now: it has
// promised so, or its process is proved dead.
func (c *Core) inactive(g *groupView, member string, now time.Time) bool {
	return c.Dead(member, now) || g.promises[member].live(now)
}

// lenderShareFree reports whether no third member may be using the share of
// a lender.
func (c *Core) lenderShareFree(g *groupView, p *promise, now time.Time) bool {
	for name, until := range p.owed {
		if name != c.self && now.Before(until) && !c.inactive(g, name, now) {
			return false
		}
	}
	return true
}

// ownShareFree reports whether no other member may be using our share, and
// every member knows that we have one.
func (c *Core) ownShareFree(service string, g *groupView, now time.Time) bool {
	self := c.snap.Member(c.self)
	for name, p := range c.peers {
		if c.inactive(g, name, now) {
			continue
		}
		if now.Before(c.owedUntil(service, g, name)) {
			return false
		}
		if self == nil || p.version < self.JoinedVersion {
			return false
		}
	}
	return true
}

func (p *promise) live(now time.Time) bool { return p != nil && now.Before(p.until) }

// share returns the pinned share of a member of a target's slots. The shares
// of all members add up to slots; the remainder of the division goes to
// different members for different targets.
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
		a, b := xxhash.Sum64String(target+"\x00"+order[i]), xxhash.Sum64String(target+"\x00"+order[j])
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
