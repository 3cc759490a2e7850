package group

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// PingRequest returns the ping to send to a member. It includes a request for a
// loan of the member's share for each group that this instance dispatches.
func (c *Core) PingRequest(to string) *fescuepb.PingRequest {
	req := &fescuepb.PingRequest{
		Instance: c.self, Incarnation: c.incarnation, Leaving: c.stopping, VersionInForce: c.versionInForce(),
	}
	var knownDigest uint64
	if p := c.peers[to]; p != nil {
		knownDigest = p.epochDigest
	}
	req.View, req.Epochs = c.epochUpdate(knownDigest)
	for service := range c.groups {
		if lend := c.lendRequest(service); lend != nil {
			req.Lends = append(req.Lends, lend)
		}
	}
	return req
}

// epochUpdate returns the digest of the epochs known here. It returns the epochs
// themselves only if the other side has another digest.
func (c *Core) epochUpdate(knownDigest uint64) (uint64, []*fescuepb.GroupEpoch) {
	epochs := c.epochs()
	view := digest(epochs)
	if view == knownDigest {
		return view, nil
	}
	return view, epochs
}

// digest returns a hash that identifies a set of epochs, whatever their order.
// It is never 0, which stands for an unknown digest.
func digest(epochs []*fescuepb.GroupEpoch) uint64 {
	var sum uint64 = 1
	for _, e := range epochs { // a sum, since the epochs come from a map in random order
		sum += xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s\x00%d", e.Group.Service, e.Epoch, e.Home, e.HomeIncarnation))
	}
	return max(sum, 1)
}

// versionInForce returns the version of the snapshot in force, or 0 if there is
// none.
func (c *Core) versionInForce() uint64 {
	if c.snap == nil {
		return 0
	}
	return c.snap.Version
}

// epochs returns the current epochs of the groups that have had a dispatcher.
func (c *Core) epochs() []*fescuepb.GroupEpoch {
	var out []*fescuepb.GroupEpoch
	for name, g := range c.groups {
		if g.epoch == 0 {
			continue
		}
		out = append(out, &fescuepb.GroupEpoch{
			Group: &fescuepb.GroupId{Service: name, DataCentre: c.dc},
			Epoch: g.epoch, Home: g.dispatcher, HomeIncarnation: g.dispatcherIncarnation, Token: g.token,
		})
	}
	return out
}

// OnPing handles a ping of another member and returns the reply. It records that
// the member is alive. DiedWithoutTakeover relies on that: a member that answers
// this instance's pings cannot consider it silent.
func (c *Core) OnPing(req *fescuepb.PingRequest, now time.Time) *fescuepb.PingReply {
	if p := c.peers[req.Instance]; p != nil {
		p.recordHeard(now)
		p.observe(req.Incarnation, req.VersionInForce, req.Leaving)
		p.epochDigest = req.View
	}
	c.mergeEpochs(req.Epochs)
	reply := &fescuepb.PingReply{
		Instance: c.self, Incarnation: c.incarnation, Leaving: c.stopping,
		VersionInForce: c.versionInForce(), Serving: !c.stopping,
	}
	reply.View, reply.Epochs = c.epochUpdate(req.View)
	for _, l := range req.Lends {
		reply.Lends = append(reply.Lends, c.handleLendRequest(l, now))
	}
	return reply
}

// OnPingReply handles, at now, the reply to a ping that was sent at sentAt. It
// ignores a reply of an instance other than the one that was pinged.
func (c *Core) OnPingReply(from string, r *fescuepb.PingReply, sentAt, now time.Time) {
	p := c.peers[from]
	if p == nil || r.Instance != from {
		return
	}
	p.observe(r.Incarnation, r.VersionInForce, r.Leaving)
	p.contacted = true
	p.recordHeard(sentAt)
	if sentAt.After(p.lastAnswered) {
		p.lastAnswered = sentAt
	}
	p.epochDigest = r.View
	c.mergeEpochs(r.Epochs)
	for _, l := range r.Lends {
		c.handleLendReply(from, l, sentAt, now)
	}
}

// recordHeard records that the member was alive at the given time.
func (p *peerView) recordHeard(at time.Time) {
	if at.After(p.lastHeard) {
		p.lastHeard = at
	}
}
