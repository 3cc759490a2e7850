package storage

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path"
	"slices"
	"syscall"
)

var errCrashed = errors.New("crashed")

// memFS is an FS in memory that simulates full disks, the end of the process and
// power losses. A power loss keeps the synced data of each file and at most
// tornBytes of its unsynced data.
type memFS struct {
	files           map[string]*memFile // files as the process sees them
	durable         map[string]*memFile // files whose directory entries were synced
	freeSpace       int                 // in bytes
	stepsUntilCrash int                 // number of operations; negative if no crash is due
	stepsUntilFull  int                 // number of operations that need space; negative if the disk does not become full
	tornBytes       int                 // number of unsynced bytes per file that survive a crash
}

type memFile struct {
	data   []byte
	synced int // number of bytes that are durable
	// dropped is set after a failed sync of unsynced data. As on Linux, the data
	// can then still be read, but a later sync does not write it.
	dropped bool
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, freeSpace: 1 << 30, stepsUntilCrash: -1, stepsUntilFull: -1}
}

// afterCrash returns the file system that a crash leaves behind.
func (m *memFS) afterCrash() *memFS {
	out := newMemFS()
	for name, f := range m.durable {
		kept := &memFile{data: slices.Clone(f.data[:min(len(f.data), f.synced+m.tornBytes)])}
		kept.synced = len(kept.data)
		out.files[name], out.durable[name] = kept, kept
	}
	return out
}

// mutate runs f as one operation that changes the disk. It returns errCrashed
// without running f if the crash is due.
func (m *memFS) mutate(f func()) error {
	if m.stepsUntilCrash == 0 {
		return errCrashed
	}
	m.stepsUntilCrash--
	f()
	return nil
}

// afterRestart returns the file system that a new process finds after the last one
// has ended without a power loss: all data can be read, but some is not durable.
func (m *memFS) afterRestart() *memFS {
	out := newMemFS()
	out.files, out.durable = m.files, m.durable
	return out
}

// allocate runs f as an operation that changes the disk and needs space. It returns
// ENOSPC without running f if the disk is full.
func (m *memFS) allocate(f func()) error {
	if m.stepsUntilFull == 0 {
		return syscall.ENOSPC
	}
	m.stepsUntilFull--
	return m.mutate(f)
}

type memHandle struct {
	fs *memFS
	f  *memFile
}

func (h memHandle) Write(p []byte) (n int, err error) {
	n = min(len(p), h.fs.freeSpace)
	if h.fs.stepsUntilFull == 0 {
		n = min(len(p), h.fs.tornBytes)
	}
	h.fs.freeSpace -= n
	h.f.data = append(h.f.data, p[:n]...) // also before a crash, which may leave a torn write
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, h.fs.allocate(func() {})
}

func (h memHandle) Sync() error {
	err := h.fs.allocate(func() {
		if !h.f.dropped {
			h.f.synced = len(h.f.data)
		}
	})
	h.f.dropped = h.f.dropped || errors.Is(err, syscall.ENOSPC) && h.f.synced < len(h.f.data)
	return err
}

func (h memHandle) Close() error { return nil }

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) ReadDir(string) ([]string, error) {
	names := slices.Sorted(maps.Keys(m.files))
	for i := range names {
		names[i] = path.Base(names[i])
	}
	return names, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if f := m.files[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) Create(name string) (File, error) {
	f := &memFile{}
	return memHandle{m, f}, m.allocate(func() { m.files[name] = f })
}

func (m *memFS) Append(name string) (File, error) { return memHandle{m, m.files[name]}, nil }

func (m *memFS) Rename(from, to string) error {
	return m.allocate(func() { m.files[to] = m.files[from]; delete(m.files, from) })
}

// Remove is durable at once: a real file system may persist it without SyncDir.
func (m *memFS) Remove(name string) error {
	return m.mutate(func() { delete(m.files, name); delete(m.durable, name) })
}

func (m *memFS) SyncDir(string) error {
	return m.allocate(func() { m.durable = maps.Clone(m.files) })
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }
