package proxy

import (
	"sync"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// maxSplits bounds the routes whose shares are remembered.
const maxSplitRoutes = 4096

// splitter distributes the requests of a route over its services by weight.
// It keeps, for each service, how far its share lags behind, so that any run
// of requests is within one request of the weights.
type splitter struct {
	mu     sync.Mutex
	credit map[string]map[string]float64 // route to service
}

// pick returns the service of the route's next request.
func (s *splitter) pick(r *snapshot.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.routeCredit(r)
	sum := 0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	best := ""
	for _, p := range r.Parts {
		credit[p.Service] += float64(p.Weight) / float64(max(sum, 1))
		if p.Weight > 0 && (best == "" || credit[p.Service] > credit[best]) {
			best = p.Service
		}
	}
	credit[best]--
	return best
}

// creditOf returns the shares of a route. Services that the route does not
// name any more are forgotten with it.
func (s *splitter) routeCredit(r *snapshot.Route) map[string]float64 {
	key := r.Host + r.Prefix
	credit := s.credit[key]
	if credit != nil && sameServices(credit, r.Parts) {
		return credit
	}
	if s.credit == nil || len(s.credit) >= maxSplitRoutes {
		s.credit = map[string]map[string]float64{}
	}
	credit = make(map[string]float64, len(r.Parts))
	for _, p := range r.Parts {
		credit[p.Service] = 0
	}
	s.credit[key] = credit
	return credit
}

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
