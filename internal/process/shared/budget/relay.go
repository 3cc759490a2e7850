package budget

import (
	"context"
	"sync/atomic"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/grpc"
)

// relayTimeout bounds one attempt, so that a request that reaches a silent
// control replica first still has time for another one.
const relayTimeout = requestTimeout / 3

// Relay passes the requests of other entries on to the control leader. An
// entry that cannot reach the leader itself gets its confirmations and leases
// through one that can. The terms and sequences of requests make a late or
// repeated one harmless, and leases count from when the holder sent it. A
// relay asks control replicas only, so requests do not circle.
type Relay struct {
	fescuepb.UnimplementedBudgetServer
	Control func() []string // gRPC addresses of the control replicas
	Dial    func(addr string) (*grpc.ClientConn, error)

	next atomic.Uint32 // position of the replica that is asked next
}

// Lease asks the replicas in turn until one answers as the leader.
func (r *Relay) Lease(ctx context.Context, req *fescuepb.LeaseRequest) (*fescuepb.LeaseReply, error) {
	var last error
	control := r.Control()
	for range control {
		at := r.next.Load()
		reply, err := r.ask(ctx, control[int(at)%len(control)], req)
		if err == nil {
			return reply, nil
		}
		last = err
		r.next.CompareAndSwap(at, at+1)
	}
	return nil, errkind.Status(errkind.New(errkind.NotReady, "no control replica answered as the leader: %v", last))
}

func (r *Relay) ask(ctx context.Context, addr string, req *fescuepb.LeaseRequest) (*fescuepb.LeaseReply, error) {
	conn, err := r.Dial(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return fescuepb.NewBudgetClient(conn).Lease(ctx, req)
}
