package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// render fills in a template as DEPLOY.md says, as far as the deploy files need it. scopes
// are the tables in which names are looked up, innermost last.
func render(t string, scopes []any) string {
	var b strings.Builder
	for {
		i := strings.Index(t, "{{")
		if i < 0 {
			b.WriteString(t)
			return b.String()
		}
		b.WriteString(t[:i])
		end := strings.Index(t[i:], "}}") + i
		tag := t[i+2 : end]
		t = t[end+2:]
		if tag[0] != '#' && tag[0] != '^' {
			b.WriteString(text(lookup(tag, scopes)))
			continue
		}
		closing := "{{/" + tag[1:] + "}}"
		j := strings.Index(t, closing)
		body := t[:j]
		t = t[j+len(closing):]
		v := lookup(tag[1:], scopes)
		switch x := v.(type) {
		case []any:
			for n, e := range x {
				b.WriteString(render(body, append(scopes, entry{e, fmt.Sprint(n), n == len(x)-1})))
			}
		case map[string]any:
			keys := slices.Sorted(maps.Keys(x))
			for n, k := range keys {
				b.WriteString(render(body, append(scopes, entry{x[k], k, n == len(keys)-1})))
			}
		case nil:
		default:
			b.WriteString(render(body, append(scopes, entry{v, "", true})))
		}
	}
}

// entry is the current entry of a section.
type entry struct {
	value any
	key   string
	last  bool
}

func lookup(name string, scopes []any) any {
	if e, ok := scopes[len(scopes)-1].(entry); ok {
		switch name {
		case ".":
			return e.value
		case "@":
			return e.key
		case ",":
			if e.last {
				return nil
			}
			return ","
		}
	}
	for i := len(scopes) - 1; i >= 0; i-- {
		v := scopes[i]
		if e, ok := v.(entry); ok {
			v = e.value
		}
		found := true
		for part := range strings.SplitSeq(name, ".") {
			table, ok := v.(map[string]any)
			if v, found = table[part]; !ok || !found {
				found = false
				break
			}
		}
		if found {
			return v
		}
	}
	return nil
}

func text(v any) string {
	switch x := v.(type) {
	case nil:
		return ""
	case []any:
		parts := make([]string, len(x))
		for i, e := range x {
			parts[i] = text(e)
		}
		return strings.Join(parts, ",")
	case map[string]any:
		data, _ := json.Marshal(x)
		return string(data)
	}
	return fmt.Sprint(v)
}
