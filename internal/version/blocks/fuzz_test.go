package blocks

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"io"
	"net/netip"
	"testing"
)

// Guards against a chunk that causes a panic, and against an accepted chunk that
// changes when it is encoded again for the next follower. The input is also
// compressed here, so that it reaches the parser behind the decompressor.
func FuzzAddChunk(f *testing.F) {
	t := New()
	for _, p := range []string{"10.0.0.0/8", "10.1.0.0/16"} {
		_ = t.Insert(netip.MustParsePrefix(p), "n1")
	}
	chunks, err := Encode(t)
	if err != nil {
		f.Fatal(err)
	}
	raw, err := io.ReadAll(flate.NewReader(bytes.NewReader(chunks[0].Data)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)-1])
	f.Add([]byte{4, 1, 1, 'a', 2, 8, 10, 0, 8, 10, 0})
	f.Add([]byte{6, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var buf bytes.Buffer
		z, _ := flate.NewWriter(&buf, flate.HuffmanOnly)
		_, _ = z.Write(raw)
		_ = z.Close()
		for _, data := range [][]byte{buf.Bytes(), raw} {
			table := New()
			if table.AddChunk(sha256.Sum256(data), data) != nil {
				continue
			}
			chunks, err := Encode(table)
			if err != nil {
				t.Fatal(err)
			}
			again := New()
			for _, c := range chunks {
				if err := again.AddChunk(c.Hash, c.Data); err != nil {
					t.Fatal(err)
				}
			}
			if again.Len() != table.Len() {
				t.Errorf("%d blocks after the round trip, want %d", again.Len(), table.Len())
			}
		}
	})
}
