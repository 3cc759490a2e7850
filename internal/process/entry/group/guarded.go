package group

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
)

const (
	// suspectFor is how long an entry that did not answer an ask is passed over
	// as a dispatcher.
	suspectFor = time.Second
	// maxHomes bounds the entries that are asked for one request; the last one is
	// this entry itself.
	maxHomes = 2
)

// Guarded dispatches the services whose targets guard their slots. The entries
// of a region agree, by the members that they see, on one dispatcher for each
// group. They may disagree for a moment, or not reach it, and then two of them
// dispatch: the targets refuse what exceeds their slots, so no share has to be
// promised. It is safe for concurrent use.
type Guarded struct {
	Instance   string
	DataCentre string
	Client     *slotlink.Client
	Now        func() time.Time
	Log        *logrus.Entry

	mu       sync.Mutex
	snap     *snapshot.Snapshot
	local    map[slotlink.Pool]*dispatch.Dispatcher
	loads    map[slotlink.Pool]loadAt // of groups that other entries dispatch
	suspects map[string]time.Time     // instance to until when it is passed over
	homes    map[slotlink.Pool]string // for the log
}

// loadAt is a load with the time at which it was learned.
type loadAt struct {
	dispatch.Load
	at time.Time
}

// Use puts a snapshot in force.
func (g *Guarded) Use(s *snapshot.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.local == nil {
		g.local, g.loads = map[slotlink.Pool]*dispatch.Dispatcher{}, map[slotlink.Pool]loadAt{}
		g.suspects, g.homes = map[string]time.Time{}, map[slotlink.Pool]string{}
	}
	g.snap = s
	for k, d := range g.local {
		svc := s.Services[k.Service]
		if svc == nil || !svc.GuardedSlots {
			d.Stop()
			delete(g.local, k)
			continue
		}
		d.Configure(g.poolSettingsLocked(svc, k))
		d.SetTargets(targetInfos(s, svc, k.Region))
	}
	g.Client.Keep(g.peersLocked())
}

// peersLocked returns the addresses of the entries that may dispatch for this
// one.
func (g *Guarded) peersLocked() map[string]bool {
	region := g.snap.Region(g.DataCentre)
	out := map[string]bool{}
	for _, m := range g.snap.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY && m.Region == region && m.Instance != g.Instance {
			out[m.GrpcAddr] = true
		}
	}
	return out
}

// Ready reports whether a snapshot is in force here. It gets here a moment after
// the store has it.
func (g *Guarded) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.snap != nil
}

// Dispatcher returns this entry's dispatcher of a group, whether or not the
// others ask it, or nil if there is no such service.
func (g *Guarded) Dispatcher(k slotlink.Pool) *dispatch.Dispatcher {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcherLocked(k)
}

func (g *Guarded) dispatcherLocked(k slotlink.Pool) *dispatch.Dispatcher {
	if d := g.local[k]; d != nil {
		return d
	}
	if g.snap == nil {
		return nil
	}
	svc := g.snap.Services[k.Service]
	if svc == nil || !svc.GuardedSlots {
		return nil
	}
	d := dispatch.NewPoolDispatcher(g.poolSettingsLocked(svc, k), g.Now)
	d.SetTargets(targetInfos(g.snap, svc, k.Region))
	g.local[k] = d
	return d
}

// poolSettingsLocked returns the settings of this entry's dispatcher of a pool.
// Only the entry that the members in force make the dispatcher sends to cold
// targets: one that stands in for it, since it does not answer, does not know
// what it has sent.
func (g *Guarded) poolSettingsLocked(svc *snapshot.Service, k slotlink.Pool) dispatch.Settings {
	set := settingsOf(svc, "", g.snap)
	first := g.firstLocked(k, (*Guarded).presentLocked)
	set.AvoidCold = first != nil && first.Instance != g.Instance
	return set
}

// Slots returns the slots of a service in this entry's region, or nil if there
// is no such service.
func (g *Guarded) Slots(service string) dispatch.Slots {
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
	return placeSlots{g, slotlink.Pool{Service: service, Region: region}}
}

// home returns the entry that dispatches a pool: the first of its region that
// can. It is nil if that is this entry.
func (g *Guarded) home(k slotlink.Pool) *fescuepb.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.homeLocked(k)
	name := g.Instance
	if m != nil {
		name = m.Instance
	}
	if before := g.homes[k]; before != name {
		g.homes[k] = name
		g.Log.WithFields(logrus.Fields{
			"service": k.Service, "region": k.Region, "from_instance": before, "to_instance": name, "version": g.snap.Version,
		}).Info("dispatcher chosen")
	}
	return m
}

func (g *Guarded) homeLocked(k slotlink.Pool) *fescuepb.Member {
	best := g.firstLocked(k, (*Guarded).usableLocked)
	if best == nil || best.Instance == g.Instance {
		return nil
	}
	return best
}

// firstLocked returns the first entry of a pool's region, in the pool's order of
// preference, for which fits holds, or nil.
func (g *Guarded) firstLocked(k slotlink.Pool, fits func(*Guarded, *fescuepb.Member) bool) *fescuepb.Member {
	var best *fescuepb.Member
	for _, m := range g.snap.Members() {
		if m.Role != fescuepb.Role_ROLE_ENTRY || m.Region != k.Region || !fits(g, m) {
			continue
		}
		if best == nil || before(rankKey(k), m, best) {
			best = m
		}
	}
	return best
}

func rankKey(k slotlink.Pool) string { return k.Service + "\x00" + k.Region }

