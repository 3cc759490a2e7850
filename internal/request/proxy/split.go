package proxy

import (
	"sync"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// maxSplitRoutes bounds the number of routes whose credits are kept. If it is
// reached, the credits of all routes are reset.
const maxSplitRoutes = 4096

// splitter distributes the requests of a route over its services by weight (smooth
// weighted round robin). For each service it keeps a credit, which is the number
// of requests by which the service lags behind its share. In any sequence of
// requests, the number that a service gets is therefore within one request of its
// share.
type splitter struct {
	mu     sync.Mutex
	credit map[string]map[string]float64 // by route, then by service
}

// pick returns the service for the next request of a route. A service with weight
// 0 is never picked unless it is the only one.
func (s *splitter) pick(r *snapshot.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.routeCredit(r)
	sum := 0
	for _, p := range r.Services {
		sum += p.Weight
	}
	best := ""
	for _, p := range r.Services {
		credit[p.Service] += float64(p.Weight) / float64(max(sum, 1))
		if p.Weight > 0 && (best == "" || credit[p.Service] > credit[best]) {
			best = p.Service
		}
	}
	credit[best]--
	return best
}

// routeCredit returns the credits of a route by service. If the services of the
// route have changed, all its credits start at 0 again.
func (s *splitter) routeCredit(r *snapshot.Route) map[string]float64 {
	key := r.Host + r.Prefix
	credit := s.credit[key]
	if credit != nil && sameServices(credit, r.Services) {
		return credit
	}
	if s.credit == nil || len(s.credit) >= maxSplitRoutes {
		s.credit = map[string]map[string]float64{}
	}
	credit = make(map[string]float64, len(r.Services))
	for _, p := range r.Services {
		credit[p.Service] = 0
	}
	s.credit[key] = credit
	return credit
}

// sameServices reports whether credit has exactly the services of parts.
func sameServices(credit map[string]float64, parts []document.ServicePart) bool {
	if len(credit) != len(parts) {
		return false
	}
	for _, p := range parts {
		if _, ok := credit[p.Service]; !ok {
			return false
		}
	}
	return true
}
