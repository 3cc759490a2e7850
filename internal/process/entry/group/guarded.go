package group

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/rendezvous"
	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/request/announce"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// unreachableDuration is how long an entry is skipped after it did not answer.
	unreachableDuration = time.Second
	// maxDispatcherAttempts bounds the other entries that are asked for a slot for
	// one request. If none answers, this entry's own dispatcher decides.
	maxDispatcherAttempts = 2
)

// Guarded dispatches the services with guarded_slots, whose targets refuse
// requests beyond their slots. Each pool, which is the targets of a service in a
// region or a part of them, has one dispatcher. The entries of the region choose it by
// rendezvous hashing over the members in the snapshot in force. While their snapshots
// differ, or while some of them cannot reach the dispatcher, several entries may
// dispatch the same pool. The targets then refuse the excess requests, so the
// entries need not divide the slots among themselves. Guarded is safe for
// concurrent use.
type Guarded struct {
	Instance   string
	DataCentre string
	Client     *slotlink.Client
	Announced  *announce.Registry // what targets have announced to this entry; may be nil
	Metrics    tally.Scope        // nil: none
	Now        func() time.Time
	Log        *logrus.Entry

	inFlight dispatch.SharedUse // of all local dispatchers

	mu                sync.Mutex
	snap              *snapshot.Snapshot
	partitions        map[regionTargets]*partition         // of snap, as far as they were needed
	ranked            map[slotlink.Pool][]*fescuepb.Member // entries in order of preference; the same
	neighbours        map[string][]*fescuepb.Member        // entries of other regions by region, see neighboursLocked; the same
	activeSince       map[string]activity                  // by ID of the targets of this region
	local             map[slotlink.Pool]*dispatch.Dispatcher
	remoteLoads       map[slotlink.Pool]timedLoad // of pools that other entries dispatch
	refusals          map[slotlink.Pool]refusal   // the last ones of pools that other entries dispatch
	replyTimes        map[string]replyTime        // of the dispatchers in other entries
	unreachableUntil  map[string]time.Time        // by instance, until when it is skipped
	loggedDispatchers map[slotlink.Pool]string    // the dispatcher of each pool that was last logged
}

// timedLoad is a load with the time at which it was received.
type timedLoad struct {
	dispatch.Load
	receivedAt time.Time
}

// SetSnapshot applies a routing snapshot.
func (g *Guarded) SetSnapshot(s *snapshot.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.local == nil {
		g.local, g.remoteLoads = map[slotlink.Pool]*dispatch.Dispatcher{}, map[slotlink.Pool]timedLoad{}
		g.unreachableUntil, g.loggedDispatchers = map[string]time.Time{}, map[slotlink.Pool]string{}
		g.refusals, g.replyTimes = map[slotlink.Pool]refusal{}, map[string]replyTime{}
	}
	g.snap, g.partitions, g.ranked = s, map[regionTargets]*partition{}, map[slotlink.Pool][]*fescuepb.Member{}
	g.neighbours = map[string][]*fescuepb.Member{}
	g.observeActivityLocked()
	for pool, d := range g.local {
		svc := s.Services[pool.Service]
		if svc == nil || !svc.GuardedSlots || !g.partitionLocked(svc, pool.Region).has(pool.Part) {
			d.Stop()
			delete(g.local, pool)
			continue
		}
		d.Configure(g.poolSettingsLocked(svc, pool))
		d.SetTargets(g.targetInfosLocked(svc, pool))
	}
	g.Client.CloseExcept(g.peerAddrsLocked())
}

// peerAddrsLocked returns the gRPC addresses of the other entries of the region,
// which may be asked for slots.
func (g *Guarded) peerAddrsLocked() map[string]bool {
	region := g.snap.Region(g.DataCentre)
	out := map[string]bool{}
	for _, m := range g.snap.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY && m.Region == region && m.Instance != g.Instance {
			out[m.GrpcAddr] = true
		}
	}
	return out
}

// Ready reports whether SetSnapshot has been called. The first snapshot arrives
// here a little later than in the store.
func (g *Guarded) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.snap != nil
}

// Dispatcher returns this entry's dispatcher of a pool, whether or not the other
// entries use it. It returns nil if there is no such service with guarded_slots.
func (g *Guarded) Dispatcher(pool slotlink.Pool) *dispatch.Dispatcher {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcherLocked(pool)
}

// LocalSlots returns the slots of this entry's dispatcher of a pool for other entries, or
// nil if there is no such service with guarded_slots. An entry with a newer version may ask
// for a part that there is not yet; one of the present parts then serves it.
func (g *Guarded) LocalSlots(pool slotlink.Pool) dispatch.Slots {
	pool.Part %= g.parts(pool)
	if d := g.Dispatcher(pool); d != nil {
		return d
	}
	return nil
}

// dispatcherLocked returns this entry's dispatcher of a pool and creates it if
// there is none.
func (g *Guarded) dispatcherLocked(pool slotlink.Pool) *dispatch.Dispatcher {
	if d := g.local[pool]; d != nil {
		return d
	}
	if g.snap == nil {
		return nil
	}
	svc := g.snap.Services[pool.Service]
	if svc == nil || !svc.GuardedSlots {
		return nil
	}
	d := dispatch.NewPoolDispatcher(g.poolSettingsLocked(svc, pool), g.Now, func(b dispatch.Backoff) { g.logBackoff(pool, b) })
	d.SetTargets(g.targetInfosLocked(svc, pool))
	g.local[pool] = d
	return d
}

