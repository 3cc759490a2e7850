package entry

import "github.com/fescuejunction/fescuejunction/internal/request/dispatch"

// Status is the response of GET /status.
type Status struct {
	Instance   string          `json:"instance"`
	DataCentre string          `json:"data_centre"`
	Ready      bool            `json:"ready"`
	Confirmed  bool            `json:"confirmed"`
	State      string          `json:"state"`
	Version    uint64          `json:"version"`
	Blocks     int             `json:"client_blocks"`
	Services   []ServiceStatus `json:"services"`
}

// ServiceStatus describes the dispatch group of a service.
type ServiceStatus struct {
	Service    string         `json:"service"`
	Dispatcher string         `json:"dispatcher"`
	Epoch      uint64         `json:"epoch"`
	Load       *dispatch.Load `json:"load,omitempty"` // nil if another entry dispatches the service
	Targets    []TargetStatus `json:"targets"`
}

// TargetStatus describes one target of this data centre.
type TargetStatus struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	InUse  uint32 `json:"in_use,omitempty"`
}

// status returns the status of this entry and of the services in its data centre.
func (p *process) status() Status {
	st := Status{
		Instance: p.settings.Instance, DataCentre: p.settings.DataCentre, Ready: p.follower.Ready(),
		Confirmed: p.follower.Confirmed(), State: p.lifecycle.State(),
	}
	if t := p.blocks.Load(); t != nil {
		st.Blocks = t.Len()
	}
	snap := p.store.Load()
	if snap == nil {
		return st
	}
	st.Version = snap.Version
	for _, name := range snap.ServiceNames() {
		if snap.Services[name].RunsIn(p.settings.DataCentre) {
			st.Services = append(st.Services, p.serviceStatus(name))
		}
	}
	return st
}

// serviceStatus returns the status of one service. The requests in flight of
// targets are known only if this entry dispatches the service.
func (p *process) serviceStatus(name string) ServiceStatus {
	info := p.groups.Group(name)
	out := ServiceStatus{Service: name, Dispatcher: info.Dispatcher, Epoch: info.Epoch}
	inUse := map[string]uint32{}
	if d := p.groups.Dispatcher(name); d != nil {
		load := d.Load()
		out.Load = &load
		inUse = d.InUse()
	}
	for _, t := range p.targets.Targets(name) {
		status := t.Status.String()
		if n := p.announced.Of(dispatch.Process{ID: t.ID, Addr: t.Addr, Incarnation: t.Incarnation}); n.Withdrawn() {
			status = n.Reason()
		}
		out.Targets = append(out.Targets, TargetStatus{ID: t.ID, Status: status, InUse: inUse[t.ID]})
	}
	return out
}
