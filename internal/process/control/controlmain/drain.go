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

// callDrain counts the open calls of operators and members, so that at shutdown
// these calls can finish while new ones are refused.
type callDrain struct {
	mu        sync.Mutex
	openCalls int
	stopping  bool
	idle      chan struct{} // closed when stopping and no call is open
}

func newCallDrain() *callDrain { return &callDrain{idle: make(chan struct{})} }

// intercept is a unary server interceptor. It never refuses calls between replicas,
// because the open calls need them to finish.
func (d *callDrain) intercept(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if strings.HasPrefix(info.FullMethod, "/"+fescuepb.Replica_ServiceDesc.ServiceName+"/") {
		return handler(ctx, req)
	}
	if !d.beginCall() {
		return nil, status.Error(errkind.Stopping.Response().Code, "stopping: the replica is stopping; nothing was changed")
	}
	defer d.endCall()
	return handler(ctx, req)
}

// beginCall counts a new call, or reports false if the replica is stopping.
func (d *callDrain) beginCall() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return false
	}
	d.openCalls++
	return true
}

func (d *callDrain) endCall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openCalls--
	d.closeIfIdle()
}

// closeIfIdle closes idle if the replica is stopping and no call is open. The caller
// holds mu.
func (d *callDrain) closeIfIdle() {
	if d.stopping && d.openCalls == 0 {
		close(d.idle)
	}
}

// stop refuses new calls and waits for the open ones, but no longer than timeout.
// It must be called only once.
func (d *callDrain) stop(timeout time.Duration) {
	d.mu.Lock()
	d.stopping = true
	d.closeIfIdle()
	d.mu.Unlock()
	select {
	case <-d.idle:
	case <-time.After(timeout):
	}
}
