package replica

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
)

// Guards against replicas that cannot answer each other for a second because a
// connection attempt stalls: it began before the peer's machine was up, and TCP
// repeats its first packet only after a second. The attempt must be replaced once
// messages of the peer arrive.
func TestStalledConnectionReplacedWhenPeerSends(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	live, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	go func() { _ = server.Serve(live) }()
	defer server.Stop()

	var mu sync.Mutex
	addresses := []string{silent.Addr().String(), live.Addr().String()}
	dial := func(string) (*grpc.ClientConn, error) {
		mu.Lock()
		defer mu.Unlock()
		addr := addresses[0]
		addresses = addresses[1:]
		return grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tr := newTransport(ctx, &sync.WaitGroup{}, dial, logging.Discard())
	defer tr.close()
	done := make(chan error, 1)
	go func() {
		_, err := tr.readyConn(ctx, "peer")
		done <- err
	}()
	for {
		select {
		case err := <-done:
			if err != nil {
				t.Fatal(err)
			}
			return
		case <-time.After(10 * time.Millisecond):
			tr.replaceStalledConn("peer")
		}
	}
}
