package feed

import (
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const (
	// AliveFor is how long an instance counts as alive after it was heard;
	// followers acknowledge at least every two seconds.
	AliveTimeout = 5 * time.Second
	// forgetAfter bounds the acknowledgements that are kept.
	ackRetention = 10 * time.Minute
)

// Ack is the latest acknowledgement of an instance.
type Ack struct {
	Version    uint64 // in force at the instance
	ReceivedAt time.Time
	watcher    string // instance of the watch that it arrived on
}

// Acks collects the acknowledgements of followers and of instances behind
// them.
type Acks struct {
	mu          sync.Mutex
	latest      map[string]Ack
	openWatches map[string]int // open watches by instance
	expiredAt   time.Time
}

// NewAcks returns an empty collection.
func NewAcks() *Acks {
	return &Acks{latest: map[string]Ack{}, openWatches: map[string]int{}}
}

// Connect notes an open watch of an instance until done is called.
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

// Record takes the versions in force from a request and reports whether any
// of them is news.
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

// Heard notes that an instance was heard otherwise than on a watch, with its
// version in force.
func (a *Acks) RecordVersion(instance string, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ack := a.latest[instance]
	ack.Version, ack.ReceivedAt = version, time.Now()
	a.latest[instance] = ack
}

func (a *Acks) store(instance string, ack Ack) bool {
	old, known := a.latest[instance]
	a.latest[instance] = ack
	return !known || old.Version != ack.Version
}

func (a *Acks) removeExpired(now time.Time) {
	if now.Sub(a.expiredAt) < ackRetention {
		return
	}
	a.expiredAt = now
	for instance, ack := range a.latest {
		if now.Sub(ack.ReceivedAt) > ackRetention {
			delete(a.latest, instance)
		}
	}
}

// All returns every acknowledgement that is kept.
func (a *Acks) All() map[string]Ack {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]Ack, len(a.latest))
	for instance, ack := range a.latest {
		out[instance] = ack
	}
	return out
}

// Behind returns the versions in force at instances that were heard within
// AliveFor on a watch that is still open.
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
