package chunkstore

import (
	"crypto/sha256"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
)

func chunk(text string) blocks.Chunk {
	return blocks.Chunk{Hash: sha256.Sum256([]byte(text)), Data: []byte(text)}
}

// Guards against chunks that are returned although they do not match their hash, and
// against a Prune that removes chunks that are in use or too young.
func TestStore(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "blocks")
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	a, b, c := chunk("a"), chunk("b"), chunk("c")
	if err := s.Put([]blocks.Chunk{a, b, c}); err != nil {
		t.Fatal(err)
	}
	if err := s.Put([]blocks.Chunk{{Hash: a.Hash, Data: []byte("b")}}); errkind.Of(err) != errkind.CorruptLog {
		t.Errorf("chunk that does not match its hash: %v", err)
	}
	if data, err := s.Get(a.Hash); err != nil || string(data) != "a" {
		t.Errorf("get: %q, %v", data, err)
	}
	if err := os.WriteFile(s.path(b.Hash), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Get(b.Hash); errkind.Of(err) != errkind.NotFound || s.Has(b.Hash) {
		t.Errorf("damaged chunk: %v", err)
	}
	keep := map[blocks.Hash]bool{a.Hash: true}
	if err := s.Prune(keep, time.Hour); err != nil || !s.Has(c.Hash) {
		t.Errorf("young chunk was removed: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "1.part"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := s.Prune(keep, 0); err != nil || !s.Has(a.Hash) || s.Has(c.Hash) {
		t.Errorf("prune: %v", err)
	}
	if names, _ := os.ReadDir(dir); len(names) != 1 {
		t.Errorf("%d files left", len(names))
	}
}
