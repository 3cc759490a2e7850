package storage

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// A frame is the unit in which records are written and verified. Each save
// writes exactly one frame, so that an interrupted save leaves at most one
// incomplete frame, at the end of the last segment. The layout is:
//
//	magic    4 bytes
//	length   4 bytes, size of the payload, little endian
//	sequence 8 bytes, little endian, consecutive over all segments
//	checksum 8 bytes, little endian, xxhash of length, sequence and payload
//	payload  an encoded record
const (
	headerSize     = 24
	lengthOffset   = 4
	sequenceOffset = 8
	checksumOffset = 16
	maxFrameSize   = 1 << 30
	sectorSize     = 512 // smallest unit in bytes that a disk writes atomically
)

var frameMagic = []byte{0xfe, 0x5c, 0x0e, 0x01}

// record is the content of a frame. In a segment, Term, From and Commit hold the
// hard state, with the vote in From, and Entries holds the entries to append. If
// Snapshot is set, the record starts a new log after the entry with the index and
// term in Snapshot, and all earlier records are ignored. A snapshot file holds one
// record with Snapshot and SnapshotData.
type record = pb.RaftMessage

func encodeFrame(seq uint64, rec *record) ([]byte, error) {
	frame := make([]byte, headerSize, headerSize+proto.Size(rec))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, rec)
	if err != nil {
		return nil, err
	}
	copy(frame, frameMagic)
	binary.LittleEndian.PutUint32(frame[lengthOffset:], uint32(len(frame)-headerSize))
	binary.LittleEndian.PutUint64(frame[sequenceOffset:], seq)
	binary.LittleEndian.PutUint64(frame[checksumOffset:], checksum(frame))
	return frame, nil
}

func checksum(frame []byte) uint64 {
	d := xxhash.New()
	d.Write(frame[lengthOffset:checksumOffset])
	d.Write(frame[headerSize:])
	return d.Sum64()
}

// decodeFrame decodes the frame at the start of data and returns its record, its
// sequence number and its size in bytes. ok is false if no intact frame starts
// there.
func decodeFrame(data []byte) (rec *record, seq uint64, size int, ok bool) {
	size, ok = frameSize(data)
	if !ok || size > len(data) {
		return nil, 0, 0, false
	}
	frame := data[:size]
	if checksum(frame) != binary.LittleEndian.Uint64(frame[checksumOffset:]) {
		return nil, 0, 0, false
	}
	rec = &record{}
	if err := proto.Unmarshal(frame[headerSize:], rec); err != nil {
		return nil, 0, 0, false
	}
	return rec, binary.LittleEndian.Uint64(frame[sequenceOffset:]), size, true
}

// frameSize returns the size in bytes, header included, of the frame at the start
// of data according to its header. It returns false if the header is incomplete
// or invalid. The data may be shorter than the size.
func frameSize(data []byte) (int, bool) {
	if len(data) < headerSize || !bytes.HasPrefix(data, frameMagic) {
		return 0, false
	}
	n := binary.LittleEndian.Uint32(data[lengthOffset:])
	return headerSize + int(n), n <= maxFrameSize
}

// isTornWrite reports whether the data of a segment from offset on can be the
// result of an interrupted save: no intact frame follows, and the frame either
// extends past the end of the segment or contains a sector that was never
// written. A complete last frame with a wrong checksum is not a torn write: it was
// damaged after it was saved.
func isTornWrite(data []byte, offset int) bool {
	tail := data[offset:]
	if followedByFrame(tail) {
		return false
	}
	size, ok := frameSize(tail)
	if !ok || size > len(tail) {
		return len(tail) < headerSize || ok || hasUnwrittenSector(data, offset, min(len(data), offset+headerSize))
	}
	return hasUnwrittenSector(data, offset, offset+size)
}

func followedByFrame(tail []byte) bool {
	for offset := 1; offset < len(tail); offset++ {
		next := bytes.Index(tail[offset:], frameMagic)
		if next < 0 {
			return false
		}
		offset += next
		if _, _, _, ok := decodeFrame(tail[offset:]); ok {
			return true
		}
	}
	return false
}

// hasUnwrittenSector reports whether the bytes of some sector within
// data[from:to] are all zero.
func hasUnwrittenSector(data []byte, from, to int) bool {
	for from < to {
		end := min(to, (from/sectorSize+1)*sectorSize)
		if len(bytes.Trim(data[from:end], "\x00")) == 0 {
			return true
		}
		from = end
	}
	return false
}
