package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/fescuejunction/fescuejunction/internal/process/ring"
	"github.com/sirupsen/logrus"
)

// asyncLines bounds the log lines that wait for a slow reader of the log.
const asyncLines = 8192

// asyncWriter hands lines to a goroutine, so that a request never waits for
// the log. When the ring is full, lines are dropped and counted.
type asyncWriter struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewAsync returns a logger like New that writes in the background. Call
// the function that it returns before the process ends: it writes what waits.
func NewAsync(w io.Writer, level, program, instance string) (*logrus.Entry, func()) {
	a := &asyncWriter{lines: ring.New[[]byte](asyncLines)}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.run(ctx, w)
	}()
	return New(a, level, program, instance), func() {
		stop()
		<-done
	}
}

// Write takes over one line.
func (a *asyncWriter) Write(line []byte) (int, error) {
	if !a.lines.Offer(bytes.Clone(line)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *asyncWriter) run(ctx context.Context, w io.Writer) {
	for {
		line, err := a.lines.Take(ctx)
		if err != nil {
			break
		}
		a.write(w, line)
	}
	for a.lines.Len() > 0 {
		a.write(w, <-a.lines.C())
	}
}

func (a *asyncWriter) write(w io.Writer, line []byte) {
	_, _ = w.Write(line)
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
}
