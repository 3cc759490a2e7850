package proxy

import (
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

const (
	// waitsFor is how long the longest wait of a route's callers is remembered.
	timeoutRetention = 30 * time.Second
	maxTimeoutRoutes = 4096 // routes that are remembered
)

// waits remembers how long the callers of each route wait in total: the
// longest time that one of them has named lately. It is safe for concurrent
// use.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]longestTimeout
}

type longestTimeout struct {
	timeout time.Duration
	seenAt  time.Time
}

// longest takes over the wait of a caller and returns the longest one.
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
