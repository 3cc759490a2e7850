// Package blocks implements the client-block table, which maps blocks of client
// addresses (CIDR prefixes) to the nearest data centre. The table is versioned
// separately from the steering document because it has several million blocks.
package blocks

import (
	"bufio"
	"fmt"
	"io"
	"net/netip"
	"sort"
	"strings"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/gaissmai/bart"
)

// maxDataCentres bounds the data centres that a table can name, because a block
// refers to its data centre by a 16-bit index.
const maxDataCentres = 1 << 16

// Table maps client addresses to data centres by longest prefix match. It
// must not be modified once it is built.
type Table struct {
	dataCentres     []string
	dataCentreIndex map[string]uint16
	trie            bart.Table[uint16]
}

// New returns an empty table.
func New() *Table { return &Table{dataCentreIndex: map[string]uint16{}} }

// Len returns the number of blocks.
func (t *Table) Len() int { return t.trie.Size() }

// Insert maps a block to a data centre. It returns an error of kind
// InvalidDocument if the table already names the maximum of data centres.
func (t *Table) Insert(p netip.Prefix, dc string) error {
	n, err := t.indexOf(dc)
	if err != nil {
		return err
	}
	t.trie.Insert(p.Masked(), n)
	return nil
}

// indexOf returns the index of a data centre in dataCentres and adds it if
// necessary.
func (t *Table) indexOf(dc string) (uint16, error) {
	if n, ok := t.dataCentreIndex[dc]; ok {
		return n, nil
	}
	if len(t.dataCentres) == maxDataCentres {
		return 0, errkind.New(errkind.InvalidDocument, "a block table can name at most %d data centres", maxDataCentres)
	}
	n := uint16(len(t.dataCentres))
	t.dataCentres = append(t.dataCentres, dc)
	t.dataCentreIndex[dc] = n
	return n, nil
}

// Lookup returns the data centre of the longest block that contains addr, and
// whether there is one.
func (t *Table) Lookup(addr netip.Addr) (string, bool) {
	n, ok := t.trie.Lookup(addr.Unmap())
	if !ok {
		return "", false
	}
	return t.dataCentres[n], true
}

// DataCentres returns the names of the data centres in the table, sorted.
func (t *Table) DataCentres() []string {
	out := append([]string(nil), t.dataCentres...)
	sort.Strings(out)
	return out
}

// ParseText reads a table from lines of the form "prefix,data centre". Empty
// lines and lines that start with '#' are skipped. Errors are of kind
// InvalidDocument and name the line.
func ParseText(r io.Reader) (*Table, error) {
	t := New()
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || text[0] == '#' {
			continue
		}
		if err := t.insertLine(text); err != nil {
			return nil, errkind.Wrap(errkind.InvalidDocument, err, "line %d", line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errkind.Wrap(errkind.InvalidDocument, err, "read client blocks")
	}
	return t, nil
}

func (t *Table) insertLine(text string) error {
	block, dc, ok := strings.Cut(text, ",")
	if !ok || dc == "" {
		return fmt.Errorf("%q is not of the form prefix,data_centre", text)
	}
	p, err := netip.ParsePrefix(strings.TrimSpace(block))
	if err != nil {
		return err
	}
	return t.Insert(p, strings.TrimSpace(dc))
}
