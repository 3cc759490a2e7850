// Package group decides which entry of a data centre dispatches each service
// and how the entries share the slots of the targets.
//
// Core is the pure part: it does no I/O and reads no clock. Invariants:
//
//   - The units of a target that the members of a data centre may use add up
//     to at most the target's slots.
//   - A member that has promised a dispatcher to start nothing keeps the
//     promise for its time on its own clock, and uses its own share only
//     after the longest deadline has passed on top, unless the dispatcher's
//     process is proved dead or has made the same promise in return.
//   - A process that has just started counts as having promised to everyone.
package group

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Times of the protocol between the entries of a data centre. The interval
// of pings grows with the number of members, so that their traffic stays
// within the 5 KB/s of a node at the planned size; the other times follow it.
const (
	PingInterval    = 250 * time.Millisecond
	maxPingInterval = 1500 * time.Millisecond
	// pingsPerStep members lengthen the interval by one PingInterval.
	pingsPerStep = 2
	// minSilence and silentPings say when a member that neither answers nor
	// refuses counts as gone; at the longest interval a takeover takes 2.7 s.
	minSilence  = 1500 * time.Millisecond
	silentPings = 1.6
	// minPromiseTime and promisePings say how long a member starts nothing
	// for a dispatcher: two pings may get lost.
	minPromiseTime = 2 * time.Second
	promisePings   = 3
	maxPromiseTime = promisePings * maxPingInterval
	// RefreshInterval is how often shares are computed anew.
	RefreshInterval = 250 * time.Millisecond
	// refreshMargin ends a promise early for its receiver, because it notices
	// the end only when it computes its shares.
	refreshMargin = RefreshInterval + 50*time.Millisecond
	// bootWait is how long a new process waits for silent members before it
	// may dispatch a service that nobody seems to dispatch.
	bootWait = 2500 * time.Millisecond
)

// Core holds the view of one member. It is not safe for concurrent use.
type Core struct {
	self        string
	incarnation uint64
	dc          string
	started     time.Time
	stopping    bool
	snap        *snapshot.Snapshot
	peers       map[string]*peerView
	groups      map[string]*groupView
	newToken    func() string
}

// peerView is what is known about another entry of the data centre.
type peerView struct {
	incarnation uint64
	version     uint64    // in force there, while the incarnation lasts
	aliveAt     time.Time // when it was last heard of
	answeredAt  time.Time // when the last answered ping was sent
	refusedAt   time.Time // when its address last refused a connection
	contact     bool      // answered or refused since our start
	view        uint64    // digest of the epochs that it knew last
	leaving     bool
}

// groupView is what is known about one dispatch group.
type groupView struct {
	epoch           uint64
	home            string
	homeIncarnation uint64
	token           string
	previous        Predecessor
	inUse           func() map[string]uint32
	// owed holds until when our own share belongs to another member.
	owed map[string]time.Time
	// promises holds what other members have promised to us.
	promises map[string]*promise
}

// Predecessor is the dispatcher of the epoch directly before; its instance
// is "" if it is not known.
type Predecessor struct {
	Instance    string
	Incarnation uint64
	// Silent is set if the predecessor was replaced because it was silent: it
	// may still run.
	Silent bool
}

// move sets a new dispatcher.
func (g *groupView) move(epoch uint64, home string, incarnation uint64, token string) {
	g.previous = Predecessor{}
	if epoch == g.epoch+1 {
		g.previous = Predecessor{Instance: g.home, Incarnation: g.homeIncarnation}
	}
	g.epoch, g.home, g.homeIncarnation, g.token = epoch, home, incarnation, token
}

type promise struct {
	until       time.Time // on our clock, counted from before the request
	incarnation uint64
	inUse       map[string]uint32
	owed        map[string]time.Time // members that may still use the lender's share, until when
}

// NewCore returns the view of a process that starts now.
func NewCore(self, dc string, incarnation uint64, now time.Time, newToken func() string) *Core {
	return &Core{
		self: self, dc: dc, incarnation: incarnation, started: now, newToken: newToken,
		peers: map[string]*peerView{}, groups: map[string]*groupView{},
	}
}

// SetSnapshot takes over a new routing snapshot.
func (c *Core) SetSnapshot(s *snapshot.Snapshot) {
	c.snap = s
	present := map[string]bool{}
	for _, m := range s.Entries(c.dc) {
		if m.Instance == c.self {
			continue
		}
		present[m.Instance] = true
		if c.peers[m.Instance] == nil {
			c.peers[m.Instance] = &peerView{}
		}
	}
	for name := range c.peers {
		if !present[name] {
			delete(c.peers, name)
		}
	}
	for name, svc := range s.Services {
		if !svc.GuardedSlots {
			c.group(name)
		}
	}
}

// group returns the view of a service's group. A new view counts as having
// promised to every member.
func (c *Core) group(service string) *groupView {
	g := c.groups[service]
	if g == nil {
		g = &groupView{owed: map[string]time.Time{}, promises: map[string]*promise{}}
		c.groups[service] = g
	}
	return g
}

// SetInUse registers how to read the requests in flight per target of a
// service on this instance.
func (c *Core) SetInUse(service string, f func() map[string]uint32) { c.group(service).inUse = f }

