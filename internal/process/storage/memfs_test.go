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

// step counts one operation that changes the disk.
func (m *memFS) step() error {
	if m.steps == 0 {
		return errCrashed
	}
	m.steps--
	return nil
}

type handle struct {
	fs *memFS
	f  *memFile
}

func (h handle) Write(p []byte) (int, error) {
	if err := h.fs.step(); err != nil {
		h.f.data = append(h.f.data, p...) // may be torn
		return 0, err
	}
	n := min(len(p), h.fs.space)
	h.fs.space -= n
	h.f.data = append(h.f.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (h handle) Sync() error {
	if err := h.fs.step(); err != nil {
		return err
	}
	h.f.synced = len(h.f.data)
	return nil
}

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
	if err := m.step(); err != nil {
		return nil, err
	}
	f := &memFile{}
	m.files[name] = f
	return handle{m, f}, nil
}

func (m *memFS) Append(name string) (File, error) { return handle{m, m.files[name]}, nil }

func (m *memFS) Truncate(name string, size int64) error {
	f := m.files[name]
	f.data = f.data[:size]
	f.synced = len(f.data)
	return m.step()
}

func (m *memFS) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.files, name)
	delete(m.durable, name) // may last without a sync
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.files)
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }
