package group

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// Change says that the dispatcher of a service changed by a decision of
// this instance.
type Change struct {
	Service string
	Epoch   uint64
	From    string // previous dispatcher, "" if there was none
	To      string
	Reason  string
}

// Tick decides takeovers and handovers. The caller logs the changes.
func (c *Core) Tick(now time.Time) []Change {
	if c.snap == nil {
		return nil
	}
	var out []Change
	for name, svc := range c.snap.Services {
		if !svc.RunsIn(c.dc) || svc.GuardedSlots {
			continue
		}
		if ch, ok := c.decide(name, now); ok {
			out = append(out, ch)
		}
	}
	return out
}

func (c *Core) decide(service string, now time.Time) (Change, bool) {
	g := c.group(service)
	reason := c.vacancy(g, now)
	if reason == "" {
		return Change{}, false
	}
	to := c.successor(service, g, now)
	if to == nil || to.Instance == g.home {
		return Change{}, false
	}
	handover := c.IsHome(service)
	if to.Instance != c.self && !handover {
		return Change{}, false
	}
	ch := Change{Service: service, Epoch: g.epoch + 1, From: g.home, To: to.Instance, Reason: reason}
	g.move(ch.Epoch, to.Instance, c.incarnationOf(to.Instance), c.newToken())
	g.previous.Silent = reason == reasonSilent
	return ch, true
}

func (c *Core) incarnationOf(instance string) uint64 {
	if instance == c.self {
		return c.incarnation
	}
	return c.peers[instance].incarnation
}

// reasonSilent is the only reason that does not prove that the dispatcher has
// stopped.
const reasonSilent = "silent"

// vacancy returns why the group needs a new dispatcher, or "".
func (c *Core) vacancy(g *groupView, now time.Time) string {
	switch {
	case g.home == "":
		if !c.allContacted(now) {
			return ""
		}
		return "no dispatcher yet"
	case g.home == c.self && g.homeIncarnation == c.incarnation:
		if c.stopping || c.snap.InstanceDrained(c.self) {
			return "handover"
		}
		return ""
	case g.home == c.self:
		if !c.allContacted(now) {
			return ""
		}
		return "restarted"
	}
	p := c.peers[g.home]
	switch {
	case p == nil:
		return "removed from the members"
	case c.Dead(g.home, now):
		return "process dead"
	case p.incarnation != 0 && p.incarnation != g.homeIncarnation:
		return "process restarted"
	case !c.Alive(g.home, now) && now.Sub(c.started) >= bootWait:
		return reasonSilent
	}
	return ""
}

// allContacted reports whether every member has answered or refused, or has
// been silent for long enough after our start.
func (c *Core) allContacted(now time.Time) bool {
	if now.Sub(c.started) >= bootWait {
		return true
	}
	for _, p := range c.peers {
		if !p.contact {
			return false
		}
	}
	return true
}

// successor returns the first live member in the order of preference, with
// the leaving ones left out.
func (c *Core) successor(service string, g *groupView, now time.Time) *fescuepb.Member {
	for _, m := range c.snap.DispatchOrder(service, c.dc) {
		restarted := m.Instance == c.self && g.homeIncarnation != c.incarnation
		if m.Instance == g.home && !restarted {
			continue
		}
		if c.Alive(m.Instance, now) && !c.Leaving(m.Instance) {
			return m
		}
	}
	return nil
}
