package view

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/hostroute"
)

// RouteKey identifies a host route.
type RouteKey struct{ Team, Name string }

// SetSectionWithRoutes stores s, whose routes are kept apart: head is s without
// them. It advances the view to version s.Version, which becomes the version of the
// routes that differ from before.
func (v *View) SetSectionWithRoutes(s, head *fescuepb.Section, routes []*fescuepb.HostRoute) {
	v.Sections[s.Team], v.heads[s.Team] = s, head
	kept := make(map[string]bool, len(routes))
	for _, r := range routes {
		kept[r.Name] = true
		if old := v.Routes[RouteKey{r.Team, r.Name}]; !hostroute.Equal(old, r) {
			r.ChangedVersion = s.Version
			v.setRoute(r)
		}
	}
	for key := range v.Routes {
		if key.Team == s.Team && !kept[key.Name] {
			v.removeRoute(key, s.Version)
		}
	}
	v.advanceTo(s.Version)
}

func (v *View) setRoute(r *fescuepb.HostRoute) {
	key := RouteKey{r.Team, r.Name}
	v.Routes[key], v.routeList = r, nil
	delete(v.RemovedRoutes, key)
	v.advanceTo(r.ChangedVersion)
}

func (v *View) removeRoute(key RouteKey, version uint64) {
	delete(v.Routes, key)
	v.RemovedRoutes[key], v.routeList = version, nil
	v.advanceTo(version)
	trimOldest(v, v.RemovedRoutes)
}

// removeRoutes removes the routes of a team.
func (v *View) removeRoutes(team string, version uint64) {
	delete(v.heads, team)
	for key := range v.Routes {
		if key.Team == team {
			v.removeRoute(key, version)
		}
	}
}

// separateRoutes stores the routes of a section that came whole from a source of an
// earlier build, since an update without routes lists only those that changed.
func (v *View) separateRoutes(s *fescuepb.Section) {
	if s == nil || s.Deleted || s.RoutesApart {
		return
	}
	src, problems := document.Parse(s.Team, s.Yaml)
	if len(problems) > 0 {
		return // a section without routes may have any content
	}
	_, routes, err := hostroute.Split(s, src.Section)
	if err != nil {
		return // the routes were not encoded before either
	}
	for _, r := range routes {
		key := RouteKey{r.Team, r.Name}
		if v.Routes[key] == nil && v.RemovedRoutes[key] <= s.Version {
			r.ChangedVersion = s.Version
			v.setRoute(r)
		}
	}
}

// hasAllRoutes reports whether the view holds as many routes as its sections have.
func (v *View) hasAllRoutes() bool {
	missing := map[string]uint64{}
	for team, head := range v.heads {
		missing[team] = head.RouteCount
	}
	for key := range v.Routes {
		missing[key.Team]--
	}
	for _, n := range missing {
		if n != 0 {
			return false
		}
	}
	return true
}

// RestoreSection stores a section of a saved state as SetSectionWithRoutes does,
// with the saved versions of its routes. A state of an earlier build has none, and no
// record of removed routes: its routes get the version of the section, and no delta
// starts before it.
func (v *View) RestoreSection(s, head *fescuepb.Section, routes []*fescuepb.HostRoute, versions map[RouteKey]uint64) {
	v.Sections[s.Team] = s
	if head.RoutesApart {
		v.heads[s.Team] = head
	}
	for _, r := range routes {
		key := RouteKey{r.Team, r.Name}
		if r.ChangedVersion = versions[key]; r.ChangedVersion == 0 {
			r.ChangedVersion = s.Version
			v.MinDeltaBase = max(v.MinDeltaBase, s.Version)
		}
		v.Routes[key] = r
	}
}

// RouteList returns the routes that are kept apart from their section, ordered by
// team and name. The result is the same slice until a route changes, and must not be
// modified.
func (v *View) RouteList() []*fescuepb.HostRoute {
	if v.routeList == nil {
		v.routeList = v.sortedRoutes()
	}
	return v.routeList
}

func (v *View) sortedRoutes() []*fescuepb.HostRoute {
	return slices.SortedFunc(maps.Values(v.Routes), func(a, b *fescuepb.HostRoute) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Name, b.Name))
	})
}

// RouteVersions returns the versions that last changed the routes that are kept apart
// and that removed others, ordered by team and name.
func (v *View) RouteVersions() (changed, removed []*fescuepb.RouteVersion) {
	for _, r := range v.sortedRoutes() {
		changed = append(changed, &fescuepb.RouteVersion{Team: r.Team, Name: r.Name, Version: r.ChangedVersion})
	}
	for key, version := range v.RemovedRoutes {
		removed = append(removed, &fescuepb.RouteVersion{Team: key.Team, Name: key.Name, Version: version})
	}
	slices.SortFunc(removed, func(a, b *fescuepb.RouteVersion) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Name, b.Name))
	})
	return changed, removed
}
