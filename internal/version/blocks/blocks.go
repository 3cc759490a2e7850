// Package blocks holds the client-block table: which data centre is nearest
// for a block of client addresses. The table is versioned apart from the
// steering document because it is several million blocks long.
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

// maxNames bounds the data centres a table can name; a block refers to its
// data centre by a 16-bit number.
const maxDataCentres = 1 << 16

// Table maps client addresses to data centres by longest prefix match. It
// is immutable after it was built.
type Table struct {
	dataCentres     []string
	dataCentreIndex map[string]uint16
	trie            bart.Table[uint16]
}

// New returns an empty table.
func New() *Table { return &Table{dataCentreIndex: map[string]uint16{}} }

// Len returns the number of blocks.
func (t *Table) Len() int { return t.trie.Size() }

// Insert maps a block to a data centre.
func (t *Table) Insert(p netip.Prefix, dc string) error {
	n, err := t.indexOf(dc)
	if err != nil {
		return err
	}
	t.trie.Insert(p.Masked(), n)
	return nil
}

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

// Lookup returns the data centre of the longest block that holds addr.
func (t *Table) Lookup(addr netip.Addr) (string, bool) {
	n, ok := t.trie.Lookup(addr.Unmap())
	if !ok {
		return "", false
	}
	return t.dataCentres[n], true
}

// DataCentres returns the names that the table refers to, sorted.
func (t *Table) DataCentres() []string {
	out := append([]string(nil), t.dataCentres...)
	sort.Strings(out)
	return out
}

// ParseText reads lines "prefix,data centre"; empty lines and lines that
// start with '#' are skipped. Errors name the line.
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
