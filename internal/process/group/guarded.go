package group

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// refreshGuarded brings the dispatcher of a service with guarded slots in
// line with the snapshot. Its targets refuse what exceeds their slots, so every
// entry may dispatch and no share has to be promised.
func (m *Manager) refreshGuarded(name string, svc *snapshot.Service, now time.Time) {
	d := m.active[name]
	if d == nil {
		d = dispatch.NewDispatcher(m.settings(svc), time.Now)
		m.active[name] = d
	} else {
		d.Configure(m.settings(svc))
	}
	listed := m.snap.Targets(name, m.cfg.DataCentre)
	infos := make([]dispatch.TargetInfo, 0, len(listed))
	for _, t := range listed {
		infos = append(infos, m.guardedTarget(t, now))
	}
	d.SetTargets(infos)
}

func (m *Manager) guardedTarget(t *fescuepb.Target, now time.Time) dispatch.TargetInfo {
	info := dispatch.TargetInfo{ID: t.Id, Addr: t.Address, Slots: int(t.Slots), ReportedLoad: -1}
	if t.Leaving || m.snap.TargetDrained(t.Service, t.DataCentre, t.Id) {
		info.State = dispatch.Leaving
	}
	return info
}

// retireRemoved stops the dispatchers of services that the document no longer
// has here.
func (m *Manager) retireRemoved() {
	for name, d := range m.active {
		if svc := m.snap.Services[name]; svc != nil && svc.In(m.cfg.DataCentre) {
			continue
		}
		d.Stop()
		delete(m.active, name)
		m.retired[name] = append(m.retired[name], d)
	}
}
