// Package chunkstore stores the chunks of the client-block table as files that are
// named by their hash.
package chunkstore

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/storage"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
)

// incompleteSuffix is the suffix of chunk files that are still being written.
const incompleteSuffix = ".part"

// Store is a directory of chunks. It is safe for concurrent use.
type Store struct {
	dir string
	fs  storage.OS
}

// Open returns the store in dir and creates the directory if it does not exist. The
// error has kind StorageFailed.
func Open(dir string) (*Store, error) {
	s := &Store{dir: dir}
	if err := s.fs.MkdirAll(dir); err != nil {
		return nil, errkind.Wrap(errkind.StorageFailed, err, "create the chunk directory")
	}
	return s, nil
}

func (s *Store) path(h blocks.Hash) string { return filepath.Join(s.dir, hex.EncodeToString(h[:])) }

// Has reports whether the store contains a chunk.
func (s *Store) Has(h blocks.Hash) bool {
	_, err := os.Stat(s.path(h))
	return err == nil
}

// Get returns a chunk. The error has kind NotFound if the store does not contain it
// or its file is damaged. A damaged file is removed, so that the chunk is fetched
// again.
func (s *Store) Get(h blocks.Hash) ([]byte, error) {
	data, err := s.fs.ReadFile(s.path(h))
	if err != nil {
		return nil, errkind.New(errkind.NotFound, "chunk %x is not in the store", h[:8])
	}
	if sha256.Sum256(data) != h {
		_ = s.fs.Remove(s.path(h))
		return nil, errkind.New(errkind.NotFound, "the file of chunk %x was damaged and has been removed", h[:8])
	}
	return data, nil
}

// Put stores chunks and returns when they are durable. The error has kind
// StorageFailed, or CorruptLog if a chunk does not match its hash.
func (s *Store) Put(chunks []blocks.Chunk) error {
	for _, c := range chunks {
		if sha256.Sum256(c.Data) != c.Hash {
			return errkind.New(errkind.CorruptLog, "chunk %x does not match its hash", c.Hash[:8])
		}
		if err := s.write(c); err != nil {
			return errkind.Wrap(errkind.StorageFailed, err, "write a chunk")
		}
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return errkind.Wrap(errkind.StorageFailed, err, "sync the chunk directory")
	}
	return nil
}

// write writes a chunk to a temporary file, syncs it and renames it, so that a chunk
// file is never incomplete.
func (s *Store) write(c blocks.Chunk) error {
	f, err := os.CreateTemp(s.dir, "*"+incompleteSuffix)
	if err != nil {
		return err
	}
	_, err = f.Write(c.Data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = s.fs.Rename(f.Name(), s.path(c.Hash))
	}
	if err != nil {
		_ = s.fs.Remove(f.Name())
	}
	return err
}

// Prune removes the chunks that are not in keep, and incomplete files, if they are at
// least as old as age. Younger chunks may belong to a table that is about to be
// accepted.
func (s *Store) Prune(keep map[blocks.Hash]bool, age time.Duration) error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return errkind.Wrap(errkind.StorageFailed, err, "list the chunks")
	}
	for _, name := range names {
		var h blocks.Hash
		raw, err := hex.DecodeString(name)
		validName := err == nil && len(raw) == len(h)
		copy(h[:], raw)
		if !validName && !strings.HasSuffix(name, incompleteSuffix) || validName && keep[h] {
			continue
		}
		path := filepath.Join(s.dir, name)
		if info, err := os.Stat(path); err == nil && time.Since(info.ModTime()) >= age {
			_ = s.fs.Remove(path) // retried at the next Prune
		}
	}
	return nil
}
