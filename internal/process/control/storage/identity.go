package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const identityFile = "identity"

// Identity returns the identity stored in dir, or "" if dir holds none. The
// identity is created with the data directory and is lost with it, so a
// replica never votes twice in a term under one identity.
func Identity(fsys FS, dir string) (string, error) {
	data, err := fsys.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", failed(err, "read the replica identity")
	}
	id, sum, _ := strings.Cut(strings.TrimSuffix(string(data), "\n"), " ")
	if id == "" || sum != identitySum(id) {
		return "", corrupt(dir, "file %s is damaged", filepath.Join(dir, identityFile))
	}
	return id, nil
}

func identitySum(id string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(id)) }

func writeIdentity(fsys FS, dir, id string) error {
	return writeFile(fsys, dir, identityFile, []byte(id+" "+identitySum(id)+"\n"))
}

// writeFile replaces a file atomically and durably.
func writeFile(fsys FS, dir, name string, data []byte) error {
	tmp := filepath.Join(dir, name+tmpSuffix)
	f, err := fsys.Create(tmp)
	if err != nil {
		return failed(err, "create %s", tmp)
	}
	if err := writeSync(f, data); err != nil {
		return failed(err, "write %s", tmp)
	}
	if err := fsys.Rename(tmp, filepath.Join(dir, name)); err != nil {
		return failed(err, "rename %s", tmp)
	}
	if err := fsys.SyncDir(dir); err != nil {
		return failed(err, "sync directory %s", dir)
	}
	return nil
}

// writeSync writes data, syncs and closes f.
func writeSync(f File, data []byte) error {
	_, err := f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
