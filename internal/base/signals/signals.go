// Package signals receives the signals that stop a process or make it reload its
// settings, from the start of the process to its exit.
//
// Only the main packages of long-running processes import it: a program that
// imports it is no longer ended by SIGHUP, SIGTERM, SIGINT or SIGPIPE. SIGQUIT and
// SIGABRT still end it at once, with a dump of its goroutines; the Go runtime
// ignores the other signals whose default action ends a process and that it does
// not raise for faults of the program itself.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// The signals are registered while the packages are initialised and stay
// registered until the process exits. An unregistered SIGHUP ends the process, and
// callers lose their requests if it arrives during start-up or a graceful stop.
var (
	reload = notify(syscall.SIGHUP)
	stop   = notify(syscall.SIGTERM, syscall.SIGINT)
	// An unregistered SIGPIPE ends the process when it writes its log to a pipe
	// whose reader has ended, such as a log collector that is stopped first.
	_ = notify(syscall.SIGPIPE)
)

// notify returns a channel that receives sigs. A signal is dropped if an earlier
// one has not been taken from the channel yet.
func notify(sigs ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, sigs...)
	return c
}

// Reload returns the channel of SIGHUP, which asks to read the settings again. It
// also receives a signal that arrived before the call.
func Reload() <-chan os.Signal { return reload }

// StopContext returns a context that ends at the first SIGTERM or SIGINT. Later
// ones are only logged, because the graceful stop is limited in time by itself.
// It must be called once.
func StopContext(log *logrus.Entry) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		log.WithField("signal", (<-stop).String()).Info("stop requested by a signal")
		cancel()
		for sig := range stop {
			log.WithField("signal", sig.String()).Info("signal ignored: the stop is in progress")
		}
	}()
	return ctx
}