// Interval returns the time between two pings of a member.
func (c *Core) Interval() time.Duration {
	steps := (len(c.peers) + pingsPerStep - 1) / pingsPerStep
	return min(max(time.Duration(steps), 1)*PingInterval, maxPingInterval)
}

// silentAfter is when a member that is not heard of counts as gone.
func (c *Core) silentAfter() time.Duration {
	return max(minSilence, time.Duration(silentPings*float64(c.Interval())))
}

// promiseTime is how long a promise of this member holds.
func (c *Core) promiseTime() time.Duration {
	return max(minPromiseTime, promisePings*c.Interval())
}

// Peers returns the members to ping.
func (c *Core) Peers() []*fescuepb.Member {
	if c.snap == nil {
		return nil
	}
	var out []*fescuepb.Member
	for _, m := range c.snap.Entries(c.dc) {
		if m.Instance != c.self {
			out = append(out, m)
		}
	}
	return out
}

// Home returns the member that dispatches the service, or "".
func (c *Core) Home(service string) string {
	if g := c.groups[service]; g != nil {
		return g.home
	}
	return ""
}

// Token returns the key token of the service's present epoch.
func (c *Core) Token(service string) string {
	if g := c.groups[service]; g != nil {
		return g.token
	}
	return ""
}

// Epoch returns the present epoch of the service's group.
func (c *Core) Epoch(service string) uint64 {
	if g := c.groups[service]; g != nil {
		return g.epoch
	}
	return 0
}

// Previous returns the dispatcher before the present one.
func (c *Core) Previous(service string) Predecessor {
	if g := c.groups[service]; g != nil {
		return g.previous
	}
	return Predecessor{}
}

// IsHome reports whether this instance dispatches the service.
func (c *Core) IsHome(service string) bool {
	g := c.groups[service]
	return g != nil && g.home == c.self && g.homeIncarnation == c.incarnation
}

// Alive reports whether a member answered lately, or is this instance.
func (c *Core) Alive(instance string, now time.Time) bool {
	if instance == c.self {
		return true
	}
	p := c.peers[instance]
	return p != nil && !p.aliveAt.IsZero() && now.Sub(p.aliveAt) < c.silentAfter() && p.refusedAt.Before(p.aliveAt)
}

// Leaving reports whether a member has said that it is leaving.
func (c *Core) Leaving(instance string) bool {
	if instance == c.self {
		return c.stopping
	}
	p := c.peers[instance]
	return p != nil && p.leaving
}

// Dead reports whether the process of a member is proved not to run: its
// address has just refused a connection. A process that starts after that
// uses no slots for at least maxPromiseTime, so the proof holds that long.
func (c *Core) Dead(instance string, now time.Time) bool {
	p := c.peers[instance]
	return p != nil && p.refusedAt.After(p.aliveAt) && now.Sub(p.refusedAt) < maxPromiseTime-refreshMargin
}

// DiedInContact reports whether a member is proved dead and answered a ping
// so shortly before that it cannot have taken this instance for silent.
func (c *Core) DiedInContact(instance string, now time.Time) bool {
	p := c.peers[instance]
	return c.Dead(instance, now) && p.refusedAt.Sub(p.answeredAt) < minSilence
}

// AllSeen reports whether every other member is alive or proved dead.
func (c *Core) AllSeen(now time.Time) bool {
	for name := range c.peers {
		if !c.Alive(name, now) && !c.Dead(name, now) {
			return false
		}
	}
	return true
}

// Raise moves a group that this instance dispatches to a higher epoch, whose
// predecessor is not known.
func (c *Core) Raise(service string, epoch uint64) {
	if g := c.groups[service]; c.IsHome(service) && epoch > g.epoch {
		g.move(epoch, c.self, c.incarnation, c.newToken())
		g.previous = Predecessor{}
	}
}

// Stop marks this instance as leaving: it hands its groups over.
func (c *Core) Stop() { c.stopping = true }

// OnRefused takes over that a connection attempt made at sentAt was refused.
func (c *Core) OnRefused(instance string, sentAt time.Time) {
	p := c.peers[instance]
	if p == nil {
		return
	}
	p.contact = true
	if sentAt.After(p.refusedAt) {
		p.refusedAt = sentAt
	}
}

func (p *peerView) observe(incarnation, version uint64, leaving bool) {
	if p.incarnation != incarnation {
		p.incarnation, p.version = incarnation, 0
	}
	p.version = max(p.version, version)
	p.leaving = leaving
}

// adopt takes over what another member knows about the groups. A higher
// epoch wins; of two homes with the same epoch the higher name wins, so that
// members that took over at the same moment agree.
func (c *Core) adopt(epochs []*fescuepb.GroupEpoch) {
	for _, e := range epochs {
		if e.Group.GetDataCentre() != c.dc {
			continue
		}
		g := c.group(e.Group.Service)
		if e.Epoch < g.epoch || e.Epoch == g.epoch && e.Home <= g.home {
			continue
		}
		g.move(e.Epoch, e.Home, e.HomeIncarnation, e.Token)
	}
}
