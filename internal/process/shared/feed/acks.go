package feed

import (
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const (
	// AliveTimeout is how long an instance counts as alive after its latest
	// acknowledgement. Followers acknowledge at least every two seconds.
	AliveTimeout = 5 * time.Second
	// ackRetention is how long the acknowledgement of an instance is kept, so that
	// instances that are gone do not accumulate.
	ackRetention = 10 * time.Minute
)

// Ack is the latest acknowledgement of an instance.
type Ack struct {
	Version    uint64 // version in force at the instance
	ReceivedAt time.Time
	watcher    string // instance whose watch delivered it
}

// Acks collects the acknowledgements of followers, and those of the instances that
// follow through them. It is safe for concurrent use.
type Acks struct {
	mu          sync.Mutex
	latest      map[string]Ack
	openWatches map[string]int // number of open watches by instance
	lastCleanup time.Time
}

// NewAcks returns an empty collection.
func NewAcks() *Acks {
	return &Acks{latest: map[string]Ack{}, openWatches: map[string]int{}}
}

// WatchOpened records an open watch of an instance until done is called.
func (a *Acks) WatchOpened(instance string) (done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.openWatches[instance]++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.openWatches[instance]--
		if a.openWatches[instance] == 0 {
			delete(a.openWatches, instance)
		}
	}
}

// Record stores the versions in force from a request and reports whether any of
// them has changed.
func (a *Acks) Record(req *fescuepb.WatchRequest) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := a.store(req.Instance, Ack{req.InForce, now, req.Instance})
	for instance, version := range req.Behind {
		changed = a.store(instance, Ack{version, now, req.Instance}) || changed
	}
	a.removeExpired(now)
	return changed
}

// RecordVersion stores the version in force of an instance that was reported other
// than through a watch.
func (a *Acks) RecordVersion(instance string, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ack := a.latest[instance]
	ack.Version, ack.ReceivedAt = version, time.Now()
	a.latest[instance] = ack
}

// store replaces the acknowledgement of an instance and reports whether its version
// has changed. The caller holds mu.
func (a *Acks) store(instance string, ack Ack) bool {
	old, known := a.latest[instance]
	a.latest[instance] = ack
	return !known || old.Version != ack.Version
}

// removeExpired removes the acknowledgements that are older than ackRetention, at
// most once per ackRetention. The caller holds mu.
func (a *Acks) removeExpired(now time.Time) {
	if now.Sub(a.lastCleanup) < ackRetention {
		return
	}
	a.lastCleanup = now
	for instance, ack := range a.latest {
		if now.Sub(ack.ReceivedAt) > ackRetention {
			delete(a.latest, instance)
		}
	}
}

// All returns the latest acknowledgements by instance.
func (a *Acks) All() map[string]Ack {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]Ack, len(a.latest))
	for instance, ack := range a.latest {
		out[instance] = ack
	}
	return out
}

// LiveVersions returns the versions in force by instance, for the instances whose
// acknowledgement arrived within AliveTimeout through a watch that is still open.
func (a *Acks) LiveVersions() map[string]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]uint64{}
	for instance, ack := range a.latest {
		if a.openWatches[ack.watcher] > 0 && time.Since(ack.ReceivedAt) < AliveTimeout {
			out[instance] = ack.Version
		}
	}
	return out
}
