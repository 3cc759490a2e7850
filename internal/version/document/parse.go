package document

import (
	"github.com/fescuejunction/fescuejunction/internal/yamlpos"
	"go.yaml.in/yaml/v3"
)

// Problem is one finding of the validation, at a line of a file.
type Problem = yamlpos.Problem

// Encode returns the YAML of a section.
func Encode(s *Section) ([]byte, error) { return yaml.Marshal(s) }

// Source is a parsed section with the positions of its fields.
type Source struct {
	File    *yamlpos.File
	Section *Section
}

// Parse reads one section. The problems are syntax errors, wrong types and
// unknown keys; the source is nil if there are any.
func Parse(file string, data []byte) (*Source, []Problem) {
	var sec Section
	f, problems := yamlpos.Parse(file, data, &sec)
	if len(problems) > 0 {
		return nil, problems
	}
	return &Source{File: f, Section: &sec}, nil
}
