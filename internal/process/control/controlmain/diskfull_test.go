package controlmain

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Guards against a process that ends repeatedly while its disk is full, and against
// one that restarts the replica after a different storage failure.
func TestRerunAfterDiskFull(t *testing.T) {
	full := errkind.Wrap(errkind.StorageFailed, &os.PathError{Op: "write", Path: "wal", Err: syscall.ENOSPC}, "write to the log")
	broken := errkind.Wrap(errkind.StorageFailed, syscall.EIO, "write to the log")
	for name, tc := range map[string]struct {
		ends   []error // results of the runs
		full   int     // checks without free space after each run
		runs   int
		result error
	}{
		"run ends without error":              {[]error{nil}, 0, 1, nil},
		"disk full once":                      {[]error{full, nil}, 2, 2, nil},
		"disk full twice":                     {[]error{full, full, nil}, 0, 3, nil},
		"different failure":                   {[]error{broken}, 0, 1, broken},
		"different failure after a full disk": {[]error{full, broken}, 1, 2, broken},
		"cancelled after a full disk":         {[]error{full, context.Canceled}, 1, 2, context.Canceled},
	} {
		runs, tries := 0, 0
		err := rerunAfterDiskFull(t.Context(), logging.Discard(), func() error {
			runs, tries = runs+1, 0
			return tc.ends[runs-1]
		}, func() error {
			if tries++; tries <= tc.full {
				return full
			}
			return nil
		})
		if runs != tc.runs || !errors.Is(err, tc.result) {
			t.Errorf("%s: %d runs and %v, want %d and %v", name, runs, err, tc.runs, tc.result)
		}
	}
}

// Guards against a stop of the process that waits for free disk space.
func TestStopWhileDiskFull(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	err := rerunAfterDiskFull(ctx, logging.Discard(), func() error { return syscall.ENOSPC }, func() error {
		cancel()
		return syscall.ENOSPC
	})
	if err != nil {
		t.Error(err)
	}
}

// Guards against a check of the disk space that does not remove its file.
func TestCheckDiskSpace(t *testing.T) {
	dir := t.TempDir()
	if err := checkDiskSpace(dir); err != nil {
		t.Fatal(err)
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) > 0 {
		t.Errorf("files left: %v, %v", files, err)
	}
}
