package load

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// call is one planned call. All its attempts share its name and key.
type call struct {
	name       string
	at         time.Duration // planned start, from the start of the run
	route      *Route
	shift      string
	work       time.Duration // service time; 0: the target's own
	duplicated bool          // send two requests with the same key concurrently
}

// planner draws calls at random by the shares of routes and shifts. The same
// seed gives the same calls.
type planner struct {
	settings *Settings
	rnd      *rand.Rand
	runID    string // prefix that makes call names unique across runs
	count    int
	at       time.Duration
}

func newPlanner(s *Settings, run string, stream uint64) *planner {
	return &planner{settings: s, runID: run, rnd: rand.New(rand.NewPCG(s.Seed, stream))}
}

// next returns the next call of an open loop with Poisson arrivals.
func (p *planner) next() call {
	if p.settings.Rate > 0 {
		gap := p.rnd.ExpFloat64() / p.settings.Rate
		p.at += time.Duration(gap * float64(time.Second))
	}
	p.count++
	route := p.pickRoute()
	return call{
		name:       p.runID + "-" + strconv.Itoa(p.count),
		at:         p.at,
		route:      route,
		shift:      p.pickShift(),
		work:       p.drawWork(route),
		duplicated: route.AtMostOnce && p.rnd.Float64()*100 < route.Duplicates,
	}
}

func (p *planner) pickRoute() *Route {
	routes := p.settings.Routes
	i := pick(p.rnd, len(routes), func(i int) float64 { return routes[i].Share })
	return &routes[i]
}

func (p *planner) pickShift() string {
	shifts := p.settings.Shifts
	return shifts[pick(p.rnd, len(shifts), func(i int) float64 { return shifts[i].Share })].Name
}

// pick returns an index with a probability in proportion to its share.
func pick(rnd *rand.Rand, n int, share func(int) float64) int {
	total := 0.0
	for i := range n {
		total += share(i)
	}
	left := rnd.Float64() * total
	for i := range n {
		left -= share(i)
		if left < 0 {
			return i
		}
	}
	return n - 1
}

func (p *planner) drawWork(r *Route) time.Duration {
	normal := p.rnd.NormFloat64() // always drawn, so that the random sequence does not depend on the route
	straggles := p.rnd.Float64() * 100
	if r.Stragglers != nil && straggles < r.Stragglers.Percent {
		return r.Stragglers.Work.AsDuration()
	}
	return time.Duration(float64(r.Work) * math.Exp(r.Sigma*normal))
}
