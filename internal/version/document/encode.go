package document

import (
	"reflect"
	"slices"
	"strings"
)

// encodeBatch is the number of host routes that are encoded at a time. The YAML library
// keeps all events of what it encodes until the end, 67 MB for 1,400 routes.
const encodeBatch = 64

// callersLine is the line in Encode's YAML that follows the host routes.
const callersLine = "callers:\n"

// EncodeAfter encodes a section as Encode does, but takes the YAML of the host routes
// that are in prev as well from there. Prev may be nil. If the YAML of prev is not from
// Encode, only the content is that of Encode.
func EncodeAfter(prev *Source, s *Section) ([]byte, error) {
	if len(s.HostRoutes) == 0 {
		return Encode(s)
	}
	items, err := encodeItems(prev, s.HostRoutes)
	if err != nil {
		return nil, err
	}
	if items == nil {
		return Encode(s)
	}
	rest := *s
	rest.HostRoutes = nil
	yaml, err := Encode(&rest)
	if err != nil {
		return nil, err
	}
	head, callers, found := strings.Cut(string(yaml), "\n"+callersLine)
	var out strings.Builder
	out.WriteString(strings.TrimSuffix(head, "\n") + "\n" + routesLine + "\n")
	for _, item := range items {
		out.WriteString(item)
	}
	if found {
		out.WriteString(callersLine + callers)
	}
	return []byte(out.String()), nil
}

// encodeItems returns the YAML of each route as it is in that of a section, or nil if
// splitItems does not take it apart.
func encodeItems(prev *Source, routes []HostRoute) ([]string, error) {
	known := map[string]int{}
	if prev != nil && prev.items != nil {
		for i := range prev.Section.HostRoutes {
			known[prev.Section.HostRoutes[i].Name] = i
		}
	}
	items := make([]string, len(routes))
	var missing []int
	for i := range routes {
		if j, ok := known[routes[i].Name]; ok && equalRoutes(routes[i], prev.Section.HostRoutes[j]) {
			items[i] = prev.items.items[j]
		} else {
			missing = append(missing, i)
		}
	}
	for batch := range slices.Chunk(missing, encodeBatch) {
		if ok, err := encodeInto(items, routes, batch); !ok || err != nil {
			return nil, err
		}
	}
	return items, nil
}

// encodeInto sets the items of the routes with the given indexes. It returns false if
// splitItems does not take their YAML apart.
func encodeInto(items []string, routes []HostRoute, indexes []int) (ok bool, err error) {
	var part Section
	for _, i := range indexes {
		part.HostRoutes = append(part.HostRoutes, routes[i])
	}
	yaml, err := Encode(&part)
	if err != nil {
		return false, err
	}
	split := splitItems(string(yaml))
	if split == nil || len(split.items) != len(indexes) {
		return false, nil
	}
	for k, i := range indexes {
		items[i] = split.items[k]
	}
	return true, nil
}

// equalRoutes reports whether two routes have the same YAML.
func equalRoutes(a, b HostRoute) bool {
	for _, r := range []*HostRoute{&a, &b} {
		if len(r.HomeRegions) == 0 {
			r.HomeRegions = nil
		}
		if len(r.Services) == 0 {
			r.Services = nil
		}
	}
	return reflect.DeepEqual(&a, &b)
}
