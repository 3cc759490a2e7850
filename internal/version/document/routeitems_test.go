package document

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// manyRoutes returns a section with a number of host routes.
func manyRoutes(n int) *Section {
	sec := &Section{Team: "rota", Serial: 1, Services: []Service{{Name: "rota-a", GuardedSlots: true, HealthPath: "/health"}, {Name: "1234", GuardedSlots: true, HealthPath: "/"}}}
	for i := range n {
		sec.HostRoutes = append(sec.HostRoutes, HostRoute{
			Name: fmt.Sprint("r", i), Host: "rota.example", Prefix: fmt.Sprintf("/%d/", i), Timeout: 2e9,
			HomeRegions: []string{"no", "north"}, Services: []ServicePart{{Service: "rota-a", Weight: 90}, {Service: "1234", Weight: 10}},
		})
	}
	return sec
}

func encode(t testing.TB, sec *Section) []byte {
	t.Helper()
	yaml, err := Encode(sec)
	if err != nil {
		t.Fatal(err)
	}
	return yaml
}

// Guards against a change of one route whose parse costs as much as the whole section:
// each control replica parsed 1,400 routes again, for 57 ms of a whole core.
func TestParseAfterDecodesOnlyNewRoutes(t *testing.T) {
	sec := manyRoutes(1000)
	prev, _ := ParseAfter(nil, "rota", encode(t, sec))
	sec.Serial, sec.HostRoutes[500].Services[0].Weight = 2, 80
	sec.HostRoutes = slices.Delete(sec.HostRoutes, 3, 4)
	next := encode(t, sec)
	want, _ := Parse("rota", next)
	whole := testing.AllocsPerRun(3, func() { _, _ = Parse("rota", next) })
	after := testing.AllocsPerRun(3, func() {
		src, problems := ParseAfter(prev, "rota", next)
		if len(problems) > 0 || !reflect.DeepEqual(src.Section, want.Section) {
			t.Fatalf("problems %v, or another section", problems)
		}
	})
	if after > whole/20 {
		t.Errorf("%.0f allocations, %.0f for the whole section", after, whole)
	}
}

// linePieces are lines of a section, of which some leave something open for the next one
// or end before their place.
var linePieces = []string{
	"team: rota\n", "serial: 2\n", "host_routes:\n", "host_routes: []\n", "\"host_routes\": []\n", "services:\n", "drains: [{service: a}]\n",
	"    - name: a\n", "    - name: b\n      host: h\n", "      prefix: /p/\n", "      timeout: 2s\n", "      services: [{service: s, weight: 1}]\n",
	"      services: [{service: s,\n", "      weight: 1}]\n", "      name: \"12\"\n", "      host: \"a\n", "      host: 'a\n", "      b'\n", "    - \"c\n", "      home_regions: [a[b], \"no\"]\n", "      home_regions: [a'b, 'c]\n",
	"      host: a]\n", "      host: a[\n", "      host: a[]\n", "      host: |\n", "      host: >\n", "        x\n", "    - &a {name: a}\n", "    - *a\n", "    -\n", "    - {}\n", "    - - a\n", "   - name: a\n", "     - name: a\n",
	"---\n", "...\n", "# c\n", "\n", "    \n", "  team: a\n", "rota\n", "? a\n", ": b\n", "<<: {serial: 3}\n", "      <<: {name: z}\n", "      unknown: 1\n", "%YAML 1.1\n", "\ufeff", "é\n", "\u2028", "\t", "\r\n", "callers: {max_header_bytes: 2000}\n", "callers: {\n", "}\n", "\"\n", "team: \"rota\n",
}

// drawSection draws the YAML of a section, mostly as Encode writes it.
func drawSection(t *rapid.T, label string) []byte {
	sec := &Section{Team: "rota", Serial: uint64(rapid.IntRange(0, 2).Draw(t, label+" serial"))}
	if rapid.Bool().Draw(t, label+" callers") {
		sec.CallerLimits = &CallerLimits{MaxHeaderBytes: 2000}
	}
	for range rapid.IntRange(0, 4).Draw(t, label+" routes") {
		value := func(field string) string {
			return rapid.SampledFrom([]string{"a", "b", "12", "no", "a b", "a: b", "a[", "x]", "é", "", "'", "\"", "- a", "a\nb", "#", "host_routes:", "{}", "1e3", "~", "*a"}).Draw(t, label+" "+field)
		}
		sec.HostRoutes = append(sec.HostRoutes, HostRoute{
			Name: value("name"), Host: value("host"), Prefix: value("prefix"), Timeout: Duration(rapid.IntRange(0, 2).Draw(t, label+" timeout")),
			Services: []ServicePart{{Service: value("service"), Weight: rapid.IntRange(0, 1).Draw(t, label+" weight")}},
		})
	}
	yaml, err := Encode(sec)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(string(yaml), "\n")
	for range rapid.IntRange(0, 3).Draw(t, label+" edits") {
		i := rapid.IntRange(0, len(lines)-1).Draw(t, label+" line")
		piece := rapid.SampledFrom(linePieces).Draw(t, label+" piece")
		lines = slices.Replace(lines, i, min(i+rapid.IntRange(0, 1).Draw(t, label+" replaced"), len(lines)), piece)
	}
	return []byte(strings.Join(lines, ""))
}

