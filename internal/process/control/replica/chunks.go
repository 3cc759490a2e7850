package replica

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

const (
	chunkSize       = 256 << 10 // bytes of snapshot data in one message
	maxSnapshotSize = 1 << 30   // bytes; receivers reject a larger snapshot
)

// sendMessage sends m on stream. A snapshot is split into consecutive messages
// with at most chunkSize bytes of data each. In these messages, Index is the
// offset of the data and Commit the size of the whole snapshot, both in bytes.
func sendMessage(stream pb.Replica_SendClient, m *pb.RaftMessage) error {
	if m.Type != pb.MessageType_MESSAGE_SNAPSHOT {
		return stream.Send(m)
	}
	total := len(m.SnapshotData)
	for offset := 0; offset == 0 || offset < total; offset += chunkSize {
		chunk := &pb.RaftMessage{
			Type: m.Type, From: m.From, To: m.To, Term: m.Term, Snapshot: m.Snapshot,
			Index: uint64(offset), Commit: uint64(total),
			SnapshotData: m.SnapshotData[offset:min(offset+chunkSize, total)],
		}
		if err := stream.Send(chunk); err != nil {
			return err
		}
	}
	return nil
}

// snapshotAssembler joins the chunks of a snapshot that arrive on one stream.
type snapshotAssembler struct{ data []byte }

// add returns a complete message, or nil if further chunks are missing. The error
// has kind BadRequest if a chunk is out of order or the snapshot is too large.
func (a *snapshotAssembler) add(m *pb.RaftMessage) (*pb.RaftMessage, error) {
	if m.Type != pb.MessageType_MESSAGE_SNAPSHOT {
		return m, nil
	}
	if m.Index == 0 {
		a.data = nil
	}
	if m.Index != uint64(len(a.data)) || m.Commit > maxSnapshotSize {
		return nil, errkind.New(errkind.BadRequest, "snapshot chunk at offset %d of %d bytes is out of order or the snapshot is too large; next expected offset is %d", m.Index, m.Commit, len(a.data))
	}
	a.data = append(a.data, m.SnapshotData...)
	if uint64(len(a.data)) < m.Commit {
		return nil, nil
	}
	// Cloning m would also copy its snapshot data, which can be large.
	complete := &pb.RaftMessage{Type: m.Type, From: m.From, To: m.To, Term: m.Term, Snapshot: m.Snapshot}
	complete.SnapshotData = a.data
	a.data = nil
	return complete, nil
}

// checkMessage rejects a message that no correct replica sends: a snapshot
// without its metadata, or entries with gaps, invalid terms or an undecodable
// configuration. The error has kind BadRequest.
func checkMessage(m *pb.RaftMessage) error {
	if m.Type == pb.MessageType_MESSAGE_SNAPSHOT && (m.Snapshot == nil || m.Snapshot.Config == nil) {
		return errkind.New(errkind.BadRequest, "snapshot from %s lacks its metadata or configuration", m.From)
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term == 0 || e.Term > m.Term {
			return errkind.New(errkind.BadRequest, "entry %d of term %d from %s has an invalid term or does not follow entry %d", e.Index, e.Term, m.From, m.Index+uint64(i))
		}
		if e.Type == pb.EntryType_ENTRY_CONFIG && proto.Unmarshal(e.Data, &pb.ConfigState{}) != nil {
			return errkind.New(errkind.BadRequest, "configuration entry %d from %s cannot be decoded", e.Index, m.From)
		}
	}
	return nil
}
