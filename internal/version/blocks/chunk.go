package blocks

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/netip"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Hash identifies a chunk by its encoded content.
type Hash [sha256.Size]byte

// Chunk is the compressed part of a table whose addresses share the first
// byte. A change of a few blocks changes few chunks, so a follower fetches
// only those.
type Chunk struct {
	Hash Hash
	Data []byte
}

// maxChunkBytes bounds a decoded chunk; a chunk holds at most the /24 blocks
// of one /8 for IPv4.
const maxChunkBytes = 16 << 20

// Encode returns the chunks of t, ordered by address. The encoding of equal
// tables is equal.
func Encode(t *Table) ([]Chunk, error) {
	var out []Chunk
	var w chunkWriter
	flush := func() error {
		if w.blocks == 0 {
			return nil
		}
		c, err := w.finish()
		out = append(out, c)
		return err
	}
	for p, n := range t.trie.AllSorted() {
		if w.blocks > 0 && !w.sameChunk(p) {
			if err := flush(); err != nil {
				return nil, err
			}
			w = chunkWriter{}
		}
		w.add(p, t.dataCentres[n])
	}
	return out, flush()
}

// chunkWriter encodes one chunk: a list of names, then per block the prefix
// length, the address bytes that the length covers and the name's number.
type chunkWriter struct {
	first  netip.Prefix
	blocks int
	names  []string
	index  map[string]uint64
	body   []byte
}

func (w *chunkWriter) sameChunk(p netip.Prefix) bool {
	a, b := w.first.Addr(), p.Addr()
	return a.Is4() == b.Is4() && a.AsSlice()[0] == b.AsSlice()[0]
}

func (w *chunkWriter) add(p netip.Prefix, dc string) {
	if w.blocks == 0 {
		w.first = p
		w.index = map[string]uint64{}
	}
	n, ok := w.index[dc]
	if !ok {
		n = uint64(len(w.names))
		w.index[dc] = n
		w.names = append(w.names, dc)
	}
	w.blocks++
	w.body = append(w.body, byte(p.Bits()))
	w.body = append(w.body, p.Addr().AsSlice()[:coveredBytes(p.Bits())]...)
	w.body = binary.AppendUvarint(w.body, n)
}

func coveredBytes(bits int) int { return (bits + 7) / 8 }

func (w *chunkWriter) finish() (Chunk, error) {
	var header []byte
	family := byte(4)
	if w.first.Addr().Is6() {
		family = 6
	}
	header = append(header, family)
	header = binary.AppendUvarint(header, uint64(len(w.names)))
	for _, name := range w.names {
		header = binary.AppendUvarint(header, uint64(len(name)))
		header = append(header, name...)
	}
	header = binary.AppendUvarint(header, uint64(w.blocks))
	var buf bytes.Buffer
	z, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return Chunk{}, err
	}
	for _, part := range [][]byte{header, w.body} {
		if _, err := z.Write(part); err != nil {
			return Chunk{}, err
		}
	}
	if err := z.Close(); err != nil {
		return Chunk{}, err
	}
	return Chunk{Hash: sha256.Sum256(buf.Bytes()), Data: buf.Bytes()}, nil
}

// AddChunk checks data against hash and inserts its blocks into t. After an
// error t may hold a part of them and must not be used.
func (t *Table) AddChunk(hash Hash, data []byte) error {
	if sha256.Sum256(data) != hash {
		return errkind.New(errkind.CorruptLog, "client-block chunk does not match its hash %x", hash[:8])
	}
	z := flate.NewReader(bytes.NewReader(data))
	raw, err := io.ReadAll(io.LimitReader(z, maxChunkBytes+1))
	if err != nil || len(raw) > maxChunkBytes {
		return errkind.New(errkind.CorruptLog, "client-block chunk %x does not decode", hash[:8])
	}
	r := chunkReader{buf: raw}
	r.readInto(t)
	if r.malformed || len(r.buf) != 0 {
		return errkind.New(errkind.CorruptLog, "client-block chunk %x is malformed", hash[:8])
	}
	return nil
}

type chunkReader struct {
	buf       []byte
	malformed bool
}

func (r *chunkReader) take(n uint64) []byte {
	if r.malformed || n > uint64(len(r.buf)) {
		r.malformed = true
		return nil
	}
	out := r.buf[:n]
	r.buf = r.buf[n:]
	return out
}

func (r *chunkReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.take(uint64(n))
	return v
}

func (r *chunkReader) byte() byte {
	if b := r.take(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

func (r *chunkReader) readInto(t *Table) {
	family := r.byte()
	if family != 4 && family != 6 {
		r.malformed = true
	}
	names := make([]string, 0, 16)
	for n := r.uvarint(); n > 0 && !r.malformed; n-- {
		names = append(names, string(r.take(r.uvarint())))
	}
	for n := r.uvarint(); n > 0 && !r.malformed; n-- {
		r.readBlock(t, family, names)
	}
}

func (r *chunkReader) readBlock(t *Table, family byte, names []string) {
	bits := int(r.byte())
	if (family == 4 && bits > 32) || bits > 128 {
		r.malformed = true
		return
	}
	addr := r.decodeAddress(family, r.take(uint64(coveredBytes(bits))))
	name := r.uvarint()
	if r.malformed || name >= uint64(len(names)) {
		r.malformed = true
		return
	}
	if t.Insert(netip.PrefixFrom(addr, bits), names[name]) != nil {
		r.malformed = true
	}
}

func (r *chunkReader) decodeAddress(family byte, covered []byte) netip.Addr {
	if family == 4 {
		var a [4]byte
		copy(a[:], covered)
		return netip.AddrFrom4(a)
	}
	var a [16]byte
	copy(a[:], covered)
	return netip.AddrFrom16(a)
}
