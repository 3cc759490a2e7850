package dispatch

import "slices"

// Process identifies one start of a target.
type Process struct {
	ID, Addr    string
	Incarnation int64 // 0 if it is unknown
}

// Process returns the process that the information describes.
func (i TargetInfo) Process() Process {
	return Process{ID: i.ID, Addr: i.Addr, Incarnation: i.Incarnation}
}

// Same reports whether p and q may be the same process. An unknown incarnation
// counts as the same.
func (p Process) Same(q Process) bool {
	return p.ID == q.ID && p.Addr == q.Addr && (p.Incarnation == q.Incarnation || p.Incarnation == 0 || q.Incarnation == 0)
}

// maxDepartures bounds the processes that a Departures holds, which are searched one
// by one. A target that is forgotten has left the platform's list long ago.
const maxDepartures = 256

// Departures holds the processes of targets that have announced that they leave.
// The announcement holds for the life of the process, whatever the list of targets
// says. The zero value is empty.
type Departures struct {
	processes []Process // oldest first
}

// Add adds a process and reports whether it is new.
func (d *Departures) Add(p Process) bool {
	if d.Has(p) {
		return false
	}
	if len(d.processes) == maxDepartures {
		d.processes = slices.Delete(d.processes, 0, 1)
	}
	d.processes = append(d.processes, p)
	return true
}

// Has reports whether a process has announced that it leaves.
func (d *Departures) Has(p Process) bool { return slices.ContainsFunc(d.processes, p.Same) }
