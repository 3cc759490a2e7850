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

// Hash is the SHA-256 hash of a chunk's encoded content. It identifies the chunk.
type Hash [sha256.Size]byte

// Chunk is the compressed part of a table whose addresses belong to one family
// and share the first byte. A change of a few blocks changes only a few chunks,
// and followers fetch only these.
type Chunk struct {
	Hash Hash
	Data []byte
}

// maxChunkBytes bounds the size of a decoded chunk. For IPv4 a chunk holds at
// most the /24 blocks of one /8.
const maxChunkBytes = 16 << 20

// Encode returns the chunks of t, ordered by address. Equal tables have equal
// encodings.
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

// chunkWriter encodes one chunk: the address family, the list of data centre
// names and the number of blocks, then for each block the prefix length in bits,
// the address bytes that the prefix covers and the index of the name.
type chunkWriter struct {
	first  netip.Prefix
	blocks int
	names  []string
	index  map[string]uint64
	body   []byte
}

// sameChunk reports whether p belongs to the chunk of the first block.
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

// coveredBytes returns the number of address bytes that a prefix of this length
// covers at least in part.
func coveredBytes(bits int) int { return (bits + 7) / 8 }

// finish returns the compressed chunk.
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

// AddChunk verifies data against hash and inserts its blocks into t. The errors
// are of kind CorruptLog. After an error t may hold some of the blocks and must
// not be used.
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

// chunkReader decodes the uncompressed content of a chunk. A failed read sets
// malformed, and take returns nil from then on.
type chunkReader struct {
	buf       []byte
	malformed bool
}

// take returns the next n bytes, or nil if there are fewer.
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

// readInto decodes the whole chunk and inserts its blocks into t.
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

// readBlock decodes one block and inserts it into t.
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

// decodeAddress returns the address that starts with the covered bytes and is
// zero after them.
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
