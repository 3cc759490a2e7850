package replica

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Errors of the replica. NotLeader, QueueFull and Stopping mean that nothing
// was appended; NoQuorum and Timeout mean that the outcome is unknown.
var (
	errStopping           = errkind.New(errkind.Stopping, "the replica is stopping")
	errStopped            = errkind.New(errkind.NoQuorum, "the replica stopped before the outcome was known")
	errLeaderChanged      = errkind.New(errkind.NoQuorum, "the leader changed while it handled the proposal; the outcome is unknown")
	errNotLeader          = errkind.New(errkind.NotLeader, "this replica is not the leader")
	errLeadershipLost     = errkind.New(errkind.NoQuorum, "the leader lost its quorum before the proposal was committed; its outcome is unknown")
	errQueueFull          = errkind.New(errkind.QueueFull, "too many requests wait for the replica")
	errProposalSuperseded = errkind.New(errkind.NotLeader, "another leader replaced the proposal before it was committed; it did not run")
	errStreamExpired      = errors.New("the session is over")
)

// kindKey is the gRPC trailer that carries the error kind: the status codes
// do not tell NotLeader from NoQuorum.
const errorKindTrailer = "fescue-error-kind"

// toStatus makes err the answer of a gRPC call.
func toStatus(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	kind := errkind.Of(err)
	// Without the trailer the client treats the outcome as unknown.
	_ = grpc.SetTrailer(ctx, metadata.Pairs(errorKindTrailer, string(kind)))
	return status.Error(kind.Answer().Code, err.Error())
}

// remoteKind returns the kind in a trailer, or def if there is none.
func kindFromTrailer(trailer metadata.MD, fallback errkind.Kind) errkind.Kind {
	if v := trailer.Get(errorKindTrailer); len(v) == 1 {
		return errkind.Kind(v[0])
	}
	return fallback
}

// ctxError turns the end of a request's context into an error of kind k.
func contextError(ctx context.Context, kind errkind.Kind, msg string) error {
	return errkind.Wrap(kind, context.Cause(ctx), "%s", msg)
}
