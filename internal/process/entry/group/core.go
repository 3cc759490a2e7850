// Package group decides which entry of a data centre dispatches each service
// and how the entries share the slots of the targets.
//
// The slots of each target are divided into one share per entry of the data
// centre. The dispatcher of a service asks the other entries to lend it their
// shares. An entry that lends its share starts no requests for the service
// until the loan has expired.
//
// Core is the state machine of the protocol: it does no I/O and reads no clock.
// Its invariants are:
//
//   - The slots of a target that the members of a data centre may use add up
//     to at most the target's slots.
//   - A lender honours its loan for the agreed duration by its own clock. It
//     uses its own share only when the longest deadline has passed as well,
//     since requests of the borrower may run that long. It need not wait if the
//     borrower's process is proved dead or lends its own share to this member.
//   - A process that has just started counts as having lent its share to every
//     other member, because an earlier process of the instance may have done so.
package group

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Times of the protocol between the entries of a data centre. The ping interval
// grows with the number of members, so that the ping traffic of a node stays
// within 5 KB/s at the planned size. The other times derive from the interval.
const (
	PingInterval    = 250 * time.Millisecond
	maxPingInterval = 1500 * time.Millisecond
	// peersPerStep is the number of other members that lengthens the interval
	// by one PingInterval.
	peersPerStep = 2
	// A member that neither answers nor refuses connections counts as gone after
	// silentIntervals ping intervals, and after minSilence at the earliest. At
	// the longest interval a takeover takes 2.7 s.
	minSilence      = 1500 * time.Millisecond
	silentIntervals = 1.6
	// A loan lasts loanIntervals ping intervals, and minLoanDuration at least.
	// It thus stays in force if two pings in a row are lost.
	minLoanDuration = 2 * time.Second
	loanIntervals   = 3
	maxLoanDuration = loanIntervals * maxPingInterval
	// RefreshInterval is how often the shares are recomputed.
	RefreshInterval = 250 * time.Millisecond
	// loanMargin is how much earlier a loan ends for the borrower than for the
	// lender. The borrower notices the end only when it recomputes the shares.
	loanMargin = RefreshInterval + 50*time.Millisecond
	// startupWait is how long a new process waits for members that do not
	// respond before it may dispatch a service that has no known dispatcher.
	startupWait = 2500 * time.Millisecond
)

// Core holds one member's view of the dispatch groups of its data centre. It is
// not safe for concurrent use.
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

// peerView holds what this instance knows about another entry of the data
// centre.
type peerView struct {
	incarnation  uint64
	version      uint64    // highest version in force reported by this incarnation
	lastHeard    time.Time // when its last ping arrived, or when the last ping that it answered was sent
	lastAnswered time.Time // when the last ping that it answered was sent
	lastRefused  time.Time // when the last connection attempt that its address refused was made
	contacted    bool      // it has answered a ping or refused a connection since this process started
	epochDigest  uint64    // digest of the epochs in its latest message, 0 if unknown
	leaving      bool
}

// groupView holds what this instance knows about one dispatch group.
type groupView struct {
	epoch                 uint64
	dispatcher            string
	dispatcherIncarnation uint64
	token                 string
	previous              Predecessor
	inUse                 func() map[string]uint32
	// lentUntil holds, by borrower, until when the borrower may have requests in
	// flight on this instance's share.
	lentUntil map[string]time.Time
	// loans holds, by lender, the loans that other members have made to this
	// instance.
	loans map[string]*loan
}

// Predecessor is the dispatcher of the preceding epoch. Its instance is "" if
// it is not known.
type Predecessor struct {
	Instance    string
	Incarnation uint64
	// Silent is set if the predecessor was replaced because it did not respond.
	// Its process may still run.
	Silent bool
}

// setDispatcher records the dispatcher of a new epoch. The predecessor is known
// only if no epoch was skipped.
func (g *groupView) setDispatcher(epoch uint64, dispatcher string, incarnation uint64, token string) {
	g.previous = Predecessor{}
	if epoch == g.epoch+1 {
		g.previous = Predecessor{Instance: g.dispatcher, Incarnation: g.dispatcherIncarnation}
	}
	g.epoch, g.dispatcher, g.dispatcherIncarnation, g.token = epoch, dispatcher, incarnation, token
}

type loan struct {
	expiry            time.Time // by this instance's clock, counted from before the request was sent
	lenderIncarnation uint64
	inUse             map[string]uint32
	otherBorrowers    map[string]time.Time // other members that may still use the lender's share, and until when
}

// NewCore returns the view of a process that starts at now, a time of package
// steady.
func NewCore(self, dc string, incarnation uint64, now time.Time, newToken func() string) *Core {
	return &Core{
		self: self, dc: dc, incarnation: incarnation, started: now, newToken: newToken,
		peers: map[string]*peerView{}, groups: map[string]*groupView{},
	}
}

// SetSnapshot applies a new routing snapshot: it adds and removes peers and adds
// the groups of new services.
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

// group returns the view of a service's group and creates it if there is none.
func (c *Core) group(service string) *groupView {
	g := c.groups[service]
	if g == nil {
		g = &groupView{lentUntil: map[string]time.Time{}, loans: map[string]*loan{}}
		c.groups[service] = g
	}
	return g
}

// SetInUse registers the function that returns this instance's requests in
// flight for a service, by target.
func (c *Core) SetInUse(service string, f func() map[string]uint32) { c.group(service).inUse = f }

