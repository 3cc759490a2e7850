package storage

import (
	"path/filepath"
	"strings"

	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

// load reads the snapshot and the log, and cuts an incomplete last frame.
func (s *Store) load() (raft.State, error) {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return raft.State{}, failed(err, "list %s", s.dir)
	}
	snap, err := s.loadSnapshot(names)
	if err != nil {
		return raft.State{}, err
	}
	r := replay{dir: s.dir, state: raft.State{Snapshot: snap}}
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
		return raft.State{}, corrupt(s.dir, "the log has no first segment")
	}
	s.seq = r.next
	return r.state, s.joinSnapshot(&r.state)
}

// loadSegment replays one segment. A segment that starts the log anew makes
// the earlier ones irrelevant, whatever is left of them.
func (s *Store) loadSegment(r *replay, name string, last bool) error {
	path := filepath.Join(s.dir, name)
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return failed(err, "read segment %s", path)
	}
	for at := 0; at < len(data); {
		rec, seq, size, ok := decodeFrame(data[at:])
		if !ok {
			if !last || !torn(data, at) {
				return corrupt(s.dir, "segment %s has a damaged record at byte %d", path, at)
			}
			return s.cutTail(path, at, len(data))
		}
		if err := r.apply(rec, seq); err != nil {
			return err
		}
		at += size
		s.size = int64(at)
	}
	s.size = int64(len(data))
	return nil
}

func (s *Store) cutTail(path string, at, size int) error {
	s.log.WithField("segment", path).WithField("offset", at).WithField("bytes", size-at).
		Warn("removing an incomplete record at the end of the log; it was never acknowledged")
	s.size = int64(at)
	if err := s.fs.Truncate(path, int64(at)); err != nil {
		return failed(err, "truncate segment %s", path)
	}
	return nil
}

// joinSnapshot makes log and snapshot consistent after a crash between the
// saving of a snapshot and the rewriting of the log.
func (s *Store) joinSnapshot(st *raft.State) error {
	if st.Snapshot == nil {
		if st.Offset > 0 {
			return corrupt(s.dir, "the log starts after index %d but the snapshot is missing", st.Offset)
		}
		return nil
	}
	meta := st.Snapshot.Meta
	if meta.Index < st.Offset {
		return corrupt(s.dir, "the log starts after index %d but the snapshot ends at %d", st.Offset, meta.Index)
	}
	st.HardState.Commit = max(st.HardState.Commit, meta.Index)
	if holds(st, meta.Index, meta.Term) {
		return nil
	}
	if meta.Term > st.HardState.Term {
		st.HardState.Term, st.HardState.Vote = meta.Term, ""
	}
	st.Offset, st.OffsetTerm, st.Entries = meta.Index, meta.Term, nil
	return s.restart(*st)
}

func holds(st *raft.State, index, term uint64) bool {
	if index == st.Offset {
		return term == st.OffsetTerm
	}
	i := index - st.Offset - 1
	return i < uint64(len(st.Entries)) && st.Entries[i].Term == term
}

// replay rebuilds the state from records.
type replay struct {
	dir     string
	state   raft.State
	next    uint64 // next sequence number
	started bool   // a record that starts the log was seen
}

func (r *replay) apply(rec *record, seq uint64) error {
	if rec.Snapshot != nil {
		r.started = true
		r.state.Offset, r.state.OffsetTerm = rec.Snapshot.Index, rec.Snapshot.Term
		r.state.Entries = nil
	} else if r.started && seq != r.next {
		return corrupt(r.dir, "the log continues with record %d instead of %d", seq, r.next)
	}
	r.next = seq + 1
	if !r.started {
		return nil
	}
	r.state.HardState = raft.HardState{Term: rec.Term, Vote: rec.From, Commit: rec.Commit}
	for _, e := range rec.Entries {
		last := r.state.Offset + uint64(len(r.state.Entries))
		if e.Index <= r.state.Offset || e.Index > last+1 {
			return corrupt(r.dir, "record %d has entry %d after entry %d", seq, e.Index, last)
		}
		r.state.Entries = append(r.state.Entries[:e.Index-r.state.Offset-1], e)
	}
	return nil
}
