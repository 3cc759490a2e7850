package blocks

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a table that changes when it is encoded to chunks and decoded.
func TestChunksRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		for range rapid.IntRange(0, 200).Draw(t, "blocks") {
			var a [4]byte
			copy(a[:], rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "addr"))
			p := netip.PrefixFrom(netip.AddrFrom4(a), rapid.IntRange(0, 32).Draw(t, "bits"))
			if err := table.Insert(p, rapid.SampledFrom([]string{"n1", "n2", "s1"}).Draw(t, "dc")); err != nil {
				t.Fatal(err)
			}
		}
		chunks, err := Encode(table)
		if err != nil {
			t.Fatal(err)
		}
		got := New()
		for _, c := range chunks {
			if err := got.AddChunk(c.Hash, c.Data); err != nil {
				t.Fatal(err)
			}
		}
		if got.Len() != table.Len() {
			t.Fatalf("%d blocks after the round trip, want %d", got.Len(), table.Len())
		}
		for range 50 {
			a := netip.AddrFrom4([4]byte{rapid.Byte().Draw(t, "a"), rapid.Byte().Draw(t, "b"), 1, 2})
			want, ok1 := table.Lookup(a)
			have, ok2 := got.Lookup(a)
			if want != have || ok1 != ok2 {
				t.Fatalf("%s: %q, want %q", a, have, want)
			}
		}
	})
}

// Guards against a corrupt chunk that is accepted, or that causes a panic.
func TestCorruptChunkRejected(t *testing.T) {
	table, err := ParseText(strings.NewReader("10.0.0.0/8,n1\n10.1.0.0/16,n2\n2001:db8::/32,s1\n"))
	if err != nil {
		t.Fatal(err)
	}
	chunks, err := Encode(table)
	if err != nil {
		t.Fatal(err)
	}
	r := rand.New(rand.NewPCG(1, 1))
	for _, c := range chunks {
		bad := append([]byte(nil), c.Data...)
		bad[r.IntN(len(bad))] ^= 0x40
		if New().AddChunk(c.Hash, bad) == nil {
			t.Fatal("a corrupt chunk was accepted")
		}
	}
}

// Guards against a parse error that does not name its line.
func TestParseTextNamesLine(t *testing.T) {
	_, err := ParseText(strings.NewReader("10.0.0.0/8,n1\n\nnot-a-prefix,n2\n"))
	if err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Fatalf("error %v does not name line 3", err)
	}
}
