package follow

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/sirupsen/logrus"
)

const (
	// degradedAfter is how long a started process waits for a version
	// confirmed through control before it asks the entries of its data
	// centre. It covers the election of a control leader.
	degradedAfter = 3 * time.Second
	degradedRetry = time.Second
	peerTimeout   = time.Second
)

// askPeers takes a version from a peer that has run without interruption if
// no version is confirmed in time: the data centre may be cut off. It ends
// once a version is in force.
func (f *Follower) askPeers(ctx context.Context) {
	wait := degradedAfter
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if f.Ready() {
			return
		}
		if u := f.bestOfPeers(ctx); u != nil && f.adopt(u) {
			return
		}
		wait = randomBetween(degradedRetry/2, degradedRetry)
	}
}

// bestOfPeers returns the highest version of the uninterrupted peers.
func (f *Follower) bestOfPeers(ctx context.Context) *fescuepb.Update {
	var peers []string
	for _, s := range f.sources() {
		if s.kind != fromControl {
			peers = append(peers, s.addr)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answers := ring.New[*fescuepb.Update](len(peers))
	for _, addr := range peers {
		go func() { answers.Offer(f.askPeer(ctx, addr)) }()
	}
	var best *fescuepb.Update
	for range peers {
		u, err := answers.Take(ctx)
		if err != nil {
			break
		}
		if u.GetUninterrupted() && u.Version > best.GetVersion() {
			best = u
		}
	}
	return best
}

// askPeer returns the full state of a peer, or nil.
func (f *Follower) askPeer(ctx context.Context, addr string) *fescuepb.Update {
	stream, done, err := f.open(ctx, addr, &fescuepb.WatchRequest{Instance: f.cfg.Self.Instance, Degraded: true})
	if err != nil {
		return nil
	}
	defer done()
	u, err := stream.Recv()
	if err != nil {
		return nil
	}
	return u
}

// adopt puts a peer's version in force. It stays unconfirmed, so this
// process does not vouch for it to others.
func (f *Follower) adopt(u *fescuepb.Update) bool {
	f.mu.Lock()
	f.view.Apply(u) // a view that is newer than the peer's may be acted on as well
	f.install()
	ready := f.ready
	f.mu.Unlock()
	f.hub.Wake()
	f.cfg.Log.WithFields(logrus.Fields{"version": u.Version, "source": u.Source, "ready": ready}).
		Warn("control out of reach; version taken from a peer")
	return ready
}
