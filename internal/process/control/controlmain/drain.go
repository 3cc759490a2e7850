package controlmain

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"
)

// drain counts the calls of operators and members, so that a stop lets them
// finish and refuses new ones.
type drain struct {
	mu       sync.Mutex
	open     int
	stopping bool
	idle     chan struct{} // closed when stopping and no call is open
}

func newDrain() *drain { return &drain{idle: make(chan struct{})} }

// intercept is a unary server interceptor. Calls between replicas pass: the
// calls in flight depend on them.
func (d *drain) intercept(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if strings.HasPrefix(info.FullMethod, "/"+fescuepb.Replica_ServiceDesc.ServiceName+"/") {
		return handler(ctx, req)
	}
	if !d.enter() {
		return nil, status.Error(errkind.Stopping.Response().Code, "stopping: the replica is stopping; nothing was changed")
	}
	defer d.leave()
	return handler(ctx, req)
}

func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return false
	}
	d.open++
	return true
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	d.closeIfIdle()
}

func (d *drain) closeIfIdle() {
	if d.stopping && d.open == 0 {
		close(d.idle)
	}
}

// stop refuses new calls and waits for the open ones, at most timeout. It is
// called once.
func (d *drain) stop(timeout time.Duration) {
	d.mu.Lock()
	d.stopping = true
	d.closeIfIdle()
	d.mu.Unlock()
	select {
	case <-d.idle:
	case <-time.After(timeout):
	}
}
