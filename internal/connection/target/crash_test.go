package target

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// Guards against a broken connection to a sound target that counts as its crash, and
// against the crash of a target that does not.
func TestCrashed(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var dials atomic.Int32
	tr := &Transport{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials.Add(1)
		return Dial(ctx, network, addr)
	}}
	defer tr.CloseIdleConnections()
	addr := lis.Addr().String()
	if tr.Crashed(addr, errors.New("malformed response")) || dials.Load() != 0 {
		t.Error("an error that is no broken connection was checked")
	}
	if tr.Crashed(addr, io.ErrUnexpectedEOF) {
		t.Error("a target that accepts connections counts as crashed")
	}
	if tr.takeIdle(addr, "") == nil {
		t.Error("the connection of the check is not kept")
	}
	_ = lis.Close()
	crashed := (&Transport{Dial: tr.Dial}).Crashed
	dials.Store(0)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if !crashed(addr, io.EOF) {
				t.Error("a target that refuses connections does not count as crashed")
			}
		})
	}
	wg.Wait()
	if dials.Load() != 1 {
		t.Errorf("%d connections were opened for one crash", dials.Load())
	}
}