// before reports whether a is preferred to b for a key, by rendezvous hashing.
func before(key string, a, b *fescuepb.Member) bool {
	ra, rb := rank(key, a), rank(key, b)
	if ra != rb {
		return ra > rb
	}
	return a.Instance < b.Instance
}

func rank(key string, m *fescuepb.Member) uint64 {
	return xxhash.Sum64String(key + "\x00" + m.Instance)
}

// usableLocked reports whether an entry may be asked: the members in force have
// it present, and it answered lately as far as it was asked.
func (g *Guarded) usableLocked(m *fescuepb.Member) bool {
	return g.presentLocked(m) && (m.Instance == g.Instance || g.Now().After(g.suspects[m.Instance]))
}

// presentLocked reports whether the members in force have an entry present.
func (g *Guarded) presentLocked(m *fescuepb.Member) bool {
	return m.Instance == g.Instance || !m.Leaving && !m.Silent && m.Session > 0
}

// Near returns the entries of another region to send a request to, best first.
// The key spreads the requests over them.
func (g *Guarded) Near(region, key string) []*fescuepb.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.snap == nil {
		return nil
	}
	var out []*fescuepb.Member
	for _, m := range g.snap.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY && m.Region == region && g.usableLocked(m) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *fescuepb.Member) int {
		if before(key, a, b) {
			return -1
		}
		return 1
	})
	return out[:min(len(out), maxNear)]
}

// maxNear bounds the entries that are tried for one request.
const maxNear = 2

// Suspect passes an entry over for a moment.
func (g *Guarded) Suspect(instance string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects[instance] = g.Now().Add(suspectFor)
}

func (g *Guarded) noteLoad(k slotlink.Pool, l dispatch.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads[k] = loadAt{l, g.Now()}
}

// placeSlots are the slots of one group, wherever it is dispatched.
type placeSlots struct {
	g *Guarded
	k slotlink.Pool
}

// Acquire asks the group's dispatcher. If that one does not answer, the next
// one is asked, and at last this entry decides itself.
func (p placeSlots) Acquire(ctx context.Context, w dispatch.Work) (*dispatch.Ticket, error) {
	for range maxHomes {
		home := p.g.home(p.k)
		if home == nil {
			break
		}
		t, load, err := p.g.Client.Acquire(ctx, home.GrpcAddr, p.k, w, p.g.Now())
		if errors.Is(err, slotlink.ErrSilent) || errkind.Of(err) == errkind.NotDispatcher && err != nil {
			p.g.Suspect(home.Instance)
			p.g.Log.WithFields(logrus.Fields{"service": p.k.Service, "region": p.k.Region, "dispatcher": home.Instance}).Info("dispatcher passed over: no answer")
			continue
		}
		p.g.noteLoad(p.k, load)
		return t, err
	}
	d := p.g.Dispatcher(p.k)
	if d == nil {
		return nil, errkind.New(errkind.NoTarget, "service %q is not in the version in force", p.k.Service)
	}
	return d.Acquire(ctx, w)
}

// loadFor is how long the load of a group elsewhere counts.
const loadFor = 500 * time.Millisecond

// Load returns the load of the group as far as it is known here.
func (p placeSlots) Load() dispatch.Load {
	if p.g.home(p.k) == nil {
		if d := p.g.Dispatcher(p.k); d != nil {
			return d.Load()
		}
	}
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	l := p.g.loads[p.k]
	if p.g.Now().Sub(l.at) > loadFor {
		return dispatch.Load{Run: l.Run}
	}
	return l.Load
}

// Stop refuses everything that waits here.
func (g *Guarded) Stop() { g.Client.Close() }

func settingsOf(svc *snapshot.Service, dc string, s *snapshot.Snapshot) dispatch.Settings {
	out := dispatch.Settings{
		Service: svc.Name, DataCentre: dc, Slots: svc.SlotsPerTarget,
		QueueLimit: svc.QueueLimit, LongSharePercent: svc.LongSharePercent, Warmup: svc.Warmup.AsDuration(),
		LongestDeadline: s.LongestDeadline(svc),
	}
	if svc.Hedge != nil {
		out.HedgePercent, out.HedgeMinDelay = svc.Hedge.BudgetPercent, svc.Hedge.MinDelay.AsDuration()
	}
	return out
}

// targetInfos returns the targets of a service in a region.
func targetInfos(s *snapshot.Snapshot, svc *snapshot.Service, region string) []dispatch.TargetInfo {
	var infos []dispatch.TargetInfo
	for _, dc := range s.DataCentres(region) {
		for _, t := range s.Targets(svc.Name, dc) {
			infos = append(infos, targetInfo(s, svc, t))
		}
	}
	return infos
}

func targetInfo(s *snapshot.Snapshot, svc *snapshot.Service, t *fescuepb.Target) dispatch.TargetInfo {
	info := dispatch.TargetInfo{
		ID: t.Id, Addr: t.Address, DataCentre: t.DataCentre, Slots: int(t.Slots), ReportedLoad: -1, Incarnation: t.BornUnixMs,
		ColdRemaining: time.Duration(t.ColdMs) * time.Millisecond,
	}
	if svc.ColdStart != nil {
		info.ColdRate, info.ColdDuration = svc.ColdStart.PerSecond, svc.ColdStart.Period.AsDuration()
	}
	if t.Leaving || s.TargetDrained(svc.Name, t.DataCentre, t.Id) {
		info.State = dispatch.Leaving
	}
	return info
}
