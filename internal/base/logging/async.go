package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// asyncLines bounds the log lines that wait for a slow reader of the log.
	queueCapacity = 8192
	// routineLines of those may be routine ones: refusals, failures and changes of
	// belief still find room behind them.
	routineCapacity = queueCapacity / 2
	// routineRate bounds the routine lines per second, with routineBurst at once. It
	// is several times the requests that an entry of a third of a core serves.
	routineRate  = 2000
	routineBurst = 4000
	// routineDelay is how long a routine line may wait to be written together with
	// others: a killed process loses at most this much of them.
	routineDelay = 50 * time.Millisecond
	// writeBytes is the size above which what waits is written in several parts.
	maxWriteBytes = 64 << 10
	// closeTimeout bounds the writing of what waits when the process ends.
	closeTimeout = time.Second
)

// routineMark begins a routine line on its way to the writer, which takes it
// off. JSON lines begin with a brace.
const routinePrefix = 0

type routineKey struct{}

// Routine logs a line that is among the first to be dropped when there are too
// many: one that tells of the usual course of a request. It takes over fields
// and adds those of e.
func Routine(e *logrus.Entry, fields logrus.Fields, message string) {
	if !e.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	maps.Copy(fields, e.Data)
	line := logrus.Entry{Logger: e.Logger, Data: fields, Context: routineContext}
	line.Info(message)
}

var routineContext = context.WithValue(context.Background(), routineKey{}, true)

func isRoutine(e *logrus.Entry) bool {
	return e.Context != nil && e.Context.Value(routineKey{}) != nil
}

// dropped counts the lines that were not written.
type dropCounts struct{ routine, other int64 }

// asyncWriter hands lines to a goroutine, so that a request never waits for
// the log. Lines that find no room are dropped and counted, routine ones first.
type asyncWriter struct {
	queue        *ring.Ring[[]byte]
	routineLimit *rate.Limiter // of routine lines
	flush        chan struct{} // holds an item after a line that is not routine
	taken        atomic.Int64  // lines taken from the queue and not written yet

	mu      sync.Mutex
	dropped dropCounts
}

// NewAsync returns a logger like New that writes in the background. Call
// the function that it returns before the process ends: it writes what waits.
func NewAsync(w io.Writer, level, program, instance string) (*logrus.Entry, func()) {
	a := &asyncWriter{
		queue: ring.New[[]byte](queueCapacity), routineLimit: rate.NewLimiter(routineRate, routineBurst), flush: make(chan struct{}, 1),
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.run(ctx, w)
	}()
	log := New(a, level, program, instance)
	log.Logger.SetFormatter(newJSONFormatter(true))
	return log, func() {
		stop()
		select {
		case <-done:
		case <-time.After(closeTimeout): // nobody reads the log
		}
	}
}

// Write takes over one line.
func (a *asyncWriter) Write(line []byte) (int, error) {
	routine := len(line) > 0 && line[0] == routinePrefix
	admitted := !routine || a.pending() < routineCapacity && a.routineLimit.Allow()
	if !admitted || !a.queue.Offer(bytes.Clone(line)) {
		a.countDropped(routine)
	}
	if !routine {
		select {
		case a.flush <- struct{}{}:
		default: // the writer has been told
		}
	}
	return len(line), nil
}

// waiting returns the number of lines that are not written yet.
func (a *asyncWriter) pending() int { return a.queue.Len() + int(a.taken.Load()) }

func (a *asyncWriter) countDropped(routine bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if routine {
		a.dropped.routine++
		return
	}
	a.dropped.other++
}

// takeDropped returns what was dropped since the last call.
func (a *asyncWriter) resetDropped() dropCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.dropped
	a.dropped = dropCounts{}
	return d
}

// run writes lines until ctx ends, and then those that wait. Routine lines wait
// for up to routineDelay, so that many of them take one system call.
func (a *asyncWriter) run(ctx context.Context, w io.Writer) {
	for {
		line, err := a.queue.Take(ctx)
		if err != nil {
			break
		}
		select {
		case <-a.flush:
		case <-time.After(routineDelay):
		case <-ctx.Done():
		}
		a.writeQueued(w, line)
	}
	a.writeQueued(w, nil)
}

// writeAll writes line and those that wait behind it, and how many were dropped.
// There is nowhere to report that the log itself cannot be written.
func (a *asyncWriter) writeQueued(w io.Writer, line []byte) {
	var text []byte
	for {
		a.taken.Add(1)
		text = append(text, bytes.TrimPrefix(line, []byte{routinePrefix})...)
		if a.queue.Len() == 0 {
			break
		}
		if len(text) > maxWriteBytes {
			_, _ = w.Write(text)
			a.taken.Store(0)
			text = text[:0]
		}
		line = <-a.queue.C()
	}
	if d := a.resetDropped(); d != (dropCounts{}) {
		text = fmt.Appendf(text, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d,\"routine_lines\":%d,\"time\":%q}\n",
			d.other, d.routine, time.Now().Format(time.RFC3339Nano))
	}
	_, _ = w.Write(text)
	a.taken.Store(0)
}
