package follow

import (
	"context"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"google.golang.org/grpc"
)

// relaySource is the content that a follower relays. Its counter is the last one
// that was an advance at the follower. The first counter of a watch is not
// relayed: it may come from a cut-off replica, and the first counters of several
// such replicas in turn would look like an advance.
type relaySource struct{ follower *Follower }

func (r relaySource) Version() uint64 {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	return r.follower.received.View.Version
}

func (r relaySource) Counter() uint64 {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	return r.follower.freshness.lastAdvance
}

func (r relaySource) Since(base uint64) *fescuepb.Update {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	return r.follower.received.View.Since(base)
}

func (r relaySource) Page(p view.Position, maxBytes int) *fescuepb.Update {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	return r.follower.received.View.Page(p, maxBytes)
}

func (r relaySource) Beat(p view.Position) *fescuepb.Update {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	return r.follower.received.View.Beat(p)
}

// relayServer serves Follow to other entries.
type relayServer struct {
	fescuepb.UnimplementedFollowServer
	follower *Follower
}

// Watch serves another entry of the data centre.
func (r *relayServer) Watch(stream grpc.BidiStreamingServer[fescuepb.WatchRequest, fescuepb.Update]) error {
	return r.follower.hub.Watch(stream)
}

// membersRelay forwards joins and leaves of entries that cannot reach control.
// Both are idempotent. It forwards them only to control, so calls do not loop
// between entries.
type membersRelay struct {
	fescuepb.UnimplementedMembersServer
	follower *Follower
}

// Join forwards a join to control.
func (r *membersRelay) Join(ctx context.Context, req *fescuepb.JoinRequest) (reply *fescuepb.JoinReply, err error) {
	err = r.follower.callMembers(ctx, []sourceKind{fromControl}, func(ctx context.Context, c fescuepb.MembersClient) error {
		reply, err = c.Join(ctx, req)
		return err
	})
	return reply, err
}

// Leave forwards a leave to control.
func (r *membersRelay) Leave(ctx context.Context, req *fescuepb.LeaveRequest) (reply *fescuepb.LeaveReply, err error) {
	err = r.follower.callMembers(ctx, []sourceKind{fromControl}, func(ctx context.Context, c fescuepb.MembersClient) error {
		reply, err = c.Leave(ctx, req)
		return err
	})
	return reply, err
}

// Register registers the services Follow and Members, which serve the other
// entries of the data centre.
func (f *Follower) Register(s *grpc.Server) {
	fescuepb.RegisterMembersServer(s, &membersRelay{follower: f})
	fescuepb.RegisterFollowServer(s, &relayServer{follower: f})
}
