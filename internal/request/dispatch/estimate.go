package dispatch

import "time"

// maxRoutes bounds the memory for estimates. Further routes share one.
const maxRoutes = 128

// ewmaWeight is the weight of a new sample in the moving averages.
const ewmaWeight = 0.1

// mean is an exponentially weighted moving average.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(v float64) {
	m.n++
	// The first samples are averaged plainly, so that the start value does
	// not linger.
	m.value += (v - m.value) * max(ewmaWeight, 1/float64(m.n))
}

// route holds the running times of one route.
type route struct {
	run  mean
	long bool // its requests mostly run long
}

func (rt *route) record(d time.Duration) { rt.run.add(float64(d)) }

// typical returns the typical running time, 0 if unknown.
func (rt *route) typical() time.Duration { return time.Duration(rt.run.value) }

// routes holds the running times of all routes and of the two classes.
type routes struct {
	byKey    map[string]*route
	overflow route
	class    [2]mean // short, long
}

func newRoutes() routes { return routes{byKey: map[string]*route{}} }

func (rs *routes) get(key string) *route {
	if rt, ok := rs.byKey[key]; ok {
		return rt
	}
	if len(rs.byKey) >= maxRoutes {
		return &rs.overflow
	}
	rt := &route{}
	rs.byKey[key] = rt
	return rt
}

func classIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

func (rs *routes) record(long bool, d time.Duration) {
	rs.class[classIndex(long)].add(float64(d))
}

// shortWait estimates the wait of a short request behind ahead others. It is
// 0 while nothing has been measured.
func (g *Group) shortWait(ahead int) time.Duration {
	free := max(1, g.usableSlots()-g.longRun)
	return time.Duration(float64(ahead+1) * g.routes.class[0].value / float64(free))
}

// expectedWait estimates how long r will wait if it is queued now.
func (g *Group) expectedWait(r *Request) time.Duration {
	if !r.long {
		return g.shortWait(g.short.ahead(r.deadline))
	}
	ahead := float64(g.long.ahead(r.deadline) + 1)
	return time.Duration(ahead * g.routes.class[1].value / float64(g.longCap()))
}

// checkDeadline refuses r if it cannot complete in time after waiting.
func (g *Group) checkDeadline(at time.Duration, r *Request, wait time.Duration) *Refusal {
	if at+wait+r.route.typical() < r.deadline {
		return nil
	}
	return refuse(errUnmeetable, wait)
}
