package dispatch

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// Parameters for the detection of stragglers, which are requests that run long
// although the document does not mark them as long work.
const (
	// With exponentially distributed running times, 0.4 % of the ordinary
	// requests exceed 8 times the median.
	stragglerFactor  = 8
	stragglerSamples = 4   // requests of a route before its class may change
	longRouteShare   = 0.5 // share of stragglers above which a route becomes long
	shortRouteShare  = 0.2 // share of stragglers below which it becomes short again
	stragglerWeight  = 0.1 // weight of a new request in the share of stragglers
	// This many consecutive requests that count as long without being marked
	// long mean that the whole service became slower. Their own running times
	// are not compared, since some of them are below the limit by chance.
	longBeforeReset = 64
)

// stragglerAfter returns the running time beyond which a request counts as
// long, or 0 while the median running time of short work is unknown.
//
// The median is taken over all short work of the group. With a median per route,
// a route whose requests mostly run long would never exceed its own limit.
func (g *Group) stragglerAfter() time.Duration {
	if g.routes.short.samples < stragglerSamples {
		return 0
	}
	return stragglerFactor * g.routes.short.mid
}

// reclassify makes requests in flight that exceed the running time of
// stragglerAfter count as long work.
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

// updateRouteClass updates the class of r's route from the running time of r. A
// request that was reclassified while it ran has been counted already.
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

// resetClasses makes every route short again and discards the running times of
// short work. Otherwise a service that became slower as a whole would stay
// limited to the slots for long work.
func (rs *routes) resetClasses() {
	rs.longInARow = 0
	rs.short = runTimes{}
	for _, rt := range rs.byKey {
		rt.stragglerShare, rt.long = mean{}, false
	}
	rs.overflow.stragglerShare, rs.overflow.long = mean{}, false
}

// recordStraggler adds one request to the share of stragglers of the route and
// sets the class of later requests.
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
