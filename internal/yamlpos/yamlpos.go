// Package yamlpos reads YAML strictly and knows the line of each field, so
// that a finding can name file, line and field.
package yamlpos

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Problem is one finding, at a line of a file.
type Problem struct {
	File    string
	Line    int
	Field   string
	Message string
}

// String formats p as file:line: field: message.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// File is a parsed YAML file with the positions of its fields.
type File struct {
	Name string
	root *yaml.Node
}

// Parse decodes data into out. The problems are syntax errors, wrong types
// and unknown keys; the file is nil if there are any.
func Parse(name string, data []byte, out any) (*File, []Problem) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return nil, yamlProblems(name, err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	err := dec.Decode(out)
	if errors.Is(err, io.EOF) {
		return nil, []Problem{{File: name, Line: 1, Message: "the file is empty"}}
	}
	if err != nil {
		return nil, yamlProblems(name, err)
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, []Problem{{File: name, Line: 1, Message: "the file must hold exactly one YAML document"}}
	}
	return &File{Name: name, root: &root}, nil
}

// Problem returns a finding about the field at path; path elements are
// mapping keys (string) and sequence positions (int).
func (f *File) Problem(path []any, format string, args ...any) Problem {
	return Problem{File: f.Name, Line: f.line(path), Field: fieldName(path), Message: fmt.Sprintf(format, args...)}
}

var (
	lineRE    = regexp.MustCompile(`line (\d+): (.*)`)
	unknownRE = regexp.MustCompile(`field (\S+) not found in type (?:\w+\.)?(\w+)`)
)

func yamlProblems(file string, err error) []Problem {
	var te *yaml.TypeError
	if errors.As(err, &te) {
		out := make([]Problem, 0, len(te.Errors))
		for _, msg := range te.Errors {
			out = append(out, yamlProblem(file, msg))
		}
		return out
	}
	return []Problem{yamlProblem(file, strings.TrimPrefix(err.Error(), "yaml: "))}
}

func yamlProblem(file, msg string) Problem {
	p := Problem{File: file, Line: 1, Message: msg}
	if m := lineRE.FindStringSubmatch(msg); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = m[2]
	}
	if m := unknownRE.FindStringSubmatch(p.Message); m != nil {
		p.Field = m[1]
		p.Message = "unknown key in " + strings.ToLower(m[2])
	}
	return p
}

// line returns the line of the field at path, or of its deepest ancestor
// that exists.
func (f *File) line(path []any) int {
	n := f.root
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	line := n.Line
	for _, el := range path {
		next := child(n, el)
		if next == nil {
			return line
		}
		n, line = next, next.Line
	}
	return line
}

func child(n *yaml.Node, el any) *yaml.Node {
	switch key := el.(type) {
	case int:
		if n.Kind == yaml.SequenceNode && key < len(n.Content) {
			return n.Content[key]
		}
	case string:
		for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == key {
				return n.Content[i+1]
			}
		}
	}
	return nil
}

func fieldName(path []any) string {
	var b strings.Builder
	for _, el := range path {
		switch v := el.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", v)
		case string:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(v)
		}
	}
	return b.String()
}
