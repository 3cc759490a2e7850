package budget

import (
	"context"
	"sync/atomic"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/grpc"
)

// relayTimeout limits one attempt, so that after an attempt at a control replica
// that does not answer there is time to try another one.
const relayTimeout = requestTimeout / 3

// Relay forwards the requests of other entries to the control leader, so that an
// entry that cannot reach the leader gets its confirmations and leases through an
// entry that can. A request that arrives late or twice does no harm, because the
// leader checks its term and sequence number, and the duration of a lease counts
// from when the holder sent the request. A relay forwards to control replicas
// only, so that requests cannot circulate among relays.
type Relay struct {
	fescuepb.UnimplementedBudgetServer
	Control func() []string // gRPC addresses of the control replicas
	Dial    func(addr string) (*grpc.ClientConn, error)

	nextReplica atomic.Uint32 // index in Control() of the replica to try next, before the modulo
}

// Lease forwards the request to the replicas in turn until the leader answers.
// The error has kind NotReady if none does.
func (r *Relay) Lease(ctx context.Context, req *fescuepb.LeaseRequest) (*fescuepb.LeaseReply, error) {
	var lastErr error
	control := r.Control()
	for range control {
		index := r.nextReplica.Load()
		reply, err := r.forward(ctx, control[int(index)%len(control)], req)
		if err == nil {
			return reply, nil
		}
		lastErr = err
		r.nextReplica.CompareAndSwap(index, index+1)
	}
	return nil, errkind.Status(errkind.New(errkind.NotReady, "no control replica answered as the leader: %v", lastErr))
}

func (r *Relay) forward(ctx context.Context, addr string, req *fescuepb.LeaseRequest) (*fescuepb.LeaseReply, error) {
	conn, err := r.Dial(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return fescuepb.NewBudgetClient(conn).Lease(ctx, req)
}
