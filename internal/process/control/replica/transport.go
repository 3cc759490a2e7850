package replica

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
)

// connectTimeout bounds one attempt to connect. The back-off of gRPC and the
// retransmission of TCP grow far beyond an election timeout, so a connection
// that fails is replaced.
const connectTimeout = time.Second

// stuckAfter is how long an attempt to connect may take while the peer sends:
// two round trips between regions and a margin. The first packet of an attempt
// that began before the peer's machine was up is repeated after a second only.
const connectStallTimeout = 250 * time.Millisecond

// transport sends messages to the other replicas and holds one connection to
// each address.
type transport struct {
	ctx  context.Context
	wg   *sync.WaitGroup
	dial func(addr string) (*grpc.ClientConn, error)
	log  *logrus.Entry

	mu      sync.Mutex
	conns   map[string]connection // by address
	senders map[senderKey]*sender // owned by the loop
}

// connection is a connection to a peer, whatever its state.
type connection struct {
	*grpc.ClientConn
	createdAt time.Time // of its creation
}

// senderKey separates snapshots from other messages, so that a snapshot does
// not delay heartbeats.
type senderKey struct {
	id       string
	snapshot bool
}

func newTransport(ctx context.Context, wg *sync.WaitGroup, dial func(string) (*grpc.ClientConn, error), log *logrus.Entry) *transport {
	return &transport{
		ctx: ctx, wg: wg, dial: dial, log: log,
		conns:   map[string]connection{},
		senders: map[senderKey]*sender{},
	}
}

// send queues messages. A message that finds its queue full is dropped: raft
// sends again what is not answered.
func (t *transport) send(messages []*pb.RaftMessage) {
	for _, m := range messages {
		key := senderKey{m.To, m.Type == pb.MessageType_MESSAGE_SNAPSHOT}
		s := t.senders[key]
		if s == nil {
			s = t.startSender(key)
		}
		s.queue.Offer(m)
	}
}

func (t *transport) startSender(key senderKey) *sender {
	s := &sender{
		transport: t, addr: addrFromID(key.id), queue: ring.New[*pb.RaftMessage](sendQueueCapacity),
		streamDuration: streamDuration, ackTimeout: ackTimeout,
	}
	if key.snapshot {
		// One snapshot for each stream, so that its end is acknowledged.
		s.streamDuration, s.ackTimeout = 0, snapshotAckTimeout
	}
	t.senders[key] = s
	t.wg.Add(1)
	go s.run()
	return s
}

// conn returns the connection to addr, whatever its state.
func (t *transport) conn(addr string) (*grpc.ClientConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.conns[addr]; c.ClientConn != nil {
		return c.ClientConn, nil
	}
	if t.ctx.Err() != nil {
		return nil, errStopping
	}
	c, err := t.dial(addr)
	if err != nil {
		return nil, err
	}
	t.conns[addr] = connection{c, time.Now()}
	return c, nil
}

// heard replaces an attempt to connect to addr that hangs although the peer
// there sends messages.
func (t *transport) replaceStalledConn(addr string) {
	t.mu.Lock()
	c := t.conns[addr]
	t.mu.Unlock()
	if c.ClientConn != nil && c.GetState() == connectivity.Connecting && time.Since(c.createdAt) > connectStallTimeout {
		t.log.WithField("peer", addr).Info("connection attempt replaced: the peer is up")
		t.closeConn(addr, c.ClientConn)
	}
}

// connect starts connecting to the peers that have no connection.
func (t *transport) connectPeers(s *Status) {
	for _, p := range s.Peers {
		if p.ID == s.ID {
			continue
		}
		c, err := t.conn(p.Addr)
		switch {
		case err != nil:
		case c.GetState() == connectivity.TransientFailure:
			t.closeConn(p.Addr, c) // instead of waiting for the back-off of gRPC
		default:
			c.Connect()
		}
	}
}

// ready returns an established connection to addr.
func (t *transport) readyConn(ctx context.Context, addr string) (*grpc.ClientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		c, err := t.conn(addr)
		if err != nil {
			return nil, err
		}
		switch state := c.GetState(); state {
		case connectivity.Ready:
			return c, nil
		case connectivity.TransientFailure:
			t.closeConn(addr, c)
			return nil, fmt.Errorf("no connection to %s: %s", addr, state)
		case connectivity.Shutdown: // replaced meanwhile
			t.closeConn(addr, c)
		default:
			c.Connect()
			if !c.WaitForStateChange(ctx, state) {
				t.closeConn(addr, c)
				return nil, fmt.Errorf("no connection to %s within %s", addr, connectTimeout)
			}
		}
	}
}

// reset closes a connection that does not work; the next use dials again.
func (t *transport) closeConn(addr string, c *grpc.ClientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[addr].ClientConn == c {
		delete(t.conns, addr)
	}
	c.Close()
}

func (t *transport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, c := range t.conns {
		delete(t.conns, addr)
		c.Close()
	}
}
