package yamlpos

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"
)

type testDocument struct {
	Team  string     `yaml:"team"`
	Items []testItem `yaml:"items"`
}

type testItem struct {
	Name  string   `yaml:"name"`
	Wait  Duration `yaml:"wait,omitempty"`
	Parts []string `yaml:"parts,flow"`
}

// Guards against a parse that builds the positions of all fields although no problem
// needs one: for a section with 1,400 routes that doubled the time of each parse.
func TestParseWithoutProblemsBuildsNoPositions(t *testing.T) {
	data := []byte("team: rota\nitems:\n" + strings.Repeat("  - name: x\n    wait: 2s\n    parts: [a, b]\n", 500))
	decode := testing.AllocsPerRun(5, func() {
		dec := yaml.NewDecoder(strings.NewReader(string(data)))
		dec.KnownFields(true)
		if err := dec.Decode(&testDocument{}); err != nil {
			t.Fatal(err)
		}
	})
	parse := testing.AllocsPerRun(5, func() {
		if _, problems := Parse("f", data, &testDocument{}); len(problems) > 0 {
			t.Fatal(problems[0])
		}
	})
	if parse > 1.1*decode {
		t.Errorf("%.0f allocations for a parse, %.0f for the decoding in it", parse, decode)
	}
}

// parseWithNodes is Parse as it was when it decoded the nodes before the content.
func parseWithNodes(name string, data []byte, out any) (*yaml.Node, []Problem) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return nil, problemsFromError(name, err)
	}
	dec := yaml.NewDecoder(strings.NewReader(string(data)))
	dec.KnownFields(true)
	err := dec.Decode(out)
	if err == io.EOF {
		return nil, []Problem{{File: name, Line: 1, Message: "the file is empty"}}
	}
	if err != nil {
		return nil, problemsFromError(name, err)
	}
	if err := dec.Decode(new(yaml.Node)); err != io.EOF {
		return nil, []Problem{{File: name, Line: 1, Message: "the file must hold exactly one YAML document"}}
	}
	return &root, nil
}

// Guards against problems with other words or lines than before. They are part of the
// replicated state, so replicas of two software versions would hold different states.
func TestProblemsAreThoseOfTheNodes(t *testing.T) {
	pieces := []string{"team: rota\n", "items:\n", "  - name: x\n", "    wait: 2s\n", "    wait: soon\n", "    parts: [a, b]\n", "    parts: [a,\n", "---\n", "...\n", "&a ", "*a", "# c\n", "{", "}", "]", "\"", "'", "\t", "\r\n", "\x00", "\xff", "\xef\xbb\xbf", "é", "\u2028", "other: 1\n", "<<: *a\n", "%YAML 1.1\n", "!!binary x\n", "|\n", "? ", " ", "\n"}
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 12).Draw(t, "pieces"), ""))
		var got, want testDocument
		f, problems := Parse("f", data, &got)
		root, wanted := parseWithNodes("f", data, &want)
		if !slices.Equal(problems, wanted) || (f == nil) != (root == nil) || f != nil && fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
			t.Fatalf("%q: %v, %+v, want %v, %+v", data, problems, got, wanted, want)
		}
		if f == nil {
			return
		}
		for _, path := range [][]any{nil, {"team"}, {"items"}, {"items", 0, "wait"}, {"items", 1, "parts", 1}, {"other"}} {
			if p, q := f.Problem(path, "x"), (&File{Name: "f", root: root}).Problem(path, "x"); p != q {
				t.Fatalf("%q: %v, want %v", data, p, q)
			}
		}
	})
}
