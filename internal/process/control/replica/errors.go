package replica

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Errors of the replica. The kinds NotLeader, QueueFull and Stopping mean that
// the proposal did not run; NoQuorum and Timeout mean that its outcome is unknown.
var (
	errStopping           = errkind.New(errkind.Stopping, "the replica is stopping")
	errStopped            = errkind.New(errkind.NoQuorum, "the replica stopped before the outcome was known")
	errLeaderChanged      = errkind.New(errkind.NoQuorum, "the leader changed while the request was forwarded to it; the outcome is unknown")
	errNotLeader          = errkind.New(errkind.NotLeader, "this replica is not the leader")
	errLeadershipLost     = errkind.New(errkind.NoQuorum, "the leader lost its quorum before the proposal was committed; its outcome is unknown")
	errQueueFull          = errkind.New(errkind.QueueFull, "the request queue of the replica is full")
	errProposalSuperseded = errkind.New(errkind.NotLeader, "another leader overwrote the proposal in the log before it was committed; it did not run")
	errStreamExpired      = errors.New("the stream has reached its maximum duration")
)

// errorKindTrailer is the gRPC trailer that carries the error kind. The status
// codes alone do not distinguish NotLeader from NoQuorum.
const errorKindTrailer = "fescue-error-kind"

// toStatus converts err to the gRPC status of the call in ctx and sets the
// trailer that carries its kind.
func toStatus(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	kind := errkind.Of(err)
	// If the trailer cannot be set, the client treats the outcome as unknown.
	_ = grpc.SetTrailer(ctx, metadata.Pairs(errorKindTrailer, string(kind)))
	return status.Error(kind.Response().Code, err.Error())
}

// kindFromTrailer returns the error kind in a trailer, or fallback if there is
// none.
func kindFromTrailer(trailer metadata.MD, fallback errkind.Kind) errkind.Kind {
	if v := trailer.Get(errorKindTrailer); len(v) == 1 {
		return errkind.Kind(v[0])
	}
	return fallback
}

// contextError wraps the cause that ended ctx in an error of the given kind.
func contextError(ctx context.Context, kind errkind.Kind, msg string) error {
	return errkind.Wrap(kind, context.Cause(ctx), "%s", msg)
}
