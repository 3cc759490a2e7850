package snapshot

import (
	"slices"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/hostroute"
)

// hostTable holds the routes of a host.
type hostTable struct {
	byPrefix map[string]*Route
	longest  int // bytes of the longest prefix
}

// add adds a route. Of two with the same prefix, the first one applies.
func (t *hostTable) add(r *Route) {
	if t.byPrefix[r.Prefix] == nil {
		t.byPrefix[r.Prefix] = r
		t.longest = max(t.longest, len(r.Prefix))
	}
}

// match returns the route with the longest prefix that matches path, or nil. Each
// prefix ends with a slash, so only the parts of path that do are looked up.
func (t *hostTable) match(path string) *Route {
	for end := min(len(path), t.longest); end > 0; end-- {
		if path[end-1] == '/' {
			if r := t.byPrefix[path[:end]]; r != nil {
				return r
			}
		}
	}
	return nil
}

// HasHost reports whether any route belongs to the host. The host must be in
// lower case and have no port.
func (s *Snapshot) HasHost(host string) bool { return s.hostRoutes[host] != nil }

// HasHostRoutes reports whether the document has any route by host.
func (s *Snapshot) HasHostRoutes() bool { return len(s.hostRoutes) > 0 }

// HostRoute returns the route of a host with the longest prefix that matches
// path, or nil. The host must be in lower case and have no port.
func (s *Snapshot) HostRoute(host, path string) *Route {
	if t := s.hostRoutes[host]; t != nil {
		return t.match(path)
	}
	return nil
}

// routeCache keeps the compiled host routes of the last snapshot. Most versions
// change none of them, and others few.
type routeCache struct {
	hosts    map[string]*hostTable
	sections []*document.Section            // in the order of the document
	routes   []*fescuepb.HostRoute          // apart from their sections
	compiled map[*fescuepb.HostRoute]*Route // of routes
}

// compile returns the routes by host. Sections are those of the document, and parsed
// holds their content.
func (c *routeCache) compile(sections []*fescuepb.Section, routes []*fescuepb.HostRoute, parsed map[string]parsedSection) map[string]*hostTable {
	var contents []*document.Section
	for _, s := range sections {
		if p, ok := parsed[s.Team]; ok && len(p.section.HostRoutes) > 0 {
			contents = append(contents, p.section)
		}
	}
	if c.hosts != nil && slices.Equal(contents, c.sections) && slices.Equal(routes, c.routes) {
		return c.hosts
	}
	compiled, hosts := make(map[*fescuepb.HostRoute]*Route, len(routes)), map[string]*hostTable{}
	for _, sec := range contents {
		for i := range sec.HostRoutes {
			addRoute(hosts, newHostRoute(&sec.HostRoutes[i]))
		}
	}
	for _, m := range routes {
		r := c.compiled[m]
		if r == nil {
			content := hostroute.FromMessage(m)
			r = newHostRoute(&content)
		}
		compiled[m] = r
		addRoute(hosts, r)
	}
	*c = routeCache{hosts: hosts, sections: contents, routes: routes, compiled: compiled}
	return hosts
}

func addRoute(hosts map[string]*hostTable, r *Route) {
	t := hosts[r.Host]
	if t == nil {
		t = &hostTable{byPrefix: map[string]*Route{}}
		hosts[r.Host] = t
	}
	t.add(r)
}
