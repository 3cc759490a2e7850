package yamlpos

import (
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration that YAML holds in Go duration syntax, such as
// "250ms".
type Duration time.Duration

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// MarshalYAML encodes d in Go duration syntax.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// UnmarshalYAML decodes a duration such as "1.5s". The error names the line.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration such as \"250ms\" or \"2s\"", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}
