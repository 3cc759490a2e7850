package group

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// Change describes a change of a service's dispatcher that this instance has
// decided.
type Change struct {
	Service string
	Epoch   uint64
	From    string // previous dispatcher, "" if there was none
	To      string
	Reason  string
}

// Tick decides takeovers and handovers and returns the changes, which the caller
// logs.
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

// decide changes the dispatcher of a service if that is needed. An instance
// appoints only itself, unless it dispatches the service now and hands it over.
func (c *Core) decide(service string, now time.Time) (Change, bool) {
	g := c.group(service)
	reason := c.changeReason(g, now)
	if reason == "" {
		return Change{}, false
	}
	to := c.successor(service, g, now)
	if to == nil || to.Instance == g.dispatcher {
		return Change{}, false
	}
	handover := c.IsDispatcher(service)
	if to.Instance != c.self && !handover {
		return Change{}, false
	}
	ch := Change{Service: service, Epoch: g.epoch + 1, From: g.dispatcher, To: to.Instance, Reason: reason}
	g.setDispatcher(ch.Epoch, to.Instance, c.incarnationOf(to.Instance), c.newToken())
	g.previous.Silent = reason == reasonSilent
	return ch, true
}

func (c *Core) incarnationOf(instance string) uint64 {
	if instance == c.self {
		return c.incarnation
	}
	return c.peers[instance].incarnation
}

// reasonSilent is the only reason for a change that does not prove that the old
// dispatcher has stopped.
const reasonSilent = "silent"

// changeReason returns why the group needs a new dispatcher, or "" if it needs
// none.
func (c *Core) changeReason(g *groupView, now time.Time) string {
	switch {
	case g.dispatcher == "":
		if !c.allContacted(now) {
			return ""
		}
		return "no dispatcher yet"
	case g.dispatcher == c.self && g.dispatcherIncarnation == c.incarnation:
		if c.stopping || c.snap.InstanceDrained(c.self) {
			return "handover"
		}
		return ""
	case g.dispatcher == c.self:
		if !c.allContacted(now) {
			return ""
		}
		return "restarted"
	}
	p := c.peers[g.dispatcher]
	switch {
	case p == nil:
		return "removed from the members"
	case c.ProvedDead(g.dispatcher, now):
		return "process dead"
	case p.incarnation != 0 && p.incarnation != g.dispatcherIncarnation:
		return "process restarted"
	case !c.Alive(g.dispatcher, now) && now.Sub(c.started) >= startupWait:
		return reasonSilent
	}
	return ""
}

// allContacted reports whether every other member has answered a ping or refused
// a connection since this process started. After startupWait it no longer waits
// for members that do not respond.
func (c *Core) allContacted(now time.Time) bool {
	if now.Sub(c.started) >= startupWait {
		return true
	}
	for _, p := range c.peers {
		if !p.contacted {
			return false
		}
	}
	return true
}

// successor returns the first member in the service's order of preference that
// is alive and not leaving, or nil. The current dispatcher is excluded, unless it
// is an earlier process of this instance.
func (c *Core) successor(service string, g *groupView, now time.Time) *fescuepb.Member {
	for _, m := range c.snap.DispatchOrder(service, c.dc) {
		restarted := m.Instance == c.self && g.dispatcherIncarnation != c.incarnation
		if m.Instance == g.dispatcher && !restarted {
			continue
		}
		if c.Alive(m.Instance, now) && !c.Leaving(m.Instance) {
			return m
		}
	}
	return nil
}
