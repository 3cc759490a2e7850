package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/filewatch"
	"github.com/sirupsen/logrus"
)

// reloadInterval is how often the file is looked at for a change without a
// signal.
const reloadInterval = time.Second

// checkedPointer is a pointer to a settings type.
type checkerPointer[T any] interface {
	*T
	Checker
}

// Follow reads the settings file again on SIGHUP and when it changes, until
// ctx ends, and hands out what is valid. Settings that are not valid are logged
// and leave the earlier ones in force.
func Watch[T any, P checkerPointer[T]](ctx context.Context, file string, log *logrus.Entry) <-chan P {
	out := make(chan P)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	watch := filewatch.New(file)
	go func() {
		defer signal.Stop(hup)
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			reason := "signal"
			select {
			case <-hup:
			case now := <-ticker.C:
				if !watch.Changed(now) {
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

// SetLevel puts a reloaded log level in force.
func (l Log) SetLevel(log *logrus.Entry) {
	level, err := logrus.ParseLevel(l.Level)
	if err != nil {
		level = logrus.InfoLevel // the default; Check has refused unknown levels
	}
	log.Logger.SetLevel(level)
}
