package follow

import (
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"google.golang.org/grpc"
)

// relaySource is what a follower passes on. Its counter is the last one that
// was an advance here: a counter that only was the first of a watch could
// come from a cut-off replica, and passing on those of several such replicas
// would look like an advance.
type relaySource struct{ f *Follower }

func (r relaySource) Version() uint64 {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	return r.f.view.Version
}

func (r relaySource) Counter() uint64 {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	return r.f.fresh.advanced
}

func (r relaySource) Since(base uint64) *fescuepb.Update {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	return r.f.view.Since(base)
}

type relayServer struct {
	fescuepb.UnimplementedFollowServer
	f *Follower
}

// Watch serves another entry of the data centre.
func (r *relayServer) Watch(stream grpc.BidiStreamingServer[fescuepb.WatchRequest, fescuepb.Update]) error {
	return r.f.hub.Watch(stream)
}

// Register serves Follow to the other entries of the data centre.
func (f *Follower) Register(s *grpc.Server) {
	fescuepb.RegisterFollowServer(s, &relayServer{f: f})
}
