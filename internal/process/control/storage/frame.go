package storage

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// A frame is the unit of writing and of checking. Everything that one save
// makes durable is in one frame, so an interrupted save leaves at most one
// incomplete frame, at the end of the last segment.
//
//	magic    4 bytes
//	length   4 bytes, of the payload, little endian
//	sequence 8 bytes, consecutive over all segments
//	checksum 8 bytes, xxhash of length, sequence and payload
//	payload  a RaftMessage that serves as the record (see record)
const (
	headerSize   = 24
	lengthAt     = 4
	sequenceAt   = 8
	checksumAt   = 16
	maxFrameSize = 1 << 30
	sectorSize   = 512 // smallest unit that a disk writes whole
)

var frameMagic = []byte{0xfe, 0x5c, 0x0e, 0x01}

// record is the content of a frame. In the log From holds the vote, Term and
// Commit the hard state, Entries what is appended, and Snapshot, if set, the
// index and term after which the log starts anew. A snapshot file holds
// Snapshot and SnapshotData.
type record = pb.RaftMessage

func encodeFrame(seq uint64, rec *record) ([]byte, error) {
	frame := make([]byte, headerSize, headerSize+proto.Size(rec))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, rec)
	if err != nil {
		return nil, err
	}
	copy(frame, frameMagic)
	binary.LittleEndian.PutUint32(frame[lengthAt:], uint32(len(frame)-headerSize))
	binary.LittleEndian.PutUint64(frame[sequenceAt:], seq)
	binary.LittleEndian.PutUint64(frame[checksumAt:], checksum(frame))
	return frame, nil
}

func checksum(frame []byte) uint64 {
	d := xxhash.New()
	d.Write(frame[lengthAt:checksumAt])
	d.Write(frame[headerSize:])
	return d.Sum64()
}

// decodeFrame reads the frame at the start of data. ok is false if no intact
// frame starts there.
func decodeFrame(data []byte) (rec *record, seq uint64, size int, ok bool) {
	size, ok = frameSize(data)
	if !ok || size > len(data) {
		return nil, 0, 0, false
	}
	frame := data[:size]
	if checksum(frame) != binary.LittleEndian.Uint64(frame[checksumAt:]) {
		return nil, 0, 0, false
	}
	rec = &record{}
	if err := proto.Unmarshal(frame[headerSize:], rec); err != nil {
		return nil, 0, 0, false
	}
	return rec, binary.LittleEndian.Uint64(frame[sequenceAt:]), size, true
}

// frameSize returns the size that the header at the start of data claims.
func frameSize(data []byte) (int, bool) {
	if len(data) < headerSize || !bytes.HasPrefix(data, frameMagic) {
		return 0, false
	}
	n := binary.LittleEndian.Uint32(data[lengthAt:])
	return headerSize + int(n), n <= maxFrameSize
}

// torn reports whether the bytes from offset at to the end of a segment can
// be the rest of an interrupted save: no intact frame follows, and the frame
// either reaches past the end or has a sector that was never written. A
// complete last frame with a wrong checksum was damaged after it was saved.
func torn(data []byte, at int) bool {
	tail := data[at:]
	if followedByFrame(tail) {
		return false
	}
	size, ok := frameSize(tail)
	if !ok || size > len(tail) {
		return len(tail) < headerSize || ok || hasUnwrittenSector(data, at, min(len(data), at+headerSize))
	}
	return hasUnwrittenSector(data, at, at+size)
}

func followedByFrame(tail []byte) bool {
	for at := 1; at < len(tail); at++ {
		next := bytes.Index(tail[at:], frameMagic)
		if next < 0 {
			return false
		}
		at += next
		if _, _, _, ok := decodeFrame(tail[at:]); ok {
			return true
		}
	}
	return false
}

// hasUnwrittenSector reports whether a sector's share of data[from:to] is all
// zero.
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
