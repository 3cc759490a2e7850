package snapshot

import (
	"slices"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// Route holds the rules for the requests that match a path prefix, of a service
// or of a host.
type Route struct {
	Name             string // key of running-time estimates; unique within each of the route's services
	Host             string // lower case; "" for a route of a service
	Prefix           string
	Methods          []string // empty: all
	Class            document.Class
	Safe             bool          // the work may run more than once
	AtMostOnce       bool          // the work runs at most once for each idempotency key
	Timeout          time.Duration // 0: only the request's deadline applies
	LatencyObjective time.Duration // latency objective: up to it a response has its full value; 0: none
	Priority         int           // 0 is the most urgent
	MaxAttempts      int
	Affinity         bool
	HomeRegions      []string // regions that may serve the requests; empty: all
	Services         []document.ServicePart
	// RequiresShift states that a request must name its shift.
	RequiresShift bool
}

func (r *Route) allowsMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// AllowedIn reports whether the route's requests may be served in a region.
func (r *Route) AllowedIn(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// newServiceRoute compiles a route of a service.
func newServiceRoute(svc *Service, r *document.Route) *Route {
	return &Route{
		Name: r.Path, Prefix: r.Path, Methods: r.Methods, Class: r.Class, Safe: r.Safe, AtMostOnce: r.AtMostOnce,
		MaxAttempts: svc.Retry.MaxAttempts, RequiresShift: true,
		Services: []document.ServicePart{{Service: svc.Name, Weight: 1}},
	}
}

// newHostRoute compiles a route of a host. Its scheduling class is always Short,
// because a host route states none; long requests are detected by their running
// time instead.
func newHostRoute(r *document.HostRoute) *Route {
	attempts := r.MaxAttempts
	if attempts == 0 {
		attempts = document.DefaultRetryAttempts
	}
	return &Route{
		Name: r.Name, Host: strings.ToLower(r.Host), Prefix: r.Prefix, Class: document.Short, Safe: r.Safe,
		Timeout: r.Timeout.AsDuration(), LatencyObjective: r.LatencyObjective.AsDuration(), Priority: r.Priority,
		MaxAttempts: attempts, Affinity: r.Affinity, HomeRegions: r.HomeRegions, Services: r.Services,
	}
}

// Targets returns the targets of a service in a data centre that the platform
// lists. The messages are shared and must not be modified.
func (s *Snapshot) Targets(service, dc string) []*fescuepb.Target {
	return s.targets[serviceLocation{service, dc}]
}

// Target returns the listed target with this ID, or nil. It searches all targets.
func (s *Snapshot) Target(id string) *fescuepb.Target {
	for _, list := range s.targets {
		for _, t := range list {
			if t.Id == id {
				return t
			}
		}
	}
	return nil
}
