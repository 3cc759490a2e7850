package dispatch

import "time"

// InUse returns the requests in flight by target.
func (d *Dispatcher) InUse() map[string]uint32 {
	out := map[string]uint32{}
	d.do(func(g *Group, _ time.Time) {
		for id, t := range g.byID {
			if n := t.inFlight(); n > 0 {
				out[id] = uint32(n)
			}
		}
	})
	return out
}
