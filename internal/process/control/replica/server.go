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

// passedOnKey marks a request that a follower has passed to the leader, so
// that it is passed on only once.
const forwardedKey = "fescue-passed-on"

// lastIndexKey is the trailer of a failed Forward that carries the last index
// of the log.
const lastIndexTrailer = "fescue-last-index"

// Send receives the messages of one replica.
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
			// A full inbox drops the message, like the network may.
			r.inbox.Offer(complete)
		}
	}
}

// Forward runs a proposal of a follower; an empty command is a read.
func (r *Replica) Forward(ctx context.Context, req *pb.ForwardRequest) (*pb.ForwardReply, error) {
	handle := r.proposeLocal
	if len(req.Command) == 0 {
		handle = r.readLocal
	}
	out := handle(ctx, req.Command)
	if out.err != nil {
		// Without the trailer a replica that lost its disk may not wait.
		_ = grpc.SetTrailer(ctx, metadata.Pairs(lastIndexTrailer, strconv.FormatUint(r.status.Load().LastIndex, 10)))
		return nil, toStatus(ctx, out.err)
	}
	return &pb.ForwardReply{Result: out.result, Index: out.index}, nil
}

// AddLearner admits a replica with a new identity. It returns once the change
// is proposed; the caller repeats the call until it sees itself as a voter.
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

// RemoveVoter removes a voter that is gone for good from the configuration. If
// it comes back nevertheless, it asks for membership again. It returns once the
// change is proposed.
func (r *Replica) RemoveVoter(ctx context.Context, id string) error {
	done := make(chan outcome, 1)
	return r.submit(ctx, done, func(rf *raft.Raft) {
		done <- outcome{err: rf.RemoveVoter(id)}
	}).err
}

func (r *Replica) forwardAddLearner(ctx context.Context, peer *pb.Peer) (*pb.RaftAck, error) {
	addr := r.LeaderAddr()
	if md, ok := metadata.FromIncomingContext(ctx); addr == "" || addr == r.cfg.Addr || ok && len(md.Get(forwardedKey)) > 0 {
		return nil, toStatus(ctx, errNotLeader)
	}
	conn, err := r.transport.readyConn(ctx, addr)
	if err != nil {
		return nil, toStatus(ctx, errkind.New(errkind.NotLeader, "the leader at %s cannot be reached: %v", addr, err))
	}
	return pb.NewReplicaClient(conn).AddLearner(metadata.AppendToOutgoingContext(ctx, forwardedKey, "1"), peer)
}
