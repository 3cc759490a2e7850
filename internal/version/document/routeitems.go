package document

import (
	"bytes"
	"strings"

	"github.com/fescuejunction/fescuejunction/internal/yamlpos"
	"go.yaml.in/yaml/v3"
)

// Lines of a section's YAML, as Encode writes it, around and within its host routes.
const (
	routesKey   = "host_routes"
	routesLine  = routesKey + ":"
	itemPrefix  = "    - " // first line of a host route
	itemPadding = "      " // other lines of a host route
)

// routeItems is the YAML of a section, taken apart at its host routes. The parts can
// be decoded on their own, and together give the content of the whole.
type routeItems struct {
	rest  string   // without the host routes
	items []string // of each host route
}

// splitItems takes the YAML of a section apart. It returns nil unless each line is of
// a kind that Encode writes and that leaves nothing open for the next line, such as a
// quoted string, a flow sequence, a block scalar or an anchor.
func splitItems(data string) *routeItems {
	r := &routeItems{}
	var rest strings.Builder
	inRoutes, found, begin, offset := false, false, 0, 0
	endItem := func() {
		if inRoutes && begin < offset {
			r.items = append(r.items, data[begin:offset])
		}
	}
	for line := range strings.Lines(data) {
		content, complete := strings.CutSuffix(line, "\n")
		switch {
		case !complete || !isClosedLine(content):
			return nil
		case content[0] != ' ':
			endItem()
			if inRoutes = content == routesLine; inRoutes {
				if found {
					return nil
				}
				found, begin = true, offset+len(line)
				break
			}
			if content[0] < 'a' || content[0] > 'z' {
				return nil
			}
			rest.WriteString(line)
		case !inRoutes:
			rest.WriteString(line)
		case strings.HasPrefix(content, itemPrefix):
			endItem()
			begin = offset
		case begin == offset || !strings.HasPrefix(content, itemPadding):
			return nil
		}
		offset += len(line)
	}
	endItem()
	if r.rest = rest.String(); r.items == nil || strings.Contains(r.rest, routesKey) {
		return nil
	}
	return r
}

// isClosedLine reports whether a line holds only characters that cannot open what a
// later line continues, and flow brackets that are closed in the line.
func isClosedLine(line string) bool {
	depth := 0
	for i := 0; i < len(line); i++ {
		switch c := line[i]; {
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			if depth--; depth < 0 {
				return false
			}
		case c == '"':
			n := simpleStringLen(line[i:])
			if n == 0 || i == 0 || line[i-1] != ' ' && line[i-1] != '[' {
				return false
			}
			i += n - 1
		case c < ' ' || c > '~' || strings.IndexByte("'&*!|>#%@`?\\", c) >= 0:
			return false
		}
	}
	return depth == 0 && line != ""
}

// simpleStringLen returns the length of the quoted string at the start of s, or 0
// unless it holds only letters, digits and some punctuation without a meaning in YAML,
// and a flow indicator or the end of the line follows.
func simpleStringLen(s string) int {
	end := 1 + strings.IndexByte(s[1:], '"')
	if end == 0 || strings.IndexFunc(s[1:end], isSpecial) >= 0 {
		return 0
	}
	if after := s[end+1:]; after != "" && strings.IndexByte(",]}", after[0]) < 0 {
		return 0
	}
	return end + 1
}

func isSpecial(c rune) bool {
	return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.ContainsRune(" _./-", c))
}

// ParseAfter does what Parse does, with the same result, but takes the host routes
// whose YAML is that of a route of prev from there. Prev may be nil. The sources share
// these routes.
func ParseAfter(prev *Source, file string, data []byte) (*Source, []Problem) {
	items := splitItems(string(data))
	if items != nil && prev != nil && prev.items != nil {
		if sec := items.decode(prev); sec != nil {
			return &Source{File: yamlpos.NewFile(file, data), Section: sec, items: items}, nil
		}
	}
	src, problems := Parse(file, data)
	if src != nil && items != nil && len(items.items) == len(src.Section.HostRoutes) {
		src.items = items
	}
	return src, problems
}

// decode returns the content of the YAML, or nil if a part of it cannot be decoded.
// Only the routes that prev lacks are decoded.
func (r *routeItems) decode(prev *Source) *Section {
	var sec Section
	if _, problems := yamlpos.Parse("", []byte(r.rest), &sec); len(problems) > 0 {
		return nil
	}
	known := make(map[string]int, len(prev.items.items))
	for i, item := range prev.items.items {
		known[item] = i
	}
	var missing strings.Builder
	var missingAt []int
	sec.HostRoutes = make([]HostRoute, len(r.items))
	for i, item := range r.items {
		if j, ok := known[item]; ok {
			sec.HostRoutes[i] = prev.Section.HostRoutes[j]
			continue
		}
		missing.WriteString(item)
		missingAt = append(missingAt, i)
	}
	decoded, ok := decodeRoutes(missing.String(), len(missingAt))
	if !ok {
		return nil
	}
	for k, i := range missingAt {
		sec.HostRoutes[i] = decoded[k]
	}
	return &sec
}

// decodeRoutes decodes n host routes.
func decodeRoutes(data string, n int) (routes []HostRoute, ok bool) {
	if n == 0 {
		return nil, true
	}
	dec := yaml.NewDecoder(bytes.NewReader([]byte(data)))
	dec.KnownFields(true)
	err := dec.Decode(&routes)
	return routes, err == nil && len(routes) == n
}
