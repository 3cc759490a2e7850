package replica

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// network relays the TCP connections between replicas. It delays them and can
// block all traffic of a replica. Blocked bytes are delivered once the replica is
// unblocked, like TCP retransmissions after a network partition.
type network struct {
	mu      sync.Mutex
	cond    *sync.Cond
	delay   time.Duration   // in each direction
	blocked map[string]bool // by address
}

func newNetwork(delay time.Duration) *network {
	n := &network{delay: delay, blocked: map[string]bool{}}
	n.cond = sync.NewCond(&n.mu)
	return n
}

// setBlocked blocks or unblocks the traffic from and to addr.
func (n *network) setBlocked(addr string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[addr] = blocked
	n.cond.Broadcast()
}

// waitUnblocked waits until traffic between a and b is not blocked.
func (n *network) waitUnblocked(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.blocked[a] || n.blocked[b] {
		n.cond.Wait()
	}
}

// dialer returns a Config.Dial function for the replica at from.
func (n *network) dialer(from string) func(addr string) (*grpc.ClientConn, error) {
	return func(to string) (*grpc.ClientConn, error) {
		return grpc.NewClient("passthrough:///"+to, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return n.connect(ctx, from, to) }))
	}
}

// connect returns a connection to the replica at to, relayed through the network.
func (n *network) connect(ctx context.Context, from, to string) (net.Conn, error) {
	n.waitUnblocked(from, to)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	upstream, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, err
	}
	clientEnd, relayEnd := net.Pipe()
	go n.relay(relayEnd, upstream, from, to)
	go n.relay(upstream, relayEnd, from, to)
	return clientEnd, nil
}

// delayedChunk is data that is written to the destination no earlier than due.
type delayedChunk struct {
	due  time.Time
	data []byte
}

// relay copies data from src to dst with the configured delay until src cannot be
// read any more. It then closes both.
func (n *network) relay(src, dst net.Conn, from, to string) {
	queue := make(chan delayedChunk, 1024)
	go func() {
		defer src.Close()
		defer dst.Close()
		for p := range queue {
			time.Sleep(time.Until(p.due))
			n.waitUnblocked(from, to)
			dst.Write(p.data)
		}
	}()
	defer close(queue)
	for {
		buf := make([]byte, 16<<10)
		k, err := src.Read(buf)
		if err != nil {
			return
		}
		queue <- delayedChunk{time.Now().Add(n.delay), buf[:k]}
	}
}

// eventually fails the test if cond does not become true within limit.
func eventually(t *testing.T, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached within %s: %s", limit, what)
		}
	}
}
