package replica

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
)

const (
	sendQueueCapacity = 1024
	// sessionLength is how long one stream is used. The acknowledgement at
	// its end shows that the path works.
	streamDuration     = time.Second
	ackTimeout         = 1500 * time.Millisecond
	snapshotAckTimeout = 30 * time.Second // a snapshot over a slow link
	reconnectDelay     = 100 * time.Millisecond
)

// sender sends the messages of one queue to one replica, in order.
type sender struct {
	transport      *transport
	addr           string
	queue          *ring.Ring[*pb.RaftMessage]
	streamDuration time.Duration // how long messages are added to a stream
	ackTimeout     time.Duration // from the end of a session to its acknowledgement
	failed         bool          // the last session failed
}

func (s *sender) run() {
	defer s.transport.wg.Done()
	for {
		m, err := s.queue.Take(s.transport.ctx)
		if err != nil {
			return
		}
		s.logTransition(s.runStream(m))
		if s.failed {
			s.dropQueued()
			select {
			case <-time.After(reconnectDelay):
			case <-s.transport.ctx.Done():
			}
		}
	}
}

// note logs when the path to the peer fails and when it works again.
func (s *sender) logTransition(err error) {
	if (err != nil) == s.failed {
		return
	}
	s.failed = err != nil
	entry := s.transport.log.WithField("peer", s.addr)
	if s.failed {
		entry.WithError(err).Warn("messages to a peer cannot be sent")
	} else {
		entry.Info("messages to a peer can be sent again")
	}
}

// dropQueued drops what is out of date by the time the path works again.
func (s *sender) dropQueued() {
	for s.queue.Len() > 0 {
		<-s.queue.C()
	}
}

// runSession sends first and what follows over one stream. Its end is
// acknowledged in the background, so that sending is not interrupted.
func (s *sender) runStream(first *pb.RaftMessage) error {
	ctx := s.transport.ctx
	conn, err := s.transport.readyConn(ctx, s.addr)
	if err != nil {
		return err
	}
	streamCtx, cancel := context.WithTimeout(ctx, s.streamDuration+s.ackTimeout)
	stream, err := pb.NewReplicaClient(conn).Send(streamCtx)
	if err == nil {
		err = s.sendUntilExpired(ctx, stream, first)
	}
	if err != nil {
		cancel()
		s.transport.closeConn(s.addr, conn)
		return err
	}
	s.transport.wg.Add(1)
	go s.awaitAck(stream, conn, cancel)
	return nil
}

func (s *sender) sendUntilExpired(ctx context.Context, stream pb.Replica_SendClient, m *pb.RaftMessage) error {
	ctx, cancel := context.WithTimeoutCause(ctx, s.streamDuration, errStreamExpired)
	defer cancel()
	for {
		if err := sendMessage(stream, m); err != nil {
			return err
		}
		next, err := s.queue.Take(ctx)
		if errors.Is(err, errStreamExpired) {
			return nil
		}
		if err != nil {
			return err
		}
		m = next
	}
}

func (s *sender) awaitAck(stream pb.Replica_SendClient, conn *grpc.ClientConn, cancel context.CancelFunc) {
	defer s.transport.wg.Done()
	defer cancel()
	timer := time.AfterFunc(s.ackTimeout, cancel)
	defer timer.Stop()
	if _, err := stream.CloseAndRecv(); err != nil {
		s.transport.closeConn(s.addr, conn)
	}
}
