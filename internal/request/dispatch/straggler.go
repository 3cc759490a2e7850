package dispatch

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// Unmarked stragglers are requests of short routes that run long.
const (
	// With exponential running times 0.4 % of ordinary requests exceed 8
	// times the median.
	stragglerFactor  = 8
	stragglerSamples = 4   // requests of a route before it may change class
	longRouteShare   = 0.5 // share of stragglers that makes a route long
	shortRouteShare  = 0.2 // share below which it is short again
	stragglerWeight  = 0.1 // of a new request in the share
	// So many requests in a row that count as long although their routes are
	// marked short mean that the whole service became slower. Their own
	// running times do not matter: some are below the limit by chance.
	longBeforeReset = 64
)

// stragglerAfter returns the running time beyond which a request counts as
// long, 0 while the typical time of short work is unknown.
//
// The typical time is that of all short work of the group: a route that
// mostly runs long would hide in its own typical time.
func (g *Group) stragglerAfter() time.Duration {
	if g.routes.short.samples < stragglerSamples {
		return 0
	}
	return stragglerFactor * g.routes.short.mid
}

// reclassify makes requests that have run for too long count as long work.
func (g *Group) reclassify(at time.Duration) {
	limit := g.stragglerAfter()
	if limit == 0 {
		return
	}
	for _, t := range g.targets {
		for _, r := range t.running {
			if r.long || at-r.started <= limit {
				continue
			}
			r.long = true
			r.reclassified = true
			g.longInFlight++
			r.route.recordStraggler(true)
		}
	}
}

// judgeRoute lets a completed request count in the class of its route. A
// reclassified one has counted already.
func (g *Group) updateRouteClass(r *Request, took time.Duration) {
	limit := g.stragglerAfter()
	if limit == 0 || r.work.Class == document.Long {
		return
	}
	if !r.reclassified {
		r.route.recordStraggler(took > limit)
	}
	if !r.long {
		g.routes.longInARow = 0
		return
	}
	if g.routes.longInARow++; g.routes.longInARow >= longBeforeReset {
		g.routes.resetClasses()
	}
}

// forgetClasses makes every route short again and learns the typical time of
// short work anew. Otherwise a service that became slower as a whole would
// stay limited to the share of long work.
func (rs *routes) resetClasses() {
	rs.longInARow = 0
	rs.short = runTimes{}
	for _, rt := range rs.byKey {
		rt.stragglerShare, rt.long = mean{}, false
	}
	rs.overflow.stragglerShare, rs.overflow.long = mean{}, false
}

// judge counts one request of the route and sets the class of later ones.
func (rt *route) recordStraggler(straggled bool) {
	sample := 0.0
	if straggled {
		sample = 1
	}
	rt.stragglerShare.add(sample, stragglerWeight)
	switch {
	case rt.stragglerShare.n < stragglerSamples:
	case rt.stragglerShare.value > longRouteShare:
		rt.long = true
	case rt.stragglerShare.value < shortRouteShare:
		rt.long = false
	}
}
