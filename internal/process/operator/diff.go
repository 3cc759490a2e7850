package operator

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// diffCmd compares a local section with the current one of the same team.
type diffCmd struct{ file string }

func (c *diffCmd) define() *flaggy.Subcommand {
	s := newSubcommand("diff", "Shows what applying a file would change.", "fescuectl --config ctl.yaml diff kerala.yaml")
	s.AddPositionalValue(&c.file, "file", 1, true, "File with a section.")
	return s
}

func (c *diffCmd) run(e *env) error {
	local, err := readSections([]string{c.file})
	if err != nil {
		return err
	}
	cl, err := e.connect()
	if err != nil {
		return err
	}
	current, err := cl.section(local[0].team())
	if err != nil {
		return err
	}
	old := string(current.Yaml)
	if current.Deleted {
		old = ""
	}
	lines := diffLines(splitLines(old), splitLines(string(local[0].data)))
	changed := false
	for _, l := range lines {
		changed = changed || l[0] != ' '
	}
	result := map[string]any{"team": local[0].team(), "revision": current.Revision, "changed": changed, "lines": lines}
	e.print(result, func(w io.Writer) { printDiff(w, local[0].team(), current.Revision, changed, lines) })
	return nil
}

func printDiff(w io.Writer, team string, revision uint64, changed bool, lines []string) {
	if !changed {
		fmt.Fprintf(w, "no difference from revision %d of team %q\n", revision, team)
		return
	}
	fmt.Fprintf(w, "--- revision %d of team %q\n+++ local file\n", revision, team)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
}

func splitLines(s string) []string {
	s = strings.TrimSuffix(s, "\n")
	if s == "" {
		return nil
	}
	return strings.Split(s, "\n")
}

// maxDiffCells bounds the table of the comparison, which takes 8 bytes a cell. If
// the changed parts need a larger one, all their lines are shown as removed and
// added.
const maxDiffCells = 16 << 20

// diffLines returns the lines of a and b, prefixed with ' ' if they are common,
// '-' if they are only in a and '+' if they are only in b.
func diffLines(a, b []string) []string {
	var out, suffix []string
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		out = append(out, " "+a[0])
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		suffix = append(suffix, " "+a[len(a)-1])
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	slices.Reverse(suffix)
	out = append(out, diffByLCS(a, b)...)
	return append(out, suffix...)
}

// diffByLCS compares a and b by their longest common subsequence.
func diffByLCS(a, b []string) []string {
	var out []string
	if len(a)*len(b) > maxDiffCells {
		for _, l := range a {
			out = append(out, "-"+l)
		}
		for _, l := range b {
			out = append(out, "+"+l)
		}
		return out
	}
	lcs := lcsLengths(a, b)
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out = append(out, " "+a[i])
			i, j = i+1, j+1
		case j == len(b) || (i < len(a) && lcs[i+1][j] >= lcs[i][j+1]):
			out = append(out, "-"+a[i])
			i++
		default:
			out = append(out, "+"+b[j])
			j++
		}
	}
	return out
}

// lcsLengths returns a table that holds at [i][j] the length of the longest
// common subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}
