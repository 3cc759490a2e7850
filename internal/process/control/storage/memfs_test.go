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

// memFS is a file system in memory. A crash keeps what was synced and a
// random part of the rest of one write.
type memFS struct {
	files   map[string]*memFile // as seen by the process
	durable map[string]*memFile // directory entries that were synced
	space   int                 // bytes left on the disk
	steps   int                 // operations until the process crashes; negative: never
	torn    int                 // bytes of unsynced data that survive a crash
}

type memFile struct {
	data   []byte
	synced int // bytes that survive a crash
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, space: 1 << 30, steps: -1}
}

// restart returns the file system as it is after a crash.
func (m *memFS) restart() *memFS {
	out := newMemFS()
	for name, f := range m.durable {
		kept := &memFile{data: slices.Clone(f.data[:min(len(f.data), f.synced+m.torn)])}
		kept.synced = len(kept.data)
		out.files[name], out.durable[name] = kept, kept
	}
	return out
}

// do runs one operation that changes the disk.
func (m *memFS) do(f func()) error {
	if m.steps == 0 {
		return errCrashed
	}
	m.steps--
	f()
	return nil
}

type handle struct {
	fs *memFS
	f  *memFile
}

func (h handle) Write(p []byte) (n int, err error) {
	n = min(len(p), h.fs.space)
	h.fs.space -= n
	h.f.data = append(h.f.data, p[:n]...) // may be torn, so also if it crashes
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, h.fs.do(func() {})
}

func (h handle) Sync() error  { return h.fs.do(func() { h.f.synced = len(h.f.data) }) }
func (h handle) Close() error { return nil }

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
	return handle{m, f}, m.do(func() { m.files[name] = f })
}

func (m *memFS) Append(name string) (File, error) { return handle{m, m.files[name]}, nil }

func (m *memFS) Truncate(name string, size int64) error {
	f := m.files[name]
	return m.do(func() { f.data, f.synced = f.data[:size], int(size) })
}

func (m *memFS) Rename(from, to string) error {
	return m.do(func() { m.files[to] = m.files[from]; delete(m.files, from) })
}

// Remove may last without a sync.
func (m *memFS) Remove(name string) error {
	return m.do(func() { delete(m.files, name); delete(m.durable, name) })
}

func (m *memFS) SyncDir(string) error { return m.do(func() { m.durable = maps.Clone(m.files) }) }

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }
