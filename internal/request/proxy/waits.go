package proxy

import (
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

const (
	// waitsFor is how long the longest wait of a route's callers is remembered.
	waitsFor = 30 * time.Second
	maxWaits = 4096 // routes that are remembered
)

// waits remembers how long the callers of each route wait in total: the
// longest time that one of them has named lately. It is safe for concurrent
// use.
type waits struct {
	mu     sync.Mutex
	routes map[string]longestWait
}

type longestWait struct {
	wait time.Duration
	at   time.Time
}

// longest takes over the wait of a caller and returns the longest one.
func (w *waits) longest(r *snapshot.Route, wait time.Duration, now time.Time) time.Duration {
	key := r.Host + r.Prefix
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.routes == nil || len(w.routes) >= maxWaits {
		w.routes = map[string]longestWait{}
	}
	l := w.routes[key]
	if wait >= l.wait || now.Sub(l.at) > waitsFor {
		l = longestWait{wait, now}
		w.routes[key] = l
	}
	return l.wait
}
