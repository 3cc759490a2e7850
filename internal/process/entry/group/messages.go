package group

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// Ping returns the message for a member. It asks for the promises that the
// groups dispatched here need.
func (c *Core) Ping(to string) *fescuepb.PingRequest {
	req := &fescuepb.PingRequest{
		Instance: c.self, Incarnation: c.incarnation, Leaving: c.stopping, VersionInForce: c.version(),
	}
	var held uint64
	if p := c.peers[to]; p != nil {
		held = p.view
	}
	req.View, req.Epochs = c.news(held)
	for service := range c.groups {
		if lend := c.lend(service); lend != nil {
			req.Lends = append(req.Lends, lend)
		}
	}
	return req
}

// news returns the digest of the known epochs, and the epochs themselves if
// the other side's digest differs.
func (c *Core) news(held uint64) (uint64, []*fescuepb.GroupEpoch) {
	epochs := c.epochs()
	view := digest(epochs)
	if view == held {
		return view, nil
	}
	return view, epochs
}

// digest identifies a set of epochs. It is not 0, which stands for unknown.
func digest(epochs []*fescuepb.GroupEpoch) uint64 {
	var sum uint64 = 1
	for _, e := range epochs { // the order does not matter
		sum += xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s\x00%d", e.Group.Service, e.Epoch, e.Home, e.HomeIncarnation))
	}
	return max(sum, 1)
}

func (c *Core) version() uint64 {
	if c.snap == nil {
		return 0
	}
	return c.snap.Version
}

func (c *Core) epochs() []*fescuepb.GroupEpoch {
	var out []*fescuepb.GroupEpoch
	for name, g := range c.groups {
		if g.epoch == 0 {
			continue
		}
		out = append(out, &fescuepb.GroupEpoch{
			Group: &fescuepb.GroupId{Service: name, DataCentre: c.dc},
			Epoch: g.epoch, Home: g.home, HomeIncarnation: g.homeIncarnation, Token: g.token,
		})
	}
	return out
}

// OnPing takes over a ping of another member and returns the answer. A
// member that pings us is not silent; DiedInContact depends on that.
func (c *Core) OnPing(req *fescuepb.PingRequest, now time.Time) *fescuepb.PingReply {
	if p := c.peers[req.Instance]; p != nil {
		p.heard(now)
		p.observe(req.Incarnation, req.VersionInForce, req.Leaving)
		p.view = req.View
	}
	c.adopt(req.Epochs)
	reply := &fescuepb.PingReply{
		Instance: c.self, Incarnation: c.incarnation, Leaving: c.stopping,
		VersionInForce: c.version(), Serving: !c.stopping,
	}
	reply.View, reply.Epochs = c.news(req.View)
	for _, l := range req.Lends {
		reply.Lends = append(reply.Lends, c.onLend(l, now))
	}
	return reply
}

// OnPingReply takes over, at now, an answer to a ping that was sent at sentAt.
func (c *Core) OnPingReply(from string, r *fescuepb.PingReply, sentAt, now time.Time) {
	p := c.peers[from]
	if p == nil || r.Instance != from {
		return
	}
	p.observe(r.Incarnation, r.VersionInForce, r.Leaving)
	p.contact = true
	p.heard(sentAt)
	if sentAt.After(p.answeredAt) {
		p.answeredAt = sentAt
	}
	p.view = r.View
	c.adopt(r.Epochs)
	for _, l := range r.Lends {
		c.onLendReply(from, l, sentAt, now)
	}
}

func (p *peerView) heard(at time.Time) {
	if at.After(p.aliveAt) {
		p.aliveAt = at
	}
}
