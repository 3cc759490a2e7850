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
	// streamDuration is how long messages are added to one stream. Its end is
	// acknowledged by the peer, which shows that the path to it works.
	streamDuration     = time.Second
	ackTimeout         = 1500 * time.Millisecond
	snapshotAckTimeout = 30 * time.Second // allows for a snapshot over a slow link
	reconnectDelay     = 100 * time.Millisecond
)

// sender sends the messages of one queue to one replica, in order, over streams
// of limited duration.
type sender struct {
	transport      *transport
	addr           string
	queue          *ring.Ring[*pb.RaftMessage]
	streamDuration time.Duration // how long messages are added to one stream
	ackTimeout     time.Duration // from the end of a stream to its acknowledgement
	failed         bool          // the last stream failed
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

// logTransition logs when sending to the peer starts to fail and when it works
// again.
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

// dropQueued discards the queued messages after a failure: they would be out of
// date by the time the peer can be reached again.
func (s *sender) dropQueued() {
	for s.queue.Len() > 0 {
		<-s.queue.C()
	}
}

// runStream sends first and the messages queued after it over one stream, for
// streamDuration. The acknowledgement of the stream is awaited in the background,
// so that the next stream can start at once.
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

// sendUntilExpired sends m and the messages queued after it, until streamDuration
// has passed. It then returns nil.
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

// awaitAck ends stream and closes the connection if the peer does not acknowledge
// the stream within ackTimeout.
func (s *sender) awaitAck(stream pb.Replica_SendClient, conn *grpc.ClientConn, cancel context.CancelFunc) {
	defer s.transport.wg.Done()
	defer cancel()
	timer := time.AfterFunc(s.ackTimeout, cancel)
	defer timer.Stop()
	if _, err := stream.CloseAndRecv(); err != nil {
		s.transport.closeConn(s.addr, conn)
	}
}
