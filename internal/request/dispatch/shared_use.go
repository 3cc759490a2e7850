package dispatch

import (
	"sync"
	"sync/atomic"
)

// SharedUse counts the requests that the pools of one process have in flight at each
// target. A target can move from one pool to another while its requests run, and the new
// pool must not grant their slots again. It is safe for concurrent use.
type SharedUse struct {
	mu      sync.Mutex
	targets map[targetKey]*targetUse
}

type targetKey struct{ service, id string }

// targetUse is the use of one target by all pools.
type targetUse struct {
	inFlight atomic.Int64
	pools    int // pools that hold this targetUse, guarded by SharedUse.mu
}

// hold returns the use of a target. The caller releases it when it forgets the target.
// The use of a nil SharedUse is that of a single pool.
func (s *SharedUse) hold(key targetKey) *targetUse {
	if s == nil {
		return &targetUse{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets == nil {
		s.targets = map[targetKey]*targetUse{}
	}
	u := s.targets[key]
	if u == nil {
		u = &targetUse{}
		s.targets[key] = u
	}
	u.pools++
	return u
}

func (s *SharedUse) release(key targetKey) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.targets[key]; u != nil {
		if u.pools--; u.pools == 0 {
			delete(s.targets, key)
		}
	}
}
