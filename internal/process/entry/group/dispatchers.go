package group

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// updateDispatchers starts, configures and stops the local dispatchers as the
// core has decided. It returns the services whose dispatching entry changed. The
// caller holds the lock.
func (m *Manager) updateDispatchers(now time.Time) (moved []string) {
	if m.snap == nil {
		return nil
	}
	for name, svc := range m.snap.Services {
		if !svc.RunsIn(m.cfg.DataCentre) {
			continue
		}
		if svc.GuardedSlots {
			continue // dispatched by Guarded
		}
		if dispatcher := m.core.Dispatcher(name); dispatcher != m.dispatchers[name] {
			m.dispatchers[name] = dispatcher
			moved = append(moved, name)
		}
		m.updateDispatcher(name, svc, now)
	}
	m.pruneRetired()
	return moved
}

// updateDispatcher starts, configures or retires the local dispatcher of one
// service. A retired dispatcher finishes its requests in flight.
func (m *Manager) updateDispatcher(name string, svc *snapshot.Service, now time.Time) {
	d := m.active[name]
	if !m.core.IsDispatcher(name) {
		if d != nil {
			d.Stop()
			delete(m.active, name)
			delete(m.noSlotsSince, name)
			m.retired[name] = append(m.retired[name], d)
		}
		return
	}
	settings := dispatchSettings(svc, m.cfg.DataCentre, m.snap)
	if d == nil {
		d = dispatch.NewDispatcher(settings, time.Now)
		m.active[name] = d
	} else {
		d.Configure(settings)
	}
	d.SetTargets(m.targets(name, svc, now))
}

// targets returns the targets of a service with the slots that this instance may
// use. Slots that retired dispatchers still use are deducted. If this instance is
// leaving or has had no slots for too long, all targets count as down, so that
// requests are sent elsewhere.
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
		usable := m.core.UsableSlots(name, t.ID, slots, now) - int(retired[t.ID])
		total += max(usable, 0)
		out = append(out, dispatch.TargetInfo{
			ID: t.ID, Addr: t.Addr, Incarnation: t.Incarnation, State: m.targetState(t), Slots: max(usable, 0),
			ReportedLoad: t.ReportedLoad, HealthySince: t.HealthySince,
		})
	}
	if m.core.Leaving(m.cfg.Instance) || m.tooLongWithoutSlots(name, total, now) {
		for i := range out {
			out[i].State = dispatch.Down
		}
	}
	return out
}

// maxWithoutSlots is how long requests wait at a dispatcher that has no slots,
// for example just after a takeover, before they are sent elsewhere.
const maxWithoutSlots = 3 * time.Second

// tooLongWithoutSlots records whether the service has slots, and reports whether
// it has had none for longer than maxWithoutSlots.
func (m *Manager) tooLongWithoutSlots(name string, total int, now time.Time) bool {
	if total > 0 {
		delete(m.noSlotsSince, name)
		return false
	}
	since, ok := m.noSlotsSince[name]
	if !ok {
		m.noSlotsSince[name] = now
		return false
	}
	return now.Sub(since) > maxWithoutSlots
}

func (m *Manager) targetState(t target.Target) dispatch.TargetState {
	switch {
	case m.cfg.Announced.Of(dispatch.Process{ID: t.ID, Addr: t.Addr, Incarnation: t.Incarnation}).Leaving:
		return dispatch.Leaving
	case t.Status == target.Leaving || m.snap.TargetDrained(t.Service, m.cfg.DataCentre, t.ID):
		return dispatch.Leaving
	case t.Status == target.Down:
		return dispatch.Down
	}
	return dispatch.Active
}

// pruneRetired removes the retired dispatchers that have no requests in flight.
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

// inUse returns the requests in flight of a service on this instance, by target.
// The caller holds the lock.
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