// requireSameParse fails the test unless ParseAfter gives the result of Parse.
func requireSameParse(t interface{ Fatalf(string, ...any) }, prev *Source, data []byte) *Source {
	got, problems := ParseAfter(prev, "rota", data)
	want, wanted := Parse("rota", data)
	if !slices.Equal(problems, wanted) || (got == nil) != (want == nil) || got != nil && !reflect.DeepEqual(got.Section, want.Section) {
		t.Fatalf("%q:\n%v, %+v, want\n%v, %+v", data, problems, got, wanted, want)
	}
	if got == nil {
		return nil
	}
	if p, q := Validate([]*Source{got}), Validate([]*Source{want}); !slices.Equal(p, q) {
		t.Fatalf("%q: %v, want %v", data, p, q)
	}
	return got
}

// Guards against a parse whose result depends on the sections before it. Replicas that
// were restored at different times would hold different states.
func TestParseAfterIsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var prev *Source
		for i := range 4 {
			if src := requireSameParse(t, prev, drawSection(t, fmt.Sprint(i))); src != nil {
				prev = src
			}
		}
	})
}

// Guards, as TestParseAfterIsParse does, against YAML that nobody thought of.
func FuzzParseAfter(f *testing.F) {
	f.Add([]byte("team: rota\nhost_routes:\n    - name: a\n      host: h\n"), []byte("team: rota\nhost_routes:\n    - name: a\n      host: h\n    - name: b\n"))
	for _, piece := range linePieces {
		f.Add([]byte("team: rota\nhost_routes:\n    - name: a\n"), []byte("team: rota\nhost_routes:\n    - name: a\n"+piece+"    - name: b\n"))
		f.Add([]byte("team: rota\nhost_routes:\n    - name: a\n"), []byte(piece+"host_routes:\n    - name: a\nteam: rota\n"))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		requireSameParse(t, requireSameParse(t, nil, first), second)
	})
}

// Guards against a change of one route for which the replica that takes it encodes the
// whole section: 55 ms of a whole core and 67 MB for 1,400 routes.
func TestEncodeAfterEncodesOnlyNewRoutes(t *testing.T) {
	sec := manyRoutes(1000)
	prev, _ := ParseAfter(nil, "rota", encode(t, sec))
	next := *prev.Section
	next.HostRoutes = slices.Clone(next.HostRoutes)
	next.HostRoutes[500].Services = []ServicePart{{Service: "rota-a", Weight: 80}}
	next.HostRoutes = slices.Delete(next.HostRoutes, 3, 4)
	whole := testing.AllocsPerRun(3, func() { _ = encode(t, &next) })
	after := testing.AllocsPerRun(3, func() {
		if yaml, err := EncodeAfter(prev, &next); err != nil || string(yaml) != string(encode(t, &next)) {
			t.Fatalf("%v, or other YAML", err)
		}
	})
	if after -= whole; after > whole/20 {
		t.Errorf("%.0f allocations, %.0f for the whole section", after, whole)
	}
}

// Guards against YAML that has another content than the section that was encoded.
func TestEncodeAfterIsEncode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var prev *Source
		for i := range 4 {
			edited := drawSection(t, fmt.Sprint(i))
			src, problems := Parse("rota", edited)
			if len(problems) > 0 {
				continue
			}
			want, err := Encode(src.Section)
			if err != nil {
				t.Fatal(err)
			}
			got, err := EncodeAfter(prev, src.Section)
			if err != nil || string(got) != string(want) {
				t.Fatalf("%v, %q, want %q", err, got, want)
			}
			if prev, problems = ParseAfter(prev, "rota", want); len(problems) > 0 {
				continue // the YAML library cannot read what it writes for some values with line breaks
			}
			if other, _ := ParseAfter(nil, "rota", edited); rapid.Bool().Draw(t, "not from Encode") && string(edited) != string(want) {
				got, err := EncodeAfter(other, src.Section)
				again, problems := Parse("rota", got)
				if err != nil || len(problems) > 0 {
					t.Fatalf("%v, %v", err, problems)
				}
				if content, _ := Encode(again.Section); string(content) != string(want) {
					t.Fatalf("%q has the content of %q, want that of %q", got, content, want)
				}
			}
		}
	})
}
