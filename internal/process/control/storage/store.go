// Package storage keeps the log, the hard state and the snapshots of a
// replica in a data directory. What a method has saved is durable when it
// returns without an error. After an error the store refuses all further
// saves: the state of the file is unknown until it is read again.
package storage

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/sirupsen/logrus"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

const (
	segmentSuffix = ".wal"
	lockFile      = "lock"
	// segmentSize is the size in bytes at which a new segment is started.
	segmentSize = 8 << 20
)

// Store is the open data directory of a replica. It is not safe for
// concurrent use.
type Store struct {
	fs       FS
	dir      string
	log      *logrus.Entry
	lock     io.Closer
	segments []string // names, oldest first
	file     File     // last segment
	size     int64    // of the last segment, in bytes
	seq      uint64   // next sequence number
	hard     raft.HardState
	err      error // first failure
}

// Create makes dir the data directory of a new replica with identity id and
// initial state st. The identity is written last, so that an interrupted
// Create is repeated as a whole.
func Create(fsys FS, dir, id string, st raft.State, log *logrus.Entry) error {
	s, err := lock(fsys, dir, log)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.checkUnused(); err != nil {
		return err
	}
	if err := s.restart(st); err != nil {
		return err
	}
	return writeIdentity(fsys, dir, id)
}

// Open reads the data directory that Create made.
func Open(fsys FS, dir string, log *logrus.Entry) (*Store, raft.State, error) {
	s, err := lock(fsys, dir, log)
	if err != nil {
		return nil, raft.State{}, err
	}
	st, err := s.load()
	if err == nil {
		err = s.reopen()
	}
	if err != nil {
		s.Close()
		return nil, raft.State{}, err
	}
	s.hard = st.HardState
	return s, st, nil
}

func lock(fsys FS, dir string, log *logrus.Entry) (*Store, error) {
	if err := fsys.MkdirAll(dir); err != nil {
		return nil, failed(err, "create data directory %s", dir)
	}
	l, err := fsys.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, failed(err, "lock data directory %s; another process may use it", dir)
	}
	return &Store{fs: fsys, dir: dir, log: log, lock: l}, nil
}

// checkUnused refuses a directory without identity that holds more than an
// interrupted Create leaves behind.
func (s *Store) checkUnused() error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return failed(err, "list %s", s.dir)
	}
	logs := 0
	for _, name := range names {
		if strings.HasSuffix(name, snapSuffix) || strings.HasSuffix(name, segmentSuffix) && name != segmentName(1) {
			logs++
		}
	}
	if logs > 0 {
		return corrupt(s.dir, "there is a log but the file %s is missing", identityFile)
	}
	return nil
}

// reopen continues the last segment.
func (s *Store) reopen() error {
	if s.file != nil {
		return nil
	}
	path := filepath.Join(s.dir, s.segments[len(s.segments)-1])
	f, err := s.fs.Append(path)
	if err != nil {
		return failed(err, "open segment %s", path)
	}
	s.file = f
	return nil
}

// Save makes the state of rd durable.
func (s *Store) Save(rd raft.Ready) error {
	if s.err != nil {
		return s.err
	}
	if !rd.MustSave() {
		return nil
	}
	if rd.HardState != nil {
		s.hard = *rd.HardState
	}
	s.err = s.save(rd)
	return s.err
}

func (s *Store) save(rd raft.Ready) error {
	if rd.Snapshot != nil {
		return s.rewrite(raft.State{
			HardState: s.hard, Snapshot: rd.Snapshot, Entries: rd.Entries,
			Offset: rd.Snapshot.Meta.Index, OffsetTerm: rd.Snapshot.Meta.Term,
		})
	}
	if s.size >= segmentSize {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	return s.write(s.record(rd.Entries))
}

// Compact saves the snapshot of st and replaces the log by the rest of st.
func (s *Store) Compact(st raft.State) error {
	if s.err != nil {
		return s.err
	}
	s.hard = st.HardState
	s.err = s.rewrite(st)
	return s.err
}

func (s *Store) rewrite(st raft.State) error {
	if err := s.saveSnapshot(st.Snapshot); err != nil {
		return err
	}
	if err := s.restart(st); err != nil {
		return err
	}
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return failed(err, "list %s", s.dir)
	}
	keep := snapName(st.Snapshot.Meta.Index)
	return s.removeFiles(names, func(name string) bool {
		return strings.HasSuffix(name, snapSuffix) && name != keep
	})
}

// restart begins a new segment that does not depend on earlier ones, and
// removes those.
func (s *Store) restart(st raft.State) error {
	s.hard = st.HardState
	old := s.segments
	if err := s.rotate(); err != nil {
		return err
	}
	rec := s.record(st.Entries)
	rec.Snapshot = &pb.SnapshotMeta{Index: st.Offset, Term: st.OffsetTerm}
	if err := s.write(rec); err != nil {
		return err
	}
	s.segments = s.segments[len(old):]
	return s.removeFiles(old, func(name string) bool { return name != s.segments[0] })
}

func segmentName(seq uint64) string { return fmt.Sprintf("%016x%s", seq, segmentSuffix) }

// rotate starts an empty segment.
func (s *Store) rotate() error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return failed(err, "close a segment in %s", s.dir)
		}
		s.file = nil
	}
	s.seq = max(s.seq, 1)
	name := segmentName(s.seq)
	f, err := s.fs.Create(filepath.Join(s.dir, name))
	if err != nil {
		return failed(err, "create segment %s", name)
	}
	s.file, s.size = f, 0
	s.segments = append(s.segments, name)
	if err := s.fs.SyncDir(s.dir); err != nil {
		return failed(err, "sync directory %s", s.dir)
	}
	return nil
}

func (s *Store) record(entries []*pb.LogEntry) *record {
	return &record{Term: s.hard.Term, From: s.hard.Vote, Commit: s.hard.Commit, Entries: entries}
}

// write appends rec to the last segment and syncs it.
func (s *Store) write(rec *record) error {
	frame, err := encodeFrame(s.seq, rec)
	if err != nil {
		return failed(err, "encode a record")
	}
	if _, err := s.file.Write(frame); err != nil {
		return failed(err, "write to the log in %s", s.dir)
	}
	if err := s.file.Sync(); err != nil {
		return failed(err, "sync the log in %s", s.dir)
	}
	s.seq++
	s.size += int64(len(frame))
	return nil
}

// Close releases the directory.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
		s.file = nil
	}
	if s.lock != nil {
		s.lock.Close()
		s.lock = nil
	}
	return err
}
