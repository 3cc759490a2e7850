package snapshot

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// Route holds the rules for a kind of request, of a service or of a host.
type Route struct {
	Name        string // key of running-time estimates; unique within its services
	Host        string // lower case; "" for a route of a service
	Prefix      string
	Methods     []string // empty: all
	Class       document.Class
	Safe        bool          // may run more than once
	Once        bool          // runs once for each idempotency key
	Timeout     time.Duration // 0: only the request's deadline holds
	Objective   time.Duration // latency within which an answer has its full value; 0: none
	Priority    int           // 0 is the most urgent
	MaxAttempts int
	Affinity    bool
	Homes       []string // regions that may serve it; empty: all
	Parts       []document.ServicePart
	// NeedsShift says that a request must name its shift.
	NeedsShift bool
}

func (r *Route) allows(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// AllowedIn reports whether the route's requests may be served in a region.
func (r *Route) AllowedIn(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// serviceRoute returns a route of a service.
func serviceRoute(svc *Service, r *document.Route) *Route {
	return &Route{
		Name: r.Path, Prefix: r.Path, Methods: r.Methods, Class: r.Class, Safe: r.Safe, Once: r.Once,
		MaxAttempts: svc.Retry.MaxAttempts, NeedsShift: true,
		Parts: []document.ServicePart{{Service: svc.Name, Weight: 1}},
	}
}

// hostRoute returns a route by host. Its class is short: stragglers are found
// by their running time.
func hostRoute(r *document.HostRoute) *Route {
	attempts := r.MaxAttempts
	if attempts == 0 {
		attempts = document.DefaultRetryAttempts
	}
	return &Route{
		Name: r.Name, Host: strings.ToLower(r.Host), Prefix: r.Prefix, Class: document.Short, Safe: r.Safe,
		Timeout: r.Timeout.D(), Objective: r.Objective.D(), Priority: r.Priority,
		MaxAttempts: attempts, Affinity: r.Affinity, Homes: r.HomeRegions, Parts: r.Services,
	}
}

// sortRoutes puts the routes of each host in the order of their selection.
func (s *Snapshot) sortRoutes() {
	for _, list := range s.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}

// HasHost reports whether any route belongs to the host, in lower case and
// without a port.
func (s *Snapshot) HasHost(host string) bool { return len(s.hosts[host]) > 0 }

// HasHosts reports whether the document routes by host at all.
func (s *Snapshot) HasHosts() bool { return len(s.hosts) > 0 }

// HostRoute returns the route of a host with the longest prefix of path, or
// nil.
func (s *Snapshot) HostRoute(host, path string) *Route {
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Targets returns the listed targets of a service in a data centre. The
// messages are shared and must not be changed.
func (s *Snapshot) Targets(service, dc string) []*fescuepb.Target {
	return s.targets[place{service, dc}]
}
