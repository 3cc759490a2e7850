package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// render fills in a template as the users' page on deployment describes it.
func render(text string, fields map[string]any) string {
	return renderIn(text, []scope{{value: fields}})
}

// scope is an entry of a section, with its key and whether it is the last one.
type scope struct {
	value any
	key   string
	last  bool
}

var tag = regexp.MustCompile(`\{\{([#^/]?)([^{}]*)\}\}`)

func renderIn(text string, scopes []scope) string {
	var out strings.Builder
	for {
		at := tag.FindStringSubmatchIndex(text)
		if at == nil {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:at[0]])
		kind, name := text[at[2]:at[3]], text[at[4]:at[5]]
		text = text[at[1]:]
		if kind == "" {
			out.WriteString(placeholder(name, scopes))
			continue
		}
		end := strings.Index(text, "{{/"+name+"}}")
		body := text[:end]
		text = text[end+len("{{/"+name+"}}"):]
		entries := sectionEntries(lookup(name, scopes))
		if kind == "^" {
			if len(entries) == 0 {
				out.WriteString(renderIn(body, scopes))
			}
			continue
		}
		for _, e := range entries {
			out.WriteString(renderIn(body, append(scopes, e)))
		}
	}
}

// sectionEntries returns the entries for which a section is rendered.
func sectionEntries(v any) []scope {
	switch v := v.(type) {
	case nil:
		return nil
	case bool:
		if !v {
			return nil
		}
	case []any:
		var out []scope
		for i, e := range v {
			out = append(out, scope{e, strconv.Itoa(i), i == len(v)-1})
		}
		return out
	case map[string]any:
		var keys []string
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		var out []scope
		for i, k := range keys {
			out = append(out, scope{v[k], k, i == len(keys)-1})
		}
		return out
	}
	return []scope{{value: v, last: true}}
}

func placeholder(name string, scopes []scope) string {
	top := scopes[len(scopes)-1]
	switch name {
	case "@":
		return top.key
	case ",":
		if top.last {
			return ""
		}
		return ","
	}
	name, asJSON := strings.CutSuffix(name, "|json")
	v := lookup(name, scopes)
	if _, isTable := v.(map[string]any); asJSON || isTable {
		data, _ := json.Marshal(v)
		return string(data)
	}
	return plain(v)
}

func plain(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case []any:
		var parts []string
		for _, e := range v {
			parts = append(parts, plain(e))
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(v)
}

// lookup returns the value of a name, from the innermost scope that has it.
func lookup(name string, scopes []scope) any {
	if name == "." {
		return scopes[len(scopes)-1].value
	}
	for i := len(scopes) - 1; i >= 0; i-- {
		v := scopes[i].value
		for _, part := range strings.Split(name, ".") {
			switch t := v.(type) {
			case map[string]any:
				v = t[part]
			case []any:
				n, err := strconv.Atoi(part)
				if err != nil || n >= len(t) {
					v = nil
				} else {
					v = t[n]
				}
			default:
				v = nil
			}
		}
		if v != nil {
			return v
		}
	}
	return nil
}
