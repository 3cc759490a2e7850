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
const passedOnKey = "fescue-passed-on"

// lastIndexKey is the trailer of a failed Forward that carries the last index
// of the log.
const lastIndexKey = "fescue-last-index"

// Send receives the messages of one replica.
func (r *Replica) Send(stream pb.Replica_SendServer) error {
	var parts assembler
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
		whole, err := parts.add(m)
		if err == nil && whole != nil {
			err = checkMessage(whole)
		}
		if err != nil {
			return toStatus(stream.Context(), err)
		}
		if whole != nil {
			r.transport.heard(addrOf(whole.From))
			// A full inbox drops the message, like the network may.
			r.inbox.Offer(whole)
		}
	}
}

// Forward runs a proposal of a follower; an empty command is a read.
func (r *Replica) Forward(ctx context.Context, req *pb.ForwardRequest) (*pb.ForwardReply, error) {
	run := r.proposeHere
	if len(req.Command) == 0 {
		run = r.readHere
	}
	out := run(ctx, req.Command)
	if out.err != nil {
		// Without the trailer a replica that lost its disk may not wait.
		_ = grpc.SetTrailer(ctx, metadata.Pairs(lastIndexKey, strconv.FormatUint(r.view.Load().LastIndex, 10)))
		return nil, toStatus(ctx, out.err)
	}
	return &pb.ForwardReply{Result: out.result, Index: out.index}, nil
}

// AddLearner admits a replica with a new identity. It returns once the change
// is proposed; the caller repeats the call until it sees itself as a voter.
func (r *Replica) AddLearner(ctx context.Context, peer *pb.Peer) (*pb.RaftAck, error) {
	if peer.Addr == "" || addrOf(peer.Id) != peer.Addr || strings.HasSuffix(peer.Id, idSeparator) {
		return nil, toStatus(ctx, errkind.New(errkind.BadRequest, "identity %q does not belong to address %q", peer.Id, peer.Addr))
	}
	out := r.addLearnerHere(ctx, peer)
	if errkind.Of(out.err) == errkind.NotLeader {
		return r.passOn(ctx, peer)
	}
	if out.err != nil {
		return nil, toStatus(ctx, out.err)
	}
	return &pb.RaftAck{}, nil
}

func (r *Replica) addLearnerHere(ctx context.Context, peer *pb.Peer) outcome {
	done := make(chan outcome, 1)
	return r.await(ctx, done, func(rf *raft.Raft) {
		done <- outcome{err: rf.AddLearner(peer)}
	})
}

// RemoveVoter removes a voter that is gone for good from the configuration. If
// it comes back nevertheless, it asks for membership again. It returns once the
// change is proposed.
func (r *Replica) RemoveVoter(ctx context.Context, id string) error {
	done := make(chan outcome, 1)
	return r.await(ctx, done, func(rf *raft.Raft) {
		done <- outcome{err: rf.RemoveVoter(id)}
	}).err
}

func (r *Replica) passOn(ctx context.Context, peer *pb.Peer) (*pb.RaftAck, error) {
	addr := r.LeaderAddr()
	if md, ok := metadata.FromIncomingContext(ctx); addr == "" || addr == r.cfg.Addr || ok && len(md.Get(passedOnKey)) > 0 {
		return nil, toStatus(ctx, errNotLeader)
	}
	conn, err := r.transport.ready(ctx, addr)
	if err != nil {
		return nil, toStatus(ctx, errkind.New(errkind.NotLeader, "the leader at %s cannot be reached: %v", addr, err))
	}
	return pb.NewReplicaClient(conn).AddLearner(metadata.AppendToOutgoingContext(ctx, passedOnKey, "1"), peer)
}
