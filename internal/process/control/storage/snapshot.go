package storage

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

const (
	snapshotSuffix = ".snap"
	tmpSuffix      = ".tmp"
)

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

func (s *Store) saveSnapshot(snap *raft.Snapshot) error {
	data, err := encodeFrame(snap.Meta.Index, &record{Snapshot: snap.Meta, SnapshotData: snap.Data})
	if err != nil {
		return storageError(err, "encode the snapshot")
	}
	return writeFile(s.fs, s.dir, snapshotName(snap.Meta.Index), data)
}

// loadSnapshot returns the newest snapshot, or nil if there is none. It removes
// older snapshots and incomplete temporary files.
func (s *Store) loadSnapshot(names []string) (*raft.Snapshot, error) {
	newest := ""
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) {
			newest = max(newest, name)
		}
	}
	if err := s.removeFiles(names, func(name string) bool {
		return strings.HasSuffix(name, tmpSuffix) || strings.HasSuffix(name, snapshotSuffix) && name != newest
	}); err != nil {
		return nil, err
	}
	if newest == "" {
		return nil, nil
	}
	path := filepath.Join(s.dir, newest)
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return nil, storageError(err, "read snapshot %s", path)
	}
	rec, _, size, ok := decodeFrame(data)
	if !ok || size != len(data) || rec.Snapshot == nil {
		return nil, corruptLogError(s.dir, "snapshot %s is damaged", path)
	}
	return &raft.Snapshot{Meta: rec.Snapshot, Data: rec.SnapshotData}, nil
}

func (s *Store) removeFiles(names []string, drop func(string) bool) error {
	var errs error
	for _, name := range names {
		if drop(name) {
			errs = errors.Join(errs, s.fs.Remove(filepath.Join(s.dir, name)))
		}
	}
	if errs != nil {
		return storageError(errs, "remove old files in %s", s.dir)
	}
	return nil
}
