package kit

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Render fills in a settings template of the deploy file: values, sections for lists,
// tables and booleans, and inverted sections, as the users' page on deployment says.
func Render(template string, fields map[string]any) (string, error) {
	var out strings.Builder
	rest, err := renderInto(&out, template, []scope{{value: fields}}, "")
	if err != nil {
		return "", err
	}
	if rest != "" {
		return "", fmt.Errorf("text after the end of the template: %.40q", rest)
	}
	return out.String(), nil
}

// scope is the entry that names are resolved in.
type scope struct {
	value any
	key   string
	last  bool
}

// renderInto renders up to the end of the section with the given name, or to the end of
// the text if the name is empty, and returns what follows.
func renderInto(out *strings.Builder, text string, scopes []scope, section string) (string, error) {
	for {
		before, after, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			if section != "" {
				return "", fmt.Errorf("section %q has no end", section)
			}
			return "", nil
		}
		tag, rest, found := strings.Cut(after, "}}")
		if !found {
			return "", fmt.Errorf("placeholder %.20q has no end", after)
		}
		text = rest
		switch {
		case strings.HasPrefix(tag, "#"), strings.HasPrefix(tag, "^"):
			name := tag[1:]
			entries := sectionEntries(resolve(scopes, name), tag[0] == '^')
			next := ""
			for _, e := range entries {
				var err error
				if next, err = renderInto(out, text, append(scopes[:len(scopes):len(scopes)], e), name); err != nil {
					return "", err
				}
			}
			if len(entries) == 0 {
				var skipped strings.Builder
				var err error
				if next, err = renderInto(&skipped, text, append(scopes[:len(scopes):len(scopes)], scope{}), name); err != nil {
					return "", err
				}
			}
			text = next
		case strings.HasPrefix(tag, "/"):
			if tag[1:] != section {
				return "", fmt.Errorf("section %q ends as %q", section, tag[1:])
			}
			return text, nil
		default:
			out.WriteString(value(scopes, tag))
		}
	}
}

// sectionEntries returns the scopes in which a section is rendered.
func sectionEntries(v any, inverted bool) []scope {
	var out []scope
	switch v := v.(type) {
	case nil:
	case bool:
		if v {
			out = append(out, scope{value: v})
		}
	case []string:
		for i, e := range v {
			out = append(out, scope{value: e, key: strconv.Itoa(i), last: i == len(v)-1})
		}
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for i, k := range keys {
			out = append(out, scope{value: v[k], key: k, last: i == len(keys)-1})
		}
	default:
		out = append(out, scope{value: v})
	}
	if inverted && len(out) == 0 {
		return []scope{{}}
	}
	if inverted {
		return nil
	}
	return out
}

// value returns the text of a placeholder.
func value(scopes []scope, tag string) string {
	current := scopes[len(scopes)-1]
	switch tag {
	case ",":
		if current.last {
			return ""
		}
		return ","
	case "@":
		return current.key
	}
	name, asJSON := strings.CutSuffix(tag, "|json")
	v := resolve(scopes, name)
	if asJSON {
		data, _ := json.Marshal(v)
		return string(data)
	}
	switch v := v.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(v, ",")
	case map[string]any:
		data, _ := json.Marshal(v)
		return string(data)
	default:
		return fmt.Sprint(v)
	}
}

// resolve returns the value of a name in the innermost scope that has it.
func resolve(scopes []scope, name string) any {
	if name == "." {
		return scopes[len(scopes)-1].value
	}
	for i := len(scopes) - 1; i >= 0; i-- {
		v, found := scopes[i].value, true
		for _, part := range strings.Split(name, ".") {
			table, ok := v.(map[string]any)
			if !ok {
				found = false
				break
			}
			if v, found = table[part]; !found {
				break
			}
		}
		if found {
			return v
		}
	}
	return nil
}
