package group

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

type pingServer struct {
	fescuepb.UnimplementedPeersServer
	core *Core
	now  time.Time
}

func (s *pingServer) Ping(_ context.Context, r *fescuepb.PingRequest) (*fescuepb.PingReply, error) {
	return s.core.OnPing(r, s.now), nil
}

// callOverhead returns the mean number of bytes that a gRPC call transfers in
// addition to its two messages.
func callOverhead(t *testing.T, a, b *Core, now time.Time) int {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer()
	fescuepb.RegisterPeersServer(srv, &pingServer{core: b, now: now})
	go func() { _ = srv.Serve(lis) }()
	defer srv.Stop()
	var count atomic.Int64
	conn, err := grpc.NewClient("passthrough:///"+lis.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			return countingConn{c, &count}, err
		}))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	client := fescuepb.NewPeersClient(conn)
	const calls = 500
	var messages, before int64
	for i := range calls + 1 {
		if i == 1 { // not counted: the first call opens the connection
			before = count.Load()
			messages = 0
		}
		req := a.PingRequest(b.self)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		reply, err := client.Ping(ctx, req)
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		a.OnPingReply(b.self, reply, now, now)
		messages += int64(proto.Size(req) + proto.Size(reply))
	}
	return int((count.Load() - before - messages) / calls)
}

// Guards against pings that exceed the limit on control traffic at the planned
// size: 5 KB/s for each node with 13 entries in a data centre.
func TestPingTrafficAtPlannedSize(t *testing.T) {
	const (
		entries = 13
		limit   = 5000 // bytes a second, sent and received
	)
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("entry-%02d", i))
	}
	now := time.Unix(1000, 0)
	snap := testSnapshot(t, 5, names...)
	cores := map[string]*Core{}
	for i, n := range names {
		cores[n] = NewCore(n, "n1", uint64(i+1)<<40, now, func() string { return "0123456789" })
		cores[n].SetSnapshot(snap)
	}
	var messages, calls int
	for range 40 {
		messages, calls = 0, 0
		for _, a := range names {
			for _, b := range names {
				if a == b {
					continue
				}
				req := cores[a].PingRequest(b)
				reply := cores[b].OnPing(req, now)
				cores[a].OnPingReply(b, reply, now, now)
				messages += proto.Size(req) + proto.Size(reply)
				calls++
			}
			cores[a].Tick(now)
		}
		now = now.Add(cores[names[0]].Interval())
	}
	overhead := callOverhead(t, cores[names[0]], cores[names[1]], now)
	interval := cores[names[0]].Interval()
	// Each byte counts twice: one node sends it and another receives it.
	perNode := 2 * float64(messages+calls*overhead) / entries / interval.Seconds()
	t.Logf("%d entries, interval %s, %d bytes overhead a call, %.0f bytes/s per node sent and received", entries, interval, overhead, perNode)
	if perNode > limit {
		t.Errorf("%.0f bytes/s per node, want at most %d", perNode, limit)
	}
}
