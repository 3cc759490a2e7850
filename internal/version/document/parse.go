package document

import (
	"github.com/fescuejunction/fescuejunction/internal/yamlpos"
	"go.yaml.in/yaml/v3"
)

// Problem is one error in a section, with its file, line and field.
type Problem = yamlpos.Problem

// Encode encodes a section as YAML.
func Encode(s *Section) ([]byte, error) { return yaml.Marshal(s) }

// Source is a parsed section with the lines of its fields.
type Source struct {
	File    *yamlpos.File
	Section *Section
	items   *routeItems // of the same YAML; nil if it cannot be taken apart
}

// Parse decodes one section. File is the name in problems. The problems are
// those of yamlpos.Parse; the source is nil if there are any. The content is not
// validated.
func Parse(file string, data []byte) (*Source, []Problem) {
	var sec Section
	f, problems := yamlpos.Parse(file, data, &sec)
	if len(problems) > 0 {
		return nil, problems
	}
	return &Source{File: f, Section: &sec}, nil
}
