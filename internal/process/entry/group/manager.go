package group

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
)

// Config holds what a manager depends on.
type Config struct {
	Instance    string
	DataCentre  string
	Incarnation uint64
	Store       *snapshot.Store
	Ready       func() bool // a confirmed version is in force
	Targets     func(service string) []target.Target
	Dial        func(addr string) (*grpc.ClientConn, error)
	NewToken    func() string
	// HomeChanged is called without locks after the dispatcher of a service
	// changed in this instance's view.
	HomeChanged func(service string)
	Log         *logrus.Entry
}

// Manager runs a Core: it pings the other entries of the data centre, asks
// them for their promises and keeps the dispatchers of this instance.
type Manager struct {
	cfg  Config
	wake chan struct{}

	mu       sync.Mutex
	core     *Core
	snap     *snapshot.Snapshot
	active   map[string]*dispatch.Dispatcher   // services dispatched here
	retired  map[string][]*dispatch.Dispatcher // handed over, requests still in flight
	homes    map[string]string
	inFlight map[string]bool      // pings under way
	pinged   map[string]time.Time // when a member was pinged last
	// emptySince is since when a service dispatched here has no slots.
	emptySince map[string]time.Time
	urgent     bool // the next pings do not wait: a home changed here
}

// NewManager returns a manager; Run starts it.
func NewManager(cfg Config) *Manager {
	return &Manager{
		cfg: cfg, wake: make(chan struct{}, 1),
		core:   NewCore(cfg.Instance, cfg.DataCentre, cfg.Incarnation, steady.Now(), cfg.NewToken),
		active: map[string]*dispatch.Dispatcher{}, retired: map[string][]*dispatch.Dispatcher{},
		homes: map[string]string{}, inFlight: map[string]bool{}, pinged: map[string]time.Time{}, emptySince: map[string]time.Time{},
	}
}

// Run pings and decides until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(RefreshInterval)
	defer ticker.Stop()
	for {
		m.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// Wake has the manager take over a new snapshot or changed targets at once.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Manager) step(ctx context.Context) {
	if !m.cfg.Ready() {
		return
	}
	m.update(func() {
		if s := m.cfg.Store.Load(); s != m.snap {
			m.snap = s
			m.core.SetSnapshot(s)
			m.registerInUse()
		}
	})
	for _, peer := range m.duePeers() {
		go m.exchange(ctx, peer)
	}
}

func (m *Manager) registerInUse() {
	for name, svc := range m.snap.Services {
		if svc.GuardedSlots {
			continue
		}
		m.core.SetInUse(name, func() map[string]uint32 { return m.inUse(name) })
	}
}

func (m *Manager) duePeers() []*fescuepb.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The ticker and the interval are in step; half a tick absorbs jitter.
	now := steady.Now()
	due := now.Add(RefreshInterval/2 - m.core.Interval())
	var out []*fescuepb.Member
	for _, p := range m.core.Peers() {
		if !m.inFlight[p.Instance] && (m.urgent || m.pinged[p.Instance].Before(due)) {
			m.inFlight[p.Instance] = true
			m.pinged[p.Instance] = now
			out = append(out, p)
		}
	}
	m.urgent = false
	return out
}

// update changes the core under the lock, then lets it decide and applies
// its decisions before the lock is released: nothing may be dispatched on a
// share that was given away.
func (m *Manager) update(f func()) {
	m.mu.Lock()
	f()
	now := steady.Now()
	changes := m.core.Tick(now)
	moved := m.refresh(now)
	m.urgent = m.urgent || len(changes) > 0
	m.mu.Unlock()
	if len(changes) > 0 {
		m.Wake()
	}
	for _, ch := range changes {
		m.cfg.Log.WithFields(logrus.Fields{
			"service": ch.Service, "dc": m.cfg.DataCentre, "epoch": ch.Epoch, "from_instance": ch.From, "to_instance": ch.To, "reason": ch.Reason,
		}).Info("dispatcher chosen")
	}
	for _, service := range moved {
		m.cfg.HomeChanged(service)
	}
}

// Ping answers another entry. Whenever the lock is free, dispatchers run only
// for services whose home is this instance, so a promise made in the answer
// holds from then on: update applies a change of home before it unlocks.
func (m *Manager) Ping(_ context.Context, req *fescuepb.PingRequest) (reply *fescuepb.PingReply, _ error) {
	m.update(func() { reply = m.core.OnPing(req, steady.Now()) })
	return reply, nil
}

// Dispatcher returns the dispatcher of a service that is dispatched here, or
// nil.
func (m *Manager) Dispatcher(service string) *dispatch.Dispatcher {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active[service]
}

// Home returns the member that dispatches the service in this data centre,
// or nil.
func (m *Manager) Home(service string) *fescuepb.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.snap == nil {
		return nil
	}
	return m.snap.Member(m.core.Home(service))
}

// Info describes the group of a service in this instance's view.
type Info struct {
	Epoch uint64
	Home  string
	Token string
	Here  bool
	// Previous is the dispatcher of the epoch before.
	Previous Predecessor
}

// Group returns the view of a service's group.
func (m *Manager) Group(service string) Info {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Info{m.core.Epoch(service), m.core.Home(service), m.core.Token(service), m.core.IsHome(service), m.core.Previous(service)}
}

// Usable reports whether look-ups may name a member of this data centre.
func (m *Manager) Usable(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Alive(instance, steady.Now()) && !m.core.Leaving(instance)
}

// Dead reports whether the process of a member of this data centre is proved
// not to run.
func (m *Manager) Dead(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Dead(instance, steady.Now())
}

// DiedInContact reports whether a member's process is proved dead and cannot
// have taken over from this instance before.
func (m *Manager) DiedInContact(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.DiedInContact(instance, steady.Now())
}

// AllSeen reports whether every other member of this data centre is alive or
// proved dead.
func (m *Manager) AllSeen() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.AllSeen(steady.Now())
}

// Raise moves a group that is dispatched here to a higher epoch.
func (m *Manager) Raise(service string, epoch uint64) {
	m.update(func() { m.core.Raise(service, epoch) })
}

// Leaving reports whether a member of this data centre has said that it is
// leaving.
func (m *Manager) Leaving(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Leaving(instance)
}

// Stop hands the services over; the dispatchers finish what is in flight.
func (m *Manager) Stop() {
	m.update(m.core.Stop)
	m.Wake()
}

// InFlight returns the requests in flight at targets.
func (m *Manager) InFlight() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, d := range m.active {
		n += d.Load().InFlight
	}
	for _, list := range m.retired {
		for _, d := range list {
			n += d.Load().InFlight
		}
	}
	return n
}
