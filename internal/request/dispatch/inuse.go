package dispatch

// InUse returns the number of requests in flight by target ID. Targets without
// requests are left out.
func (d *Dispatcher) InUse() map[string]uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.inUse()
}

func (g *Group) inUse() map[string]uint32 {
	out := map[string]uint32{}
	for id, t := range g.byID {
		if n := t.inFlight(); n > 0 {
			out[id] = uint32(n)
		}
	}
	return out
}

func (g *Group) counts() (queued, running int) { return g.queuedCount(), g.inFlight }
