// Package yamlpos decodes YAML strictly and records the line of each field, so
// that an error can name the file, the line and the field.
package yamlpos

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"go.yaml.in/yaml/v3"
)

// Problem is one error in a YAML file. Lines are counted from 1. Field is
// empty if the error concerns no single field.
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
	data []byte
	once sync.Once
	root *yaml.Node // of data; nil until the first problem needs it
}

// Parse decodes data, which must hold exactly one YAML document, into out.
// Name is the file name in problems. The problems are syntax errors, wrong
// types, unknown keys, an empty file and a second document; the returned file
// is nil if there are any. The file keeps data, which must not be modified.
func Parse(name string, data []byte, out any) (*File, []Problem) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	err := dec.Decode(out)
	if errors.Is(err, io.EOF) {
		return nil, []Problem{{File: name, Line: 1, Message: "the file is empty"}}
	}
	if err != nil {
		return nil, problemsFromError(name, err)
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, []Problem{{File: name, Line: 1, Message: "the file must hold exactly one YAML document"}}
	}
	return NewFile(name, data), nil
}

// NewFile returns the file of data that Parse would accept, without parsing it. The
// file keeps data.
func NewFile(name string, data []byte) *File { return &File{Name: name, data: data} }

// rootNode returns the node of the whole document. It is decoded for the first
// problem only, because it takes as much time as the content and 20 times the
// memory of the YAML, and most files have no problem.
func (f *File) rootNode() *yaml.Node {
	f.once.Do(func() {
		if f.root == nil {
			f.root = new(yaml.Node)
			_ = yaml.Unmarshal(f.data, f.root) // Parse has decoded the same data without an error
		}
	})
	return f.root
}

// Problem returns a Problem for the field at path. The elements of path are
// mapping keys (string) and sequence indexes (int).
func (f *File) Problem(path []any, format string, args ...any) Problem {
	return Problem{File: f.Name, Line: f.lineOf(path), Field: formatPath(path), Message: fmt.Sprintf(format, args...)}
}

var (
	linePattern         = regexp.MustCompile(`line (\d+): (.*)`)
	unknownFieldPattern = regexp.MustCompile(`field (\S+) not found in type (?:\w+\.)?(\w+)`)
)

// problemsFromError converts an error of the YAML library, which may hold
// several type errors, to problems of the file.
func problemsFromError(file string, err error) []Problem {
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		out := make([]Problem, 0, len(typeErr.Errors))
		for _, msg := range typeErr.Errors {
			out = append(out, problemFromMessage(file, msg))
		}
		return out
	}
	return []Problem{problemFromMessage(file, strings.TrimPrefix(err.Error(), "yaml: "))}
}

// problemFromMessage converts one message of the YAML library. The library
// reports the line, and the field of an unknown key, only in the text. The text
// for an unknown key also holds the name of the Go type that it was decoded
// into, so renaming such a type changes the message of the problem.
func problemFromMessage(file, msg string) Problem {
	p := Problem{File: file, Line: 1, Message: msg}
	if m := linePattern.FindStringSubmatch(msg); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = m[2]
	}
	if m := unknownFieldPattern.FindStringSubmatch(p.Message); m != nil {
		p.Field = m[1]
		p.Message = "unknown key in " + strings.ToLower(m[2])
	}
	return p
}

// lineOf returns the line of the field at path. If the field does not exist,
// it returns the line of the deepest ancestor that does.
func (f *File) lineOf(path []any) int {
	n := f.rootNode()
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	line := n.Line
	for _, element := range path {
		next := childNode(n, element)
		if next == nil {
			return line
		}
		n, line = next, next.Line
	}
	return line
}

// childNode returns the child of n under a mapping key (string) or at a
// sequence index (int), or nil if there is none.
func childNode(n *yaml.Node, element any) *yaml.Node {
	switch key := element.(type) {
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

// formatPath formats path like "services[0].name".
func formatPath(path []any) string {
	var b strings.Builder
	for _, element := range path {
		switch v := element.(type) {
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
