package group

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/request/announce"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
)

// Config holds the dependencies of a Manager.
type Config struct {
	Instance    string
	DataCentre  string
	Incarnation uint64
	Store       *snapshot.Store
	Ready       func() bool // reports whether a version is in force
	Targets     func(service string) []target.Target
	Announced   *announce.Registry // what targets have announced to this entry; may be nil
	Dial        func(addr string) (*grpc.ClientConn, error)
	NewToken    func() string
	// DispatcherChanged is called after the entry that dispatches a service has
	// changed in this instance's view. The manager holds no lock during the call.
	DispatcherChanged func(service string)
	Log               *logrus.Entry
}

// Manager runs a Core: it pings the other entries of the data centre, borrows
// their shares and manages the dispatchers of this instance. It is safe for
// concurrent use.
type Manager struct {
	cfg  Config
	wake chan struct{}

	mu            sync.Mutex
	core          *Core
	snap          *snapshot.Snapshot
	active        map[string]*dispatch.Dispatcher   // by service, of the services dispatched here
	retired       map[string][]*dispatch.Dispatcher // by service; handed over, but with requests in flight
	dispatchers   map[string]string
	pingsInFlight map[string]bool      // by member
	lastPing      map[string]time.Time // by member, when it was last pinged
	// noSlotsSince holds, by service dispatched here, since when it has had no
	// slots.
	noSlotsSince map[string]time.Time
	pingNow      bool // ping all members without waiting: this instance has changed a dispatcher
}

// NewManager returns a manager. It pings no other entry until Run is called.
func NewManager(cfg Config) *Manager {
	return &Manager{
		cfg: cfg, wake: make(chan struct{}, 1),
		core:   NewCore(cfg.Instance, cfg.DataCentre, cfg.Incarnation, steady.Now(), cfg.NewToken),
		active: map[string]*dispatch.Dispatcher{}, retired: map[string][]*dispatch.Dispatcher{},
		dispatchers: map[string]string{}, pingsInFlight: map[string]bool{}, lastPing: map[string]time.Time{}, noSlotsSince: map[string]time.Time{},
	}
}

// Run pings the other entries and updates the dispatchers until ctx ends.
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

// Wake makes the manager apply a new snapshot or changed targets immediately.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// step applies a new snapshot, updates the dispatchers and pings the members that
// are due. It does nothing before a confirmed version is in force.
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
		go m.pingOrProbe(ctx, peer)
	}
}

// registerInUse tells the core how to count the requests in flight of each
// service. The caller holds the lock.
func (m *Manager) registerInUse() {
	for name, svc := range m.snap.Services {
		if svc.GuardedSlots {
			continue
		}
		m.core.SetInUse(name, func() map[string]uint32 { return m.inUse(name) })
	}
}

// duePeers returns the members to ping now and marks their pings as in flight.
func (m *Manager) duePeers() []*fescuepb.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The ping interval is a multiple of the ticker's. Half a tick of tolerance
	// keeps jitter from delaying a ping by a whole tick.
	now := steady.Now()
	due := now.Add(RefreshInterval/2 - m.core.Interval())
	var out []*fescuepb.Member
	for _, p := range m.core.Peers() {
		if !m.pingsInFlight[p.Instance] && (m.pingNow || m.lastPing[p.Instance].Before(due)) {
			m.pingsInFlight[p.Instance] = true
			m.lastPing[p.Instance] = now
			out = append(out, p)
		}
	}
	m.pingNow = false
	return out
}

// update calls f under the lock to change the core, lets the core decide and
// applies its decisions before it releases the lock. Otherwise a dispatcher could
// start requests on a share that this instance has just lent or handed over.
func (m *Manager) update(f func()) {
	m.mu.Lock()
	f()
	now := steady.Now()
	changes := m.core.Tick(now)
	moved := m.updateDispatchers(now)
	m.pingNow = m.pingNow || len(changes) > 0
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
		m.cfg.DispatcherChanged(service)
	}
}

// Ping answers a ping of another entry. A loan granted in the reply is in force at
// once: update applies a change of dispatcher before it releases the lock, so
// while the lock is free, dispatchers run only for services that this instance
// dispatches.
func (m *Manager) Ping(_ context.Context, req *fescuepb.PingRequest) (reply *fescuepb.PingReply, _ error) {
	m.update(func() { reply = m.core.OnPing(req, steady.Now()) })
	return reply, nil
}

// Dispatcher returns the local dispatcher of a service, or nil if this instance
// does not dispatch it.
func (m *Manager) Dispatcher(service string) *dispatch.Dispatcher {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active[service]
}

// DispatchingEntry returns the member that dispatches the service in this data
// centre, or nil if none is known.
func (m *Manager) DispatchingEntry(service string) *fescuepb.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.snap == nil {
		return nil
	}
	return m.snap.Member(m.core.Dispatcher(service))
}

// Info describes the dispatch group of a service in this instance's view.
type Info struct {
	Epoch        uint64
	Dispatcher   string
	Token        string
	IsDispatcher bool
	// Previous is the dispatcher of the preceding epoch.
	Previous Predecessor
}

// Group returns this instance's view of a service's group.
func (m *Manager) Group(service string) Info {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Info{m.core.Epoch(service), m.core.Dispatcher(service), m.core.Token(service), m.core.IsDispatcher(service), m.core.Previous(service)}
}

// Usable reports whether look-ups may return a member of this data centre: it is
// alive and not leaving.
func (m *Manager) Usable(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Alive(instance, steady.Now()) && !m.core.Leaving(instance)
}

// ProvedDead reports whether the process of a member of this data centre is
// proved not to run.
func (m *Manager) ProvedDead(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.ProvedDead(instance, steady.Now())
}

// DiedWithoutTakeover reports whether a member's process is proved dead and
// cannot have taken over from this instance before it died.
func (m *Manager) DiedWithoutTakeover(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.DiedWithoutTakeover(instance, steady.Now())
}

// AllEntriesAccountedFor reports whether every other member of this data centre
// is alive or proved dead.
func (m *Manager) AllEntriesAccountedFor() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.AllEntriesAccountedFor(steady.Now())
}

// RaiseEpoch moves a group that this instance dispatches to a higher epoch.
func (m *Manager) RaiseEpoch(service string, epoch uint64) {
	m.update(func() { m.core.RaiseEpoch(service, epoch) })
}

// Leaving reports whether a member of this data centre has announced that it is
// leaving.
func (m *Manager) Leaving(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Leaving(instance)
}

// Stop hands the services over to other members. The dispatchers finish the
// requests in flight.
func (m *Manager) Stop() {
	m.update(m.core.Stop)
	m.Wake()
}

// InFlight returns the number of requests that this instance has in flight at
// targets.
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