// Interval returns the time between two pings to the same member.
func (c *Core) Interval() time.Duration {
	steps := (len(c.peers) + peersPerStep - 1) / peersPerStep
	return min(max(time.Duration(steps), 1)*PingInterval, maxPingInterval)
}

// silentAfter returns how long a member may be silent before it counts as gone.
func (c *Core) silentAfter() time.Duration {
	return max(minSilence, time.Duration(silentIntervals*float64(c.Interval())))
}

// loanDuration returns how long a loan of this instance's share lasts.
func (c *Core) loanDuration() time.Duration {
	return max(minLoanDuration, loanIntervals*c.Interval())
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

// Dispatcher returns the member that dispatches the service, or "" if none is
// known.
func (c *Core) Dispatcher(service string) string {
	if g := c.groups[service]; g != nil {
		return g.dispatcher
	}
	return ""
}

// Token returns the key token of the current epoch of the service's group, or ""
// if there is none.
func (c *Core) Token(service string) string {
	if g := c.groups[service]; g != nil {
		return g.token
	}
	return ""
}

// Epoch returns the current epoch of the service's group, 0 if it has had no
// dispatcher yet.
func (c *Core) Epoch(service string) uint64 {
	if g := c.groups[service]; g != nil {
		return g.epoch
	}
	return 0
}

// Previous returns the dispatcher of the preceding epoch.
func (c *Core) Previous(service string) Predecessor {
	if g := c.groups[service]; g != nil {
		return g.previous
	}
	return Predecessor{}
}

// IsDispatcher reports whether this process dispatches the service. An earlier
// process of the same instance does not count.
func (c *Core) IsDispatcher(service string) bool {
	g := c.groups[service]
	return g != nil && g.dispatcher == c.self && g.dispatcherIncarnation == c.incarnation
}

// Alive reports whether a member was heard from recently and has not refused a
// connection since. This instance is always alive.
func (c *Core) Alive(instance string, now time.Time) bool {
	if instance == c.self {
		return true
	}
	p := c.peers[instance]
	return p != nil && !p.lastHeard.IsZero() && now.Sub(p.lastHeard) < c.silentAfter() && p.lastRefused.Before(p.lastHeard)
}

// Leaving reports whether a member has announced that it is leaving.
func (c *Core) Leaving(instance string) bool {
	if instance == c.self {
		return c.stopping
	}
	p := c.peers[instance]
	return p != nil && p.leaving
}

// ProvedDead reports whether the process of a member is proved not to run: its
// address has recently refused a connection. A process that starts after the
// refusal uses no slots for at least maxLoanDuration, so the proof holds for
// that time.
func (c *Core) ProvedDead(instance string, now time.Time) bool {
	p := c.peers[instance]
	return p != nil && p.lastRefused.After(p.lastHeard) && now.Sub(p.lastRefused) < maxLoanDuration-loanMargin
}

// DiedWithoutTakeover reports whether a member is proved dead and answered a
// ping less than minSilence before. It then cannot have considered this instance
// silent and taken over from it.
func (c *Core) DiedWithoutTakeover(instance string, now time.Time) bool {
	p := c.peers[instance]
	return c.ProvedDead(instance, now) && p.lastRefused.Sub(p.lastAnswered) < minSilence
}

// AllEntriesAccountedFor reports whether every other member is alive or proved
// dead.
func (c *Core) AllEntriesAccountedFor(now time.Time) bool {
	for name := range c.peers {
		if !c.Alive(name, now) && !c.ProvedDead(name, now) {
			return false
		}
	}
	return true
}

// RaiseEpoch moves a group that this instance dispatches to a higher epoch. The
// predecessor of that epoch counts as unknown. It does nothing if this instance
// does not dispatch the group or has reached the epoch.
func (c *Core) RaiseEpoch(service string, epoch uint64) {
	if g := c.groups[service]; c.IsDispatcher(service) && epoch > g.epoch {
		g.setDispatcher(epoch, c.self, c.incarnation, c.newToken())
		g.previous = Predecessor{}
	}
}

// Stop marks this instance as leaving. The next calls of Tick hand its groups
// over to other members.
func (c *Core) Stop() { c.stopping = true }

// OnRefused records that a member's address refused the connection attempt made
// at sentAt.
func (c *Core) OnRefused(instance string, sentAt time.Time) {
	p := c.peers[instance]
	if p == nil {
		return
	}
	p.contacted = true
	if sentAt.After(p.lastRefused) {
		p.lastRefused = sentAt
	}
}

// observe records the state that a member reported in a message. The version
// starts from 0 for each incarnation.
func (p *peerView) observe(incarnation, version uint64, leaving bool) {
	if p.incarnation != incarnation {
		p.incarnation, p.version = incarnation, 0
	}
	p.version = max(p.version, version)
	p.leaving = leaving
}

// mergeEpochs merges the epochs that another member knows. A higher epoch wins.
// Of two dispatchers with the same epoch the greater name wins, so that members
// converge if two of them took over at the same time.
func (c *Core) mergeEpochs(epochs []*fescuepb.GroupEpoch) {
	for _, e := range epochs {
		if e.Group.GetDataCentre() != c.dc {
			continue
		}
		g := c.group(e.Group.Service)
		if e.Epoch < g.epoch || e.Epoch == g.epoch && e.Home <= g.dispatcher {
			continue
		}
		g.setDispatcher(e.Epoch, e.Home, e.HomeIncarnation, e.Token)
	}
}
