package group

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// refresh brings the dispatchers in line with the core and returns the
// services whose home changed.
func (m *Manager) refresh(now time.Time) (moved []string) {
	if m.snap == nil {
		return nil
	}
	for name, svc := range m.snap.Services {
		if !svc.RunsIn(m.cfg.DataCentre) {
			continue
		}
		if svc.GuardedSlots {
			continue // Guarded has it
		}
		if home := m.core.Home(name); home != m.homes[name] {
			m.homes[name] = home
			moved = append(moved, name)
		}
		m.refreshService(name, svc, now)
	}
	m.pruneRetired()
	return moved
}

func (m *Manager) refreshService(name string, svc *snapshot.Service, now time.Time) {
	d := m.active[name]
	if !m.core.IsHome(name) {
		if d != nil {
			d.Stop()
			delete(m.active, name)
			delete(m.emptySince, name)
			m.retired[name] = append(m.retired[name], d)
		}
		return
	}
	settings := settingsOf(svc, m.cfg.DataCentre, m.snap)
	if d == nil {
		d = dispatch.NewDispatcher(settings, time.Now)
		m.active[name] = d
	} else {
		d.Configure(settings)
	}
	d.SetTargets(m.targets(name, svc, now))
}

func (m *Manager) targets(name string, svc *snapshot.Service, now time.Time) []dispatch.TargetInfo {
	retired := map[string]uint32{}
	for _, d := range m.retired[name] {
		for id, n := range d.InUse() {
			retired[id] += n
		}
	}
	var out []dispatch.TargetInfo
	total := 0
	for _, t := range m.cfg.Targets(name) {
		slots := svc.SlotsPerTarget
		if t.Slots > 0 {
			slots = min(slots, t.Slots)
		}
		usable := m.core.Usable(name, t.ID, slots, now) - int(retired[t.ID])
		total += max(usable, 0)
		out = append(out, dispatch.TargetInfo{
			ID: t.ID, Addr: t.Addr, State: m.state(t), Slots: max(usable, 0),
			ReportedLoad: t.ReportedLoad, HealthySince: t.HealthySince,
		})
	}
	if m.core.Leaving(m.cfg.Instance) || m.withoutSlots(name, total, now) {
		for i := range out {
			out[i].State = dispatch.Down
		}
	}
	return out
}

// maxWithoutSlots is how long requests wait for a dispatcher that has no
// slots yet, as after a takeover, before they are sent elsewhere.
const maxWithoutSlots = 3 * time.Second

// withoutSlots reports whether the service has had no slots for too long.
func (m *Manager) withoutSlots(name string, total int, now time.Time) bool {
	if total > 0 {
		delete(m.emptySince, name)
		return false
	}
	since, ok := m.emptySince[name]
	if !ok {
		m.emptySince[name] = now
		return false
	}
	return now.Sub(since) > maxWithoutSlots
}

func (m *Manager) state(t target.Target) dispatch.TargetState {
	switch {
	case t.Status == target.Leaving || m.snap.TargetDrained(t.Service, m.cfg.DataCentre, t.ID):
		return dispatch.Leaving
	case t.Status == target.Down:
		return dispatch.Down
	}
	return dispatch.Active
}

// pruneRetired forgets handed-over dispatchers without requests in flight.
func (m *Manager) pruneRetired() {
	for name, list := range m.retired {
		kept := list[:0]
		for _, d := range list {
			if d.Load().InFlight > 0 {
				kept = append(kept, d)
			}
		}
		m.retired[name] = kept
	}
}

// inUse counts the requests in flight of a service. The caller holds the lock.
func (m *Manager) inUse(service string) map[string]uint32 {
	out := map[string]uint32{}
	add := func(d *dispatch.Dispatcher) {
		for target, n := range d.InUse() {
			out[target] += n
		}
	}
	for _, d := range m.retired[service] {
		add(d)
	}
	if d := m.active[service]; d != nil {
		add(d)
	}
	return out
}
