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

// connectTimeout bounds one connection attempt. A connection that fails is
// replaced, because the back-off of gRPC and the retransmission time-out of TCP
// grow far beyond an election timeout.
const connectTimeout = time.Second

// connectStallTimeout is how long a connection attempt may take although the peer
// sends messages: two round trips between regions and a margin. An attempt that
// began before the peer's machine was up would stall for a second, because TCP
// retransmits the lost first packet only then.
const connectStallTimeout = 250 * time.Millisecond

// transport sends messages to the other replicas. It keeps one connection to each
// address.
type transport struct {
	ctx  context.Context
	wg   *sync.WaitGroup
	dial func(addr string) (*grpc.ClientConn, error)
	log  *logrus.Entry

	mu      sync.Mutex
	conns   map[string]connection // by address
	senders map[senderKey]*sender // owned by the run loop
}

// connection is a connection to a peer in any state.
type connection struct {
	*grpc.ClientConn
	createdAt time.Time
}

// senderKey identifies a sender. Snapshots have a sender of their own, so that
// they do not delay heartbeats.
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

// send queues messages for the senders. A message is dropped if its queue is full;
// raft sends again what is not answered.
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
		// The stream ends after the snapshot, so that the snapshot is
		// acknowledged by itself.
		s.streamDuration, s.ackTimeout = 0, snapshotAckTimeout
	}
	t.senders[key] = s
	t.wg.Add(1)
	go s.run()
	return s
}

// conn returns the connection to addr in any state, and creates it if there is
// none.
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

// replaceStalledConn closes a connection to addr that is still being established
// after connectStallTimeout, so that the next use dials again. It is called when a
// message of the peer at addr arrives, which shows that the peer is up.
func (t *transport) replaceStalledConn(addr string) {
	t.mu.Lock()
	c := t.conns[addr]
	t.mu.Unlock()
	if c.ClientConn != nil && c.GetState() == connectivity.Connecting && time.Since(c.createdAt) > connectStallTimeout {
		t.log.WithField("peer", addr).Info("stalled connection attempt closed: the peer is up")
		t.closeConn(addr, c.ClientConn)
	}
}

// connectPeers starts connecting to the peers without an established connection.
func (t *transport) connectPeers(s *Status) {
	for _, p := range s.Peers {
		if p.ID == s.ID {
			continue
		}
		c, err := t.conn(p.Addr)
		switch {
		case err != nil:
		case c.GetState() == connectivity.TransientFailure:
			t.closeConn(p.Addr, c) // the next use dials at once instead of after the back-off of gRPC
		default:
			c.Connect()
		}
	}
}

// readyConn returns an established connection to addr. It fails if none can be
// established within connectTimeout.
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
		case connectivity.Shutdown: // closed by another goroutine
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

// closeConn closes a connection that does not work; the next use dials again.
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
