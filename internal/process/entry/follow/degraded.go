package follow

import (
	"context"
	"math"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"github.com/sirupsen/logrus"
)

const (
	// degradedAfter is how long a started process waits for a version confirmed
	// by control before it asks the entries of its data centre. It is longer
	// than the election of a control leader takes.
	degradedAfter = 3 * time.Second
	degradedRetry = time.Second // longest delay between two attempts; the shortest is half of it
	// peerTimeout limits asking all peers for their version.
	peerTimeout = time.Second
	// peerContentTimeout limits fetching the content of one peer, whose link may be
	// narrow.
	peerContentTimeout = 10 * time.Second
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
		if addr, ok := f.newestPeer(ctx); ok && f.adoptPeerVersion(ctx, addr) {
			return
		}
		wait = randomBetween(degradedRetry/2, degradedRetry)
	}
}

// peerVersion is the version of a peer.
type peerVersion struct {
	addr    string
	version uint64 // 0 if the peer did not answer or must not be used
}

// newestPeer asks all peers in parallel for their version and returns the address of
// the uninterrupted peer with the highest one. Only that one sends its content.
func (f *Follower) newestPeer(ctx context.Context) (addr string, ok bool) {
	var peers []string
	for _, s := range f.sources() {
		if s.kind != fromControl {
			peers = append(peers, s.addr)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answers := ring.New[peerVersion](len(peers))
	for _, addr := range peers {
		go func() { answers.Offer(peerVersion{addr, f.versionOfPeer(ctx, addr)}) }()
	}
	var best peerVersion
	for range peers {
		p, err := answers.Take(ctx)
		if err != nil {
			break
		}
		if p.version > best.version {
			best = p
		}
	}
	return best.addr, best.version > 0
}

// versionOfPeer returns the version of a peer, or 0 if it cannot be obtained or the
// peer has been interrupted.
func (f *Follower) versionOfPeer(ctx context.Context, addr string) uint64 {
	// No source continues from this position, so the peer sends no content.
	newest := view.Position{AsOf: math.MaxUint64}
	stream, done, err := f.openStream(ctx, addr, f.degradedRequest(newest))
	if err != nil {
		return 0
	}
	defer done()
	u, err := receiveUpdate(stream)
	if err != nil || !u.Uninterrupted {
		return 0
	}
	return u.Version
}

func (f *Follower) degradedRequest(p view.Position) *fescuepb.WatchRequest {
	return &fescuepb.WatchRequest{Instance: f.cfg.Self.Instance, Degraded: true, Position: p.Message()}
}

// fetchFromPeer returns the content of a peer, or nil if it cannot be obtained or the
// peer has been interrupted.
func (f *Follower) fetchFromPeer(ctx context.Context, addr string) *view.View {
	ctx, cancel := context.WithTimeout(ctx, peerContentTimeout)
	defer cancel()
	received := view.NewReceiver()
	stream, done, err := f.openStream(ctx, addr, f.degradedRequest(received.Position()))
	if err != nil {
		return nil
	}
	defer done()
	for {
		u, err := receiveUpdate(stream)
		if err != nil || !u.Uninterrupted {
			return nil
		}
		switch received.Apply(u) {
		case view.Advanced:
			return received.View
		case view.Paged:
			if err := stream.Send(f.degradedRequest(received.Position())); err != nil {
				return nil
			}
		}
	}
}

// adoptPeerVersion puts a peer's version in force and reports whether a version is
// in force afterwards. The version stays unconfirmed: this process does not report
// itself as uninterrupted, so other restarted entries do not take it from here.
func (f *Follower) adoptPeerVersion(ctx context.Context, addr string) bool {
	v := f.fetchFromPeer(ctx, addr)
	if v == nil {
		return false
	}
	f.mu.Lock()
	if v.Version > f.received.View.Version { // a newer view may be acted on as well
		f.received = &view.Receiver{View: v}
	}
	f.installLocked()
	ready := f.ready
	f.mu.Unlock()
	f.hub.Wake()
	f.cfg.Log.WithFields(logrus.Fields{"version": v.Version, "source": addr, "ready": ready}).
		Warn("control unreachable; version taken from a peer")
	return ready
}
