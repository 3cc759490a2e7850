package proxy

import (
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

const (
	// timeoutRetention is how long the longest timeout of a route is kept after
	// it was seen.
	timeoutRetention = 30 * time.Second
	maxTimeoutRoutes = 4096 // routes that are kept; then all are reset
)

// callerTimeouts keeps the longest timeout that callers of each route have stated
// recently. It is the estimate of how long a caller waits in total, over all its
// attempts. It is safe for concurrent use.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]longestTimeout
}

// longestTimeout is the longest recent timeout of a route and when it was seen.
type longestTimeout struct {
	timeout time.Duration
	seenAt  time.Time
}

// observe records the timeout of a caller and returns the longest recent timeout
// of the route.
func (w *callerTimeouts) observe(r *snapshot.Route, timeout time.Duration, now time.Time) time.Duration {
	key := r.Host + r.Prefix
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.routes == nil || len(w.routes) >= maxTimeoutRoutes {
		w.routes = map[string]longestTimeout{}
	}
	l := w.routes[key]
	if timeout >= l.timeout || now.Sub(l.seenAt) > timeoutRetention {
		l = longestTimeout{timeout, now}
		w.routes[key] = l
	}
	return l.timeout
}
