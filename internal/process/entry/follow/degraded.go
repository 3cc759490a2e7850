package follow

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/sirupsen/logrus"
)

const (
	// degradedAfter is how long a started process waits for a version confirmed
	// by control before it asks the entries of its data centre. It is longer
	// than the election of a control leader takes.
	degradedAfter = 3 * time.Second
	degradedRetry = time.Second // longest delay between two attempts; the shortest is half of it
	peerTimeout   = time.Second // of one attempt with all peers
)

// recoverFromPeers takes a version from a peer that has followed confirmed
// versions since its own start, if control confirms no version in time. The data
// centre may be cut off from control. It returns once a version is in force.
func (f *Follower) recoverFromPeers(ctx context.Context) {
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
		if u := f.newestFromPeers(ctx); u != nil && f.adoptPeerVersion(u) {
			return
		}
		wait = randomBetween(degradedRetry/2, degradedRetry)
	}
}

// newestFromPeers asks all peers in parallel and returns the state with the
// highest version among those of uninterrupted peers, or nil if there is none.
func (f *Follower) newestFromPeers(ctx context.Context) *fescuepb.Update {
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
		go func() { answers.Offer(f.fetchFromPeer(ctx, addr)) }()
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

// fetchFromPeer returns the full state of a peer, or nil if it cannot be obtained.
func (f *Follower) fetchFromPeer(ctx context.Context, addr string) *fescuepb.Update {
	stream, done, err := f.openStream(ctx, addr, &fescuepb.WatchRequest{Instance: f.cfg.Self.Instance, Degraded: true})
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

// adoptPeerVersion puts a peer's version in force and reports whether a version is
// in force afterwards. The version stays unconfirmed: this process does not report
// itself as uninterrupted, so other restarted entries do not take it from here.
func (f *Follower) adoptPeerVersion(u *fescuepb.Update) bool {
	f.mu.Lock()
	f.view.Apply(u) // keeps a newer view, which may be acted on as well
	f.installLocked()
	ready := f.ready
	f.mu.Unlock()
	f.hub.Wake()
	f.cfg.Log.WithFields(logrus.Fields{"version": u.Version, "source": u.Source, "ready": ready}).
		Warn("control unreachable; version taken from a peer")
	return ready
}
