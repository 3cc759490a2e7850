// Package storage stores the log, the hard state and the snapshots of a replica
// in a data directory. When a method that saves returns without an error, the
// saved data is durable. After an error the store refuses all further saves,
// because the content of the file is unknown until the file is read again.
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
	// segmentSize is the size in bytes at or above which a segment is full, so
	// that the next save starts a new one.
	segmentSize = 8 << 20
)

// Store is the open data directory of a replica. It is not safe for
// concurrent use.
type Store struct {
	fs        FS
	dir       string
	log       *logrus.Entry
	lock      io.Closer
	segments  []string // file names, oldest first
	file      File     // last segment, open for appending
	size      int64    // size of the last segment in bytes
	seq       uint64   // sequence number of the next record
	hardState raft.HardState
	err       error // first failure of a save; every later save returns it
}

// Create initializes dir as the data directory of a new replica with identity id
// and initial state st. The identity is written last: if Create is interrupted,
// Identity finds none and the caller can repeat Create.
func Create(fsys FS, dir, id string, st raft.State, log *logrus.Entry) error {
	s, err := lock(fsys, dir, log)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.checkUnused(); err != nil {
		return err
	}
	if err := s.restartLog(st); err != nil {
		return err
	}
	return writeIdentity(fsys, dir, id)
}

// Open opens a data directory that Create has initialized and returns the stored
// state. The error has kind CorruptLog if the data is damaged, otherwise
// StorageFailed.
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
	s.hardState = st.HardState
	return s, st, nil
}

func lock(fsys FS, dir string, log *logrus.Entry) (*Store, error) {
	if err := fsys.MkdirAll(dir); err != nil {
		return nil, storageError(err, "create data directory %s", dir)
	}
	l, err := fsys.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, storageError(err, "lock data directory %s; another process may use it", dir)
	}
	return &Store{fs: fsys, dir: dir, log: log, lock: l}, nil
}

// checkUnused returns an error if the directory, which has no identity, holds
// snapshots or segments that an interrupted Create cannot have left behind.
func (s *Store) checkUnused() error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return storageError(err, "list %s", s.dir)
	}
	leftovers := 0
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) || strings.HasSuffix(name, segmentSuffix) && name != segmentName(1) {
			leftovers++
		}
	}
	if leftovers > 0 {
		return corruptLogError(s.dir, "there is a log but the file %s is missing", identityFile)
	}
	return nil
}

// reopen opens the last segment for appending.
func (s *Store) reopen() error {
	if s.file != nil {
		return nil
	}
	path := filepath.Join(s.dir, s.segments[len(s.segments)-1])
	f, err := s.fs.Append(path)
	if err != nil {
		return storageError(err, "open segment %s", path)
	}
	s.file = f
	return nil
}

// Save makes the state of rd durable. After a failure it returns the same error
// on every call.
func (s *Store) Save(rd raft.Ready) error {
	if s.err != nil {
		return s.err
	}
	if !rd.MustSave() {
		return nil
	}
	if rd.HardState != nil {
		s.hardState = *rd.HardState
	}
	s.err = s.save(rd)
	return s.err
}

func (s *Store) save(rd raft.Ready) error {
	if rd.Snapshot != nil {
		return s.rewrite(raft.State{
			HardState: s.hardState, Snapshot: rd.Snapshot, Entries: rd.Entries,
			Offset: rd.Snapshot.Meta.Index, OffsetTerm: rd.Snapshot.Meta.Term,
		})
	}
	if s.size >= segmentSize {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	return s.write(s.newRecord(rd.Entries))
}

// Compact saves the snapshot of st and replaces the log by the hard state and
// the entries of st.
func (s *Store) Compact(st raft.State) error {
	if s.err != nil {
		return s.err
	}
	s.hardState = st.HardState
	s.err = s.rewrite(st)
	return s.err
}

func (s *Store) rewrite(st raft.State) error {
	if err := s.saveSnapshot(st.Snapshot); err != nil {
		return err
	}
	if err := s.restartLog(st); err != nil {
		return err
	}
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return storageError(err, "list %s", s.dir)
	}
	keep := snapshotName(st.Snapshot.Meta.Index)
	return s.removeFiles(names, func(name string) bool {
		return strings.HasSuffix(name, snapshotSuffix) && name != keep
	})
}

// restartLog writes st to a new segment that does not depend on earlier segments,
// and then removes the earlier ones.
func (s *Store) restartLog(st raft.State) error {
	s.hardState = st.HardState
	old := s.segments
	if err := s.rotate(); err != nil {
		return err
	}
	rec := s.newRecord(st.Entries)
	rec.Snapshot = &pb.SnapshotMeta{Index: st.Offset, Term: st.OffsetTerm}
	if err := s.write(rec); err != nil {
		return err
	}
	s.segments = s.segments[len(old):]
	return s.removeFiles(old, func(name string) bool { return name != s.segments[0] })
}

func segmentName(seq uint64) string { return fmt.Sprintf("%016x%s", seq, segmentSuffix) }

// rotate closes the last segment and creates an empty one.
func (s *Store) rotate() error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return storageError(err, "close a segment in %s", s.dir)
		}
		s.file = nil
	}
	s.seq = max(s.seq, 1)
	name := segmentName(s.seq)
	f, err := s.fs.Create(filepath.Join(s.dir, name))
	if err != nil {
		return storageError(err, "create segment %s", name)
	}
	s.file, s.size = f, 0
	s.segments = append(s.segments, name)
	if err := s.fs.SyncDir(s.dir); err != nil {
		return storageError(err, "sync directory %s", s.dir)
	}
	return nil
}

func (s *Store) newRecord(entries []*pb.LogEntry) *record {
	return &record{Term: s.hardState.Term, From: s.hardState.Vote, Commit: s.hardState.Commit, Entries: entries}
}

// write appends rec to the last segment and syncs the segment.
func (s *Store) write(rec *record) error {
	frame, err := encodeFrame(s.seq, rec)
	if err != nil {
		return storageError(err, "encode a record")
	}
	if _, err := s.file.Write(frame); err != nil {
		return storageError(err, "write to the log in %s", s.dir)
	}
	if err := s.file.Sync(); err != nil {
		return storageError(err, "sync the log in %s", s.dir)
	}
	s.seq++
	s.size += int64(len(frame))
	return nil
}

// Close closes the last segment and releases the lock of the data directory.
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
