// Package chunkstore keeps the chunks of the client-block table as files that
// are named by their hash.
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

const incompleteSuffix = ".part" // of files that are not complete

// Store is a directory of chunks. It is safe for concurrent use.
type Store struct {
	dir string
	fs  storage.OS
}

// Open creates the directory if it does not exist. The error has kind
// StorageFailed.
func Open(dir string) (*Store, error) {
	s := &Store{dir: dir}
	if err := s.fs.MkdirAll(dir); err != nil {
		return nil, errkind.Wrap(errkind.StorageFailed, err, "create the chunk directory")
	}
	return s, nil
}

func (s *Store) path(h blocks.Hash) string { return filepath.Join(s.dir, hex.EncodeToString(h[:])) }

// Has reports whether the store holds a chunk.
func (s *Store) Has(h blocks.Hash) bool {
	_, err := os.Stat(s.path(h))
	return err == nil
}

// Get returns a chunk. The error has kind NotFound, also if the file is
// damaged; it is removed then, so that it is fetched again.
func (s *Store) Get(h blocks.Hash) ([]byte, error) {
	data, err := s.fs.ReadFile(s.path(h))
	if err != nil {
		return nil, errkind.New(errkind.NotFound, "chunk %x is not here", h[:8])
	}
	if sha256.Sum256(data) != h {
		_ = s.fs.Remove(s.path(h))
		return nil, errkind.New(errkind.NotFound, "chunk %x was damaged on disk", h[:8])
	}
	return data, nil
}

// Put stores chunks; they are durable on return. The error has kind
// StorageFailed, or CorruptLog if a chunk doesn't match its hash.
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

// Prune removes the chunks that are not in keep and older than age; younger
// ones may belong to a table that is about to be accepted.
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
			_ = s.fs.Remove(path) // tried again at the next change
		}
	}
	return nil
}
