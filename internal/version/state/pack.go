package state

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

const (
	// packedMark is the first byte of packed YAML. YAML cannot hold this character.
	packedMark = 0x00
	// minPackedBytes is the size from which YAML is packed. Smaller sections fill
	// neither the disk nor the memory of a replica with 100 revisions.
	minPackedBytes = 4 << 10
)

// pack returns YAML in the compressed form in which the log and the history hold it.
// Only the replica that proposes a change packs, because the compressed bytes may
// depend on the version of the library, and replicas must hold the same bytes.
func pack(yaml []byte) ([]byte, error) {
	if len(yaml) < minPackedBytes {
		return yaml, nil
	}
	var out bytes.Buffer
	out.WriteByte(packedMark)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "compress a section")
	}
	if _, err := w.Write(yaml); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "compress a section")
	}
	if err := w.Close(); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "compress a section")
	}
	return out.Bytes(), nil
}

// unpack returns the YAML of data, which may be packed or, in a log of an earlier
// version, not. Of YAML above MaxSectionBytes, it returns one byte more than these. The
// error has kind BadRequest.
func unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packedMark {
		return data, nil
	}
	yaml, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), MaxSectionBytes+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "decompress a section")
	}
	return yaml, nil
}
