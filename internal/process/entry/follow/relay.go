package follow

import (
	"context"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"google.golang.org/grpc"
)

// relaySource is what a follower passes on. Its counter is the last one that
// was an advance here: a counter that only was the first of a watch could
// come from a cut-off replica, and passing on those of several such replicas
// would look like an advance.
type relaySource struct{ follower *Follower }

func (r relaySource) Version() uint64 {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	return r.follower.view.Version
}

func (r relaySource) Counter() uint64 {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	return r.follower.freshness.lastAdvance
}

func (r relaySource) Since(base uint64) *fescuepb.Update {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	return r.follower.view.Since(base)
}

type relayServer struct {
	fescuepb.UnimplementedFollowServer
	follower *Follower
}

// Watch serves another entry of the data centre.
func (r *relayServer) Watch(stream grpc.BidiStreamingServer[fescuepb.WatchRequest, fescuepb.Update]) error {
	return r.follower.hub.Watch(stream)
}

// membersRelay passes the joins and leaves of entries that do not reach
// control on to it. Both may be repeated. It calls control only, so calls do
// not circle.
type membersRelay struct {
	fescuepb.UnimplementedMembersServer
	follower *Follower
}

// Join passes a join on.
func (r *membersRelay) Join(ctx context.Context, req *fescuepb.JoinRequest) (reply *fescuepb.JoinReply, err error) {
	err = r.follower.callMembers(ctx, []sourceKind{fromControl}, func(ctx context.Context, c fescuepb.MembersClient) error {
		reply, err = c.Join(ctx, req)
		return err
	})
	return reply, err
}

// Leave passes a leave on.
func (r *membersRelay) Leave(ctx context.Context, req *fescuepb.LeaveRequest) (reply *fescuepb.LeaveReply, err error) {
	err = r.follower.callMembers(ctx, []sourceKind{fromControl}, func(ctx context.Context, c fescuepb.MembersClient) error {
		reply, err = c.Leave(ctx, req)
		return err
	})
	return reply, err
}

// Register serves Follow and Members to the other entries of the data centre.
func (f *Follower) Register(s *grpc.Server) {
	fescuepb.RegisterMembersServer(s, &membersRelay{follower: f})
	fescuepb.RegisterFollowServer(s, &relayServer{follower: f})
}
