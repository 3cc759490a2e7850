// Package hostroute separates the host routes of a section from its YAML, so that
// followers get only the routes that changed, and do not parse the others again.
package hostroute

import (
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"google.golang.org/protobuf/proto"
)

// Split returns the section without its host routes, and the host routes as
// messages without a version. The section is returned as it is if its content sec
// has no host routes, or one that a message cannot hold. The error has kind
// Internal.
func Split(s *fescuepb.Section, sec *document.Section) (*fescuepb.Section, []*fescuepb.HostRoute, error) {
	if len(sec.HostRoutes) == 0 {
		return s, nil, nil
	}
	routes := make([]*fescuepb.HostRoute, 0, len(sec.HostRoutes))
	for i := range sec.HostRoutes {
		r := toMessage(s.Team, &sec.HostRoutes[i])
		if _, err := proto.Marshal(r); err != nil { // YAML allows strings that are not UTF-8
			return s, nil, nil
		}
		routes = append(routes, r)
	}
	rest := *sec
	rest.HostRoutes = nil
	yaml, err := document.Encode(&rest)
	if err != nil {
		return nil, nil, errkind.Wrap(errkind.Internal, err, "encode the section of team %q without its routes", s.Team)
	}
	head := proto.CloneOf(s)
	head.Yaml, head.RoutesApart, head.RouteCount = yaml, true, uint64(len(routes))
	return head, routes, nil
}

// Equal reports whether two routes are equal apart from the version of their last
// change.
func Equal(a, b *fescuepb.HostRoute) bool {
	if a == nil || b == nil {
		return a == b
	}
	c := proto.CloneOf(b)
	c.ChangedVersion = a.ChangedVersion
	return proto.Equal(a, c)
}

func toMessage(team string, r *document.HostRoute) *fescuepb.HostRoute {
	m := &fescuepb.HostRoute{
		Team: team, Name: r.Name, Host: r.Host, Prefix: r.Prefix, Safe: r.Safe,
		TimeoutNs: int64(r.Timeout), LatencyObjectiveNs: int64(r.LatencyObjective),
		Priority: int64(r.Priority), MaxAttempts: int64(r.MaxAttempts), Affinity: r.Affinity, HomeRegions: r.HomeRegions,
	}
	for _, p := range r.Services {
		m.Services = append(m.Services, &fescuepb.ServicePart{Service: p.Service, Weight: int64(p.Weight)})
	}
	return m
}

// FromMessage returns the host route of a message.
func FromMessage(m *fescuepb.HostRoute) document.HostRoute {
	r := document.HostRoute{
		Name: m.Name, Host: m.Host, Prefix: m.Prefix, Safe: m.Safe,
		Timeout: document.Duration(m.TimeoutNs), LatencyObjective: document.Duration(m.LatencyObjectiveNs),
		Priority: int(m.Priority), MaxAttempts: int(m.MaxAttempts), Affinity: m.Affinity, HomeRegions: m.HomeRegions,
	}
	for _, p := range m.Services {
		r.Services = append(r.Services, document.ServicePart{Service: p.Service, Weight: int(p.Weight)})
	}
	return r
}
