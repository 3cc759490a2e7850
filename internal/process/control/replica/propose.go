package replica

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

const (
	// MaxProposal is the largest proposal in bytes. An append message with
	// one entry must fit into the default gRPC message limit of 4 MiB.
	MaxProposal = 3 << 20
	// defaultRequestTimeout bounds a request whose context has no deadline.
	defaultRequestTimeout = 10 * time.Second
	// retryInterval is the longest wait before a request is retried. It is
	// retried earlier if the state of the replica changes.
	retryInterval = 50 * time.Millisecond
)

// Propose replicates data and returns the result of applying it and its log
// index. A follower forwards it to the leader. If the error has kind NotLeader,
// QueueFull, Stopping or BadRequest, the proposal did not run; with any other
// kind, such as NoQuorum, Timeout or StorageFailed, the outcome is unknown.
// Propose itself retries only after an answer that the proposal did not run.
func (r *Replica) Propose(ctx context.Context, data []byte) (result []byte, index uint64, err error) {
	if len(data) == 0 || len(data) > MaxProposal {
		return nil, 0, errkind.New(errkind.BadRequest, "proposal of %d bytes is outside the allowed size of 1 to %d bytes", len(data), MaxProposal)
	}
	out := r.runAtLeader(ctx, data, r.proposeLocal, errkind.NotLeader, errkind.Stopping)
	return out.result, out.index, out.err
}

// Read returns a log index, confirmed by a quorum, that covers every write
// accepted before the call. It returns once that index is applied locally.
func (r *Replica) Read(ctx context.Context) (index uint64, err error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	// An empty command requests a read. Reads change nothing, so they are also
	// retried after NoQuorum, when the outcome is unknown.
	out := r.runAtLeader(ctx, nil, r.readLocal, errkind.NotLeader, errkind.Stopping, errkind.NoQuorum)
	if out.err != nil {
		return 0, out.err
	}
	return out.index, r.waitApplied(ctx, out.index)
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultRequestTimeout)
}

// runAtLeader calls local if this replica leads, and otherwise forwards data to
// the leader. It retries after an error of one of the retryable kinds, until ctx
// ends.
func (r *Replica) runAtLeader(ctx context.Context, data []byte, local func(context.Context, []byte) outcome, retryable ...errkind.Kind) outcome {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		changed := r.Changed()
		out := outcome{err: errNotLeader}
		switch st := r.status.Load(); st.LeaderID {
		case "":
		case r.id:
			out = local(ctx, data)
		default:
			out = r.forward(ctx, st.LeaderID, data)
		}
		if out.err == nil || !slices.Contains(retryable, errkind.Of(out.err)) {
			return out
		}
		select {
		case <-changed:
		case <-time.After(retryInterval):
		case <-r.ctx.Done():
			return outcome{err: errStopping}
		case <-ctx.Done():
			return outcome{err: errkind.Wrap(errkind.Of(out.err), out.err, "no leader answered before the deadline")}
		}
	}
}

// proposeLocal appends data to the log if this replica leads, and waits until it
// is applied.
func (r *Replica) proposeLocal(ctx context.Context, data []byte) outcome {
	done := make(chan outcome, 1)
	return r.submit(ctx, done, func(rf *raft.Raft) {
		index, term, err := rf.Propose(data)
		if err != nil {
			done <- outcome{err: err}
			return
		}
		r.waiters.addProposal(index, term, done)
	})
}

// readLocal confirms a read with a quorum if this replica leads.
func (r *Replica) readLocal(ctx context.Context, _ []byte) outcome {
	done := make(chan outcome, 1)
	return r.submit(ctx, done, func(rf *raft.Raft) {
		if rf.Role() != raft.Leader {
			done <- outcome{err: errNotLeader}
			return
		}
		// Read cannot fail for lack of leadership: the role does not change
		// before this request has returned.
		_ = rf.Read(r.waiters.addRead(done))
	})
}

// submit queues req for the run loop and waits for its outcome.
func (r *Replica) submit(ctx context.Context, done <-chan outcome, req request) outcome {
	if r.ctx.Err() != nil {
		return outcome{err: errStopping}
	}
	if !r.requests.Offer(req) {
		return outcome{err: errQueueFull}
	}
	select {
	case out := <-done:
		return out
	case <-r.ctx.Done():
		return outcome{err: r.stopError()}
	case <-ctx.Done():
		return outcome{err: contextError(ctx, errkind.Timeout, "the outcome was not known before the deadline")}
	}
}

// stopError returns the error of a request that was pending when the replica
// stopped: the failure that stopped it, or errStopped after a regular stop.
func (r *Replica) stopError() error {
	if err := r.Err(); errkind.Of(err) != errkind.Stopping {
		return err
	}
	return errStopped
}

// forward sends data to the leader. After an error the outcome is unknown, unless
// the leader reports that data did not run or no connection to it could be
// established.
func (r *Replica) forward(ctx context.Context, leader string, data []byte) outcome {
	addr := addrFromID(leader)
	conn, err := r.transport.readyConn(ctx, addr)
	if err != nil {
		return outcome{err: errkind.New(errkind.NotLeader, "cannot connect to the leader at %s; nothing was sent: %v", addr, err)}
	}
	ctx, cancel := r.contextWhileLeader(ctx, leader)
	defer cancel()
	var trailer metadata.MD
	reply, err := pb.NewReplicaClient(conn).Forward(ctx, &pb.ForwardRequest{Command: data}, grpc.Trailer(&trailer))
	if err != nil {
		fallback := errkind.NoQuorum
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errLeaderChanged) {
			fallback = errkind.Timeout
		}
		return outcome{err: errkind.Wrap(kindFromTrailer(trailer, fallback), err, "forward to the leader at %s", addr)}
	}
	return outcome{result: reply.Result, index: reply.Index}
}

// contextWhileLeader returns a context that ends once leader is no longer known
// as the leader. Without it, a request would wait for the answer of a leader that
// was partitioned from this replica, which may never arrive.
func (r *Replica) contextWhileLeader(ctx context.Context, leader string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for {
			changed := r.Changed()
			if r.status.Load().LeaderID != leader {
				cancel(errLeaderChanged)
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// waitApplied returns once index is applied locally.
func (r *Replica) waitApplied(ctx context.Context, index uint64) error {
	for {
		changed := r.Changed()
		if r.appliedIndex.Load() >= index {
			return nil
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
			return errStopping
		case <-ctx.Done():
			return contextError(ctx, errkind.Timeout, "the confirmed state was not applied before the deadline")
		}
	}
}
