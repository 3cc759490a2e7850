package controlmain

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// spaceCheckInterval is how often the free space of a full disk is checked.
	spaceCheckInterval = 250 * time.Millisecond
	// requiredSpace is the number of bytes that must be writable before the replica
	// starts again. It is enough for some changes of the document.
	requiredSpace = 256 << 10
)

// rerunAfterDiskFull calls run, and calls it again each time it has ended because
// the disk was full, as soon as checkSpace returns no error. The replica starts
// from the data that it has synced, as after a restart of the process. It returns
// the error of run if that has another cause, and nil if ctx ends while the disk is
// full.
func rerunAfterDiskFull(ctx context.Context, log *logrus.Entry, run, checkSpace func() error) error {
	for {
		err := run()
		if !errors.Is(err, syscall.ENOSPC) || ctx.Err() != nil {
			return err
		}
		log.WithError(err).Error("disk full: the replica has stopped and restarts when there is free space")
		for startedAt := time.Now(); ; {
			select {
			case <-time.After(spaceCheckInterval):
			case <-ctx.Done():
				return nil
			}
			if err := checkSpace(); err == nil {
				log.WithField("after_ms", time.Since(startedAt).Milliseconds()).Info("disk has free space again; restarting the replica")
				break
			}
		}
	}
}

// checkDiskSpace returns an error unless it can write and sync a file of
// requiredSpace bytes in dir. It removes the file again.
func checkDiskSpace(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	name := filepath.Join(dir, "room.tmp")
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	_, err = f.Write(make([]byte, requiredSpace))
	return errors.Join(err, f.Sync(), f.Close(), os.Remove(name))
}
