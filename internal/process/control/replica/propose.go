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
	// defaultWait bounds a request whose context has no deadline.
	defaultRequestTimeout = 10 * time.Second
	// retryPause is the pause before a request is tried again although no
	// change was seen.
	retryInterval = 50 * time.Millisecond
)

// Propose replicates data and returns the result of applying it. A follower
// passes it to the leader. Kinds of errors: with NotLeader, QueueFull, Stopping
// and BadRequest the proposal did not run; with any other, such as NoQuorum,
// Timeout or StorageFailed, the outcome is unknown. A proposal is sent again
// from here only after an answer that it did not run.
func (r *Replica) Propose(ctx context.Context, data []byte) (result []byte, index uint64, err error) {
	if len(data) == 0 || len(data) > MaxProposal {
		return nil, 0, errkind.New(errkind.BadRequest, "a proposal of %d bytes is outside 1 to %d", len(data), MaxProposal)
	}
	out := r.runAtLeader(ctx, data, r.proposeLocal, errkind.NotLeader, errkind.Stopping)
	return out.result, out.index, out.err
}

// Read returns an index that includes every write accepted before the call,
// confirmed by a quorum, after that index is applied here.
func (r *Replica) Read(ctx context.Context) (index uint64, err error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	// An empty command asks for a read, so trying again is harmless.
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

// askLeader runs here or at the leader, and tries again after an error of one
// of the kinds in again, until ctx ends.
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
			return outcome{err: errkind.Wrap(errkind.Of(out.err), out.err, "no leader answered in time")}
		}
	}
}

// proposeHere appends data to the log if this replica leads.
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

// readHere confirms a read if this replica leads.
func (r *Replica) readLocal(ctx context.Context, _ []byte) outcome {
	done := make(chan outcome, 1)
	return r.submit(ctx, done, func(rf *raft.Raft) {
		if rf.Role() != raft.Leader {
			done <- outcome{err: errNotLeader}
			return
		}
		// The role cannot change before the request has returned.
		_ = rf.Read(r.waiters.addRead(done))
	})
}

// await hands q to the loop and waits for its outcome.
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
		return outcome{err: contextError(ctx, errkind.Timeout, "the outcome was not known in time")}
	}
}

// interrupted returns the error of a request that was open when the replica
// stopped: the failure that stopped it, or that the outcome is unknown.
func (r *Replica) stopError() error {
	if err := r.Err(); errkind.Of(err) != errkind.Stopping {
		return err
	}
	return errStopped
}

// forward passes data to the leader. Unless the leader says that it did not
// run, or the connection could not be made, the outcome of an error is unknown.
func (r *Replica) forward(ctx context.Context, leader string, data []byte) outcome {
	addr := addrFromID(leader)
	conn, err := r.transport.readyConn(ctx, addr)
	if err != nil {
		return outcome{err: errkind.New(errkind.NotLeader, "the leader at %s cannot be reached; nothing was sent: %v", addr, err)}
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
		return outcome{err: errkind.Wrap(kindFromTrailer(trailer, fallback), err, "forwarded to the leader at %s", addr)}
	}
	return outcome{result: reply.Result, index: reply.Index}
}

// whileLeader returns a context that ends when another leader is known: the
// answer of one that was cut off may never arrive.
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
			return contextError(ctx, errkind.Timeout, "the confirmed state was not applied in time")
		}
	}
}
