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

// Identity returns the replica identity stored in dir, or "" if dir holds none.
// The identity is created and lost together with the log. A replica that has lost
// its vote therefore has a new identity, and no identity votes twice in a term.
func Identity(fsys FS, dir string) (string, error) {
	data, err := fsys.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", storageError(err, "read the replica identity")
	}
	id, sum, _ := strings.Cut(strings.TrimSuffix(string(data), "\n"), " ")
	if id == "" || sum != identityChecksum(id) {
		return "", corruptLogError(dir, "file %s is damaged", filepath.Join(dir, identityFile))
	}
	return id, nil
}

func identityChecksum(id string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(id)) }

func writeIdentity(fsys FS, dir, id string) error {
	return writeFile(fsys, dir, identityFile, []byte(id+" "+identityChecksum(id)+"\n"))
}

// writeFile replaces the file name in dir by data, atomically and durably.
func writeFile(fsys FS, dir, name string, data []byte) error {
	tmp := filepath.Join(dir, name+tmpSuffix)
	f, err := fsys.Create(tmp)
	if err != nil {
		return storageError(err, "create %s", tmp)
	}
	if err := writeSyncClose(f, data); err != nil {
		return storageError(err, "write %s", tmp)
	}
	if err := fsys.Rename(tmp, filepath.Join(dir, name)); err != nil {
		return storageError(err, "rename %s", tmp)
	}
	if err := fsys.SyncDir(dir); err != nil {
		return storageError(err, "sync directory %s", dir)
	}
	return nil
}

// writeSyncClose writes data to f, syncs f and closes it.
func writeSyncClose(f File, data []byte) error {
	_, err := f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
