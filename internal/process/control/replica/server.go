package replica

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

// forwardedKey is the metadata key of a request that a replica forwarded to the
// leader. A request with this key is not forwarded again, which prevents loops.
const forwardedKey = "fescue-passed-on"

// lastIndexTrailer is the trailer of a failed Forward that carries the last index
// of the log of the replica that answered.
const lastIndexTrailer = "fescue-last-index"

// Send receives the raft messages of one replica until it ends the stream.
func (r *Replica) Send(stream pb.Replica_SendServer) error {
	var snapshots snapshotAssembler
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&pb.RaftAck{})
		}
		if err != nil {
			return err
		}
		if r.ctx.Err() != nil {
			return toStatus(stream.Context(), errStopping)
		}
		complete, err := snapshots.add(m)
		if err == nil && complete != nil {
			err = checkMessage(complete)
		}
		if err != nil {
			return toStatus(stream.Context(), err)
		}
		if complete != nil {
			r.transport.replaceStalledConn(addrFromID(complete.From))
			// A message is dropped if the inbox is full. Raft tolerates this as
			// it tolerates the loss of messages in the network.
			r.inbox.Offer(complete)
		}
	}
}

// Forward executes a proposal that a follower forwarded, or a confirmed read if
// the command is empty.
func (r *Replica) Forward(ctx context.Context, req *pb.ForwardRequest) (*pb.ForwardReply, error) {
	handle := r.proposeLocal
	if len(req.Command) == 0 {
		handle = r.readLocal
	}
	out := handle(ctx, req.Command)
	if out.err != nil {
		// If the trailer cannot be set, a replica that lost its disk does not
		// learn that a log exists and may not wait for an election.
		_ = grpc.SetTrailer(ctx, metadata.Pairs(lastIndexTrailer, strconv.FormatUint(r.status.Load().LastIndex, 10)))
		return nil, toStatus(ctx, out.err)
	}
	return &pb.ForwardReply{Result: out.result, Index: out.index}, nil
}

// AddLearner proposes to add a replica as a learner, and forwards the request if
// another replica leads. It returns once the change is proposed; the caller
// repeats the request until it is a voter of the configuration.
func (r *Replica) AddLearner(ctx context.Context, peer *pb.Peer) (*pb.RaftAck, error) {
	if peer.Addr == "" || addrFromID(peer.Id) != peer.Addr || strings.HasSuffix(peer.Id, idSeparator) {
		return nil, toStatus(ctx, errkind.New(errkind.BadRequest, "identity %q does not belong to address %q", peer.Id, peer.Addr))
	}
	out := r.addLearnerLocal(ctx, peer)
	if errkind.Of(out.err) == errkind.NotLeader {
		return r.forwardAddLearner(ctx, peer)
	}
	if out.err != nil {
		return nil, toStatus(ctx, out.err)
	}
	return &pb.RaftAck{}, nil
}

func (r *Replica) addLearnerLocal(ctx context.Context, peer *pb.Peer) outcome {
	done := make(chan outcome, 1)
	return r.submit(ctx, done, func(rf *raft.Raft) {
		done <- outcome{err: rf.AddLearner(peer)}
	})
}

// RemoveVoter proposes to remove a voter that is permanently lost from the
// configuration. It returns once the change is proposed. If the voter does come
// back, it requests membership again.
func (r *Replica) RemoveVoter(ctx context.Context, id string) error {
	done := make(chan outcome, 1)
	return r.submit(ctx, done, func(rf *raft.Raft) {
		done <- outcome{err: rf.RemoveVoter(id)}
	}).err
}

// forwardAddLearner sends a membership request to the leader, unless the request
// was forwarded before or no other leader is known.
func (r *Replica) forwardAddLearner(ctx context.Context, peer *pb.Peer) (*pb.RaftAck, error) {
	addr := r.LeaderAddr()
	if md, ok := metadata.FromIncomingContext(ctx); addr == "" || addr == r.cfg.Addr || ok && len(md.Get(forwardedKey)) > 0 {
		return nil, toStatus(ctx, errNotLeader)
	}
	conn, err := r.transport.readyConn(ctx, addr)
	if err != nil {
		return nil, toStatus(ctx, errkind.New(errkind.NotLeader, "cannot connect to the leader at %s: %v", addr, err))
	}
	return pb.NewReplicaClient(conn).AddLearner(metadata.AppendToOutgoingContext(ctx, forwardedKey, "1"), peer)
}
