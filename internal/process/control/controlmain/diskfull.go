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
	// roomInterval is how often a full disk is tried again.
	spaceCheckInterval = 250 * time.Millisecond
	// roomBytes must fit on the disk before the replica starts again: some changes
	// of the document.
	requiredSpace = 256 << 10
)

// overFullDisk runs a replica again after it has ended because its disk was
// full, once room reports that there is some. The replica starts from what it
// has synced, as after a restart of the process.
func rerunAfterDiskFull(ctx context.Context, log *logrus.Entry, run, checkSpace func() error) error {
	for {
		err := run()
		if !errors.Is(err, syscall.ENOSPC) || ctx.Err() != nil {
			return err
		}
		log.WithError(err).Error("the disk is full: the replica has stopped and starts again when there is room")
		for startedAt := time.Now(); ; {
			select {
			case <-time.After(spaceCheckInterval):
			case <-ctx.Done():
				return nil
			}
			if err := checkSpace(); err == nil {
				log.WithField("after_ms", time.Since(startedAt).Milliseconds()).Info("the disk has room again")
				break
			}
		}
	}
}

// hasRoom tries to write and sync a file in dir.
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
