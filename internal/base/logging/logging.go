// Package logging sets up the structured JSON log of a process.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// New returns a JSON logger that adds the program and instance to each line.
// An empty or unknown level means info.
func New(w io.Writer, level, program, instance string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(newJSONFormatter(false))
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	l.SetLevel(parsed)
	return l.WithFields(logrus.Fields{"program": program, "instance": instance})
}

// Discard returns a logger that writes nothing.
func Discard() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(l)
}
