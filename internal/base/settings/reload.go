package settings

import (
	"context"
	"os"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/filewatch"
	"github.com/sirupsen/logrus"
)

// reloadInterval is how often the file is checked for a change.
const reloadInterval = time.Second

// checkerPointer is a pointer to a settings type T that implements Checker.
type checkerPointer[T any] interface {
	*T
	Checker
}

// Watch reads the settings file again when reload receives a signal and when the
// file changes, until ctx ends, and sends the valid settings on the channel. If the
// settings are invalid, it logs the problems and sends nothing, so that the earlier
// ones stay in force.
func Watch[T any, P checkerPointer[T]](ctx context.Context, file string, reload <-chan os.Signal, log *logrus.Entry) <-chan P {
	out := make(chan P)
	watcher := filewatch.New(file)
	go func() {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			reason := "signal"
			select {
			case <-reload:
			case now := <-ticker.C:
				if !watcher.Changed(now) {
					continue
				}
				reason = "file changed"
			case <-ctx.Done():
				return
			}
			next := P(new(T))
			if err := Load(file, next); err != nil {
				log.WithError(err).WithField("reason", reason).Error("settings not reloaded; the earlier ones stay in force")
				continue
			}
			log.WithField("reason", reason).Info("settings reloaded")
			select {
			case out <- next:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// SetLevel applies the level to a running logger.
func (l Log) SetLevel(log *logrus.Entry) {
	level, err := logrus.ParseLevel(l.Level)
	if err != nil {
		level = logrus.InfoLevel // the default for an empty level; Check rejects unknown ones
	}
	log.Logger.SetLevel(level)
}
