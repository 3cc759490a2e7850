package storage

import (
	"path/filepath"
	"strings"

	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

// load reads the snapshot and the log. It removes an incomplete frame at the end
// of the log. Everything that it returns is durable, although the last process may
// have ended before it had synced its last save.
func (s *Store) load() (raft.State, error) {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return raft.State{}, storageError(err, "list %s", s.dir)
	}
	// loadSnapshot removes older snapshots, so the newest one must be durable.
	if err := s.fs.SyncDir(s.dir); err != nil {
		return raft.State{}, storageError(err, "sync directory %s", s.dir)
	}
	snap, err := s.loadSnapshot(names)
	if err != nil {
		return raft.State{}, err
	}
	r := replayState{dir: s.dir, state: raft.State{Snapshot: snap}}
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) {
			s.segments = append(s.segments, name)
		}
	}
	for i, name := range s.segments {
		if err := s.loadSegment(&r, name, i == len(s.segments)-1); err != nil {
			return raft.State{}, err
		}
	}
	if !r.started {
		return raft.State{}, corruptLogError(s.dir, "the log has no first segment")
	}
	s.seq = r.nextSeq
	return r.state, s.reconcileSnapshot(&r.state)
}

// loadSegment replays one segment. The records at the end of the last segment may
// be unsynced, so it is replaced by a durable copy of its intact records. A sync of
// the segment is not enough: after a sync has failed, Linux still returns the data
// to readers, but the next sync does not write it.
func (s *Store) loadSegment(r *replayState, name string, last bool) error {
	path := filepath.Join(s.dir, name)
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return storageError(err, "read segment %s", path)
	}
	intact, err := s.replaySegment(r, path, data, last)
	if err != nil || !last {
		return err
	}
	s.size = int64(intact)
	return writeFile(s.fs, s.dir, name, data[:intact])
}

// replaySegment replays the data of one segment and returns the size in bytes of
// its intact records. A torn write is accepted in the last segment only. The first
// record of a segment may start a new log; any segments before it are then ignored,
// also if the oldest of them have already been removed.
func (s *Store) replaySegment(r *replayState, path string, data []byte, last bool) (int, error) {
	offset := 0
	for offset < len(data) {
		rec, seq, size, ok := decodeFrame(data[offset:])
		if !ok && last && isTornWrite(data, offset) {
			s.log.WithField("segment", path).WithField("offset", offset).WithField("bytes", len(data)-offset).
				Warn("removing an incomplete record at the end of the log; it was never acknowledged")
			break
		}
		if !ok {
			return 0, corruptLogError(s.dir, "segment %s has a damaged record at byte %d", path, offset)
		}
		if err := r.apply(rec, seq); err != nil {
			return 0, err
		}
		offset += size
	}
	return offset, nil
}

// reconcileSnapshot makes the log consistent with the snapshot. They differ after
// a crash between the save of a snapshot and the rewrite of the log. If the log
// does not contain the last entry of the snapshot, it is replaced by an empty log
// that starts after the snapshot.
func (s *Store) reconcileSnapshot(st *raft.State) error {
	if st.Snapshot == nil {
		if st.Offset > 0 {
			return corruptLogError(s.dir, "the log starts after index %d but the snapshot is missing", st.Offset)
		}
		return nil
	}
	meta := st.Snapshot.Meta
	if meta.Index < st.Offset {
		return corruptLogError(s.dir, "the log starts after index %d but the snapshot ends at %d", st.Offset, meta.Index)
	}
	st.HardState.Commit = max(st.HardState.Commit, meta.Index)
	if logContains(st, meta.Index, meta.Term) {
		return nil
	}
	if meta.Term > st.HardState.Term {
		st.HardState.Term, st.HardState.Vote = meta.Term, ""
	}
	st.Offset, st.OffsetTerm, st.Entries = meta.Index, meta.Term, nil
	return s.restartLog(*st)
}

func logContains(st *raft.State, index, term uint64) bool {
	if index == st.Offset {
		return term == st.OffsetTerm
	}
	i := index - st.Offset - 1
	return i < uint64(len(st.Entries)) && st.Entries[i].Term == term
}

// replayState is the state that the replay of log records has produced so far.
type replayState struct {
	dir     string
	state   raft.State
	nextSeq uint64 // sequence number of the next record
	started bool   // a record that starts a log was replayed
}

func (r *replayState) apply(rec *record, seq uint64) error {
	if rec.Snapshot != nil {
		r.started = true
		r.state.Offset, r.state.OffsetTerm = rec.Snapshot.Index, rec.Snapshot.Term
		r.state.Entries = nil
	} else if r.started && seq != r.nextSeq {
		return corruptLogError(r.dir, "the log continues with record %d instead of %d", seq, r.nextSeq)
	}
	r.nextSeq = seq + 1
	if !r.started {
		return nil
	}
	r.state.HardState = raft.HardState{Term: rec.Term, Vote: rec.From, Commit: rec.Commit}
	for _, e := range rec.Entries {
		last := r.state.Offset + uint64(len(r.state.Entries))
		if e.Index <= r.state.Offset || e.Index > last+1 {
			return corruptLogError(r.dir, "record %d has entry %d after entry %d", seq, e.Index, last)
		}
		r.state.Entries = append(r.state.Entries[:e.Index-r.state.Offset-1], e)
	}
	return nil
}