// logBackoff logs why a target of a pool gets no requests for a while. A back-off
// bounds the number of lines: it lasts 0.1 s at least.
func (g *Guarded) logBackoff(pool slotlink.Pool, b dispatch.Backoff) {
	g.Log.WithFields(logrus.Fields{
		"service": pool.Service, "region": pool.Region, "part": pool.Part, "target": b.Target, "cause": b.Cause.String(), "failures": b.Failures, "timeouts": b.Timeouts,
		"silent_ms": b.SilentFor.Milliseconds(), "backoff_ms": b.Duration.Milliseconds(), "failed_percent": b.FailedPercent,
	}).Info("target backed off")
}

// poolSettingsLocked returns the settings of this entry's dispatcher of a pool.
// An entry that decides itself because the dispatcher according to the members in
// force does not answer is a substitute: it does not know what that dispatcher and
// other substitutes have sent.
func (g *Guarded) poolSettingsLocked(svc *snapshot.Service, pool slotlink.Pool) dispatch.Settings {
	settings := dispatchSettings(svc, "", g.snap)
	first := g.preferredLocked(pool, (*Guarded).presentLocked)
	settings.Substitute = first != nil && first.Instance != g.Instance
	settings.Shared = &g.inFlight
	return settings
}

// Slots returns the slots of a service in this entry's region for a request about an
// object, or nil if there is no such service with guarded_slots. The object is "" if the
// request has none.
func (g *Guarded) Slots(service, object string) dispatch.Slots {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.snap == nil {
		return nil
	}
	region := g.snap.Region(g.DataCentre)
	svc := g.snap.Services[service]
	if svc == nil || !svc.GuardedSlots {
		return nil
	}
	p := g.partitionLocked(svc, region)
	return partedSlots{guarded: g, service: service, region: region, partition: p, order: p.order(object)}
}

// remoteDispatcher returns the entry that dispatches a pool, or nil if this entry
// dispatches it. It logs a change of the dispatcher.
func (g *Guarded) remoteDispatcher(pool slotlink.Pool) *fescuepb.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.remoteDispatcherLocked(pool)
	name := g.Instance
	if m != nil {
		name = m.Instance
	}
	if previous := g.loggedDispatchers[pool]; previous != name {
		g.loggedDispatchers[pool] = name
		g.Log.WithFields(logrus.Fields{
			"service": pool.Service, "region": pool.Region, "part": pool.Part, "from_instance": previous, "to_instance": name, "version": g.snap.Version,
		}).Info("dispatcher chosen")
	}
	return m
}

// remoteDispatcherLocked returns the most preferred usable entry of a pool's
// region, or nil if that is this entry or there is none.
func (g *Guarded) remoteDispatcherLocked(pool slotlink.Pool) *fescuepb.Member {
	best := g.preferredLocked(pool, (*Guarded).usableLocked)
	if best == nil || best.Instance == g.Instance {
		return nil
	}
	return best
}

// preferredLocked returns the most preferred entry of a pool's region for which
// fits returns true, or nil.
func (g *Guarded) preferredLocked(pool slotlink.Pool, fits func(*Guarded, *fescuepb.Member) bool) *fescuepb.Member {
	for _, m := range g.rankedLocked(pool) {
		if fits(g, m) {
			return m
		}
	}
	return nil
}

// rankedLocked returns the entries of a pool's region in order of preference.
func (g *Guarded) rankedLocked(pool slotlink.Pool) []*fescuepb.Member {
	if out, ok := g.ranked[pool]; ok {
		return out
	}
	type ranked struct {
		member *fescuepb.Member
		rank   uint64
	}
	var all []ranked
	key := rankKey(pool)
	for _, m := range g.snap.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY && m.Region == pool.Region {
			all = append(all, ranked{m, rank(key, m)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.member.Instance, b.member.Instance))
	})
	out := make([]*fescuepb.Member, len(all))
	for i, r := range all {
		out[i] = r.member
	}
	g.ranked[pool] = out
	return out
}

// rankKey returns the key by which the entries are ranked for a pool. That of the first
// part is the same as that of a pool without parts.
func rankKey(pool slotlink.Pool) string {
	key := pool.Service + "\x00" + pool.Region
	if pool.Part > 0 {
		key += "\x00" + strconv.Itoa(pool.Part)
	}
	return key
}

func rank(key string, m *fescuepb.Member) uint64 {
	return rendezvous.Hash(key, m.Instance)
}

// usableLocked reports whether an entry may be asked: it is present and was not
// recently found unreachable.
func (g *Guarded) usableLocked(m *fescuepb.Member) bool {
	return g.presentLocked(m) && (m.Instance == g.Instance || g.Now().After(g.unreachableUntil[m.Instance]))
}

// presentLocked reports whether an entry runs according to the members in force:
// it has a session and is neither leaving nor silent. This entry always is.
func (g *Guarded) presentLocked(m *fescuepb.Member) bool {
	return m.Instance == g.Instance || !m.Leaving && !m.Silent && m.Session > 0
}

// MarkUnreachable records that an entry could not be reached, so that it is
// skipped for unreachableDuration.
func (g *Guarded) MarkUnreachable(instance string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachableUntil[instance] = g.Now().Add(unreachableDuration)
}

// recordLoad records the load of a pool that another entry dispatches, and the
// targets that are leaving according to that entry.
func (g *Guarded) recordLoad(pool slotlink.Pool, l dispatch.Load) {
	g.Announced.Learn(pool.Service, l.Leaving)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remoteLoads[pool] = timedLoad{l, g.Now()}
}

// Stop closes the links to the other entries.
func (g *Guarded) Stop() { g.Client.Close() }
