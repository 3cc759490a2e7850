package storage

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS contains the file system operations that the store uses. Tests implement it
// to inject failures.
type FS interface {
	MkdirAll(dir string) error
	ReadDir(dir string) ([]string, error) // base names, sorted
	ReadFile(name string) ([]byte, error)
	Create(name string) (File, error) // truncates an existing file
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	Lock(name string) (io.Closer, error) // fails if another process holds it
}

// File is a file open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// OS implements FS with the file system of the operating system.
type OS struct{}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MkdirAll creates dir and its parents and makes the entry of dir in its parent
// durable.
func (OS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	return OS{}.SyncDir(filepath.Dir(dir))
}

// ReadDir returns the names in dir, sorted.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// ReadFile returns the content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create opens an empty file for writing.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append opens a file for writing at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename renames a file. It replaces an existing file of the new name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the directory entries of dir durable.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock takes an exclusive lock on the file name, which it creates if necessary. It
// fails at once if another process holds the lock. The lock is released by Close
// or when the process ends.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}
