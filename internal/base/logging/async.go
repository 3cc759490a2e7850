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
	// queueCapacity bounds the log lines that wait while the reader of the log is
	// slow.
	queueCapacity = 8192
	// routineCapacity is how many lines may wait before routine lines are dropped. The
	// rest of the queue is for rejections, failures and changes of the cluster view.
	routineCapacity = queueCapacity / 2
	// routineRate bounds the routine lines per second, and routineBurst those at once.
	// The rate is several times the requests per second that an entry with a third of
	// a core serves.
	routineRate  = 2000
	routineBurst = 4000
	// routineDelay is how long a routine line may wait to be written together with
	// others. A killed process loses at most the routine lines of this time.
	routineDelay = 50 * time.Millisecond
	// maxWriteBytes is the size in bytes above which waiting lines are written in
	// several parts.
	maxWriteBytes = 64 << 10
	// closeTimeout bounds the write of the waiting lines when the process ends.
	closeTimeout = time.Second
)

// routinePrefix is the byte with which the formatter marks a routine line for the
// writer, which removes it. It cannot begin a JSON line, which begins with a brace.
const routinePrefix = 0

// routineKey is the context key that marks the entries of routine lines.
type routineKey struct{}

// Routine logs a line about the normal course of a request at level info. Such
// lines are dropped before others if there are too many lines. Routine adds the
// fields of e to the map fields, which the caller must not use afterwards.
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

// dropCounts counts the lines that were dropped.
type dropCounts struct{ routine, other int64 }

// asyncWriter passes lines to a goroutine that writes them, so that a request never
// waits for the log. Lines that do not fit in the queue are dropped and counted,
// routine lines before others.
type asyncWriter struct {
	queue        *ring.Ring[[]byte]
	routineLimit *rate.Limiter // rate of routine lines
	flush        chan struct{} // signals that a line that is not routine waits
	taken        atomic.Int64  // lines taken from the queue but not written yet

	mu      sync.Mutex
	dropped dropCounts
}

// NewAsync returns a logger like New that writes in the background, and a function
// that writes the waiting lines. Call that function before the process ends; it
// returns after closeTimeout at the latest.
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
		case <-time.After(closeTimeout): // the reader of the log has stopped reading
		}
	}
}

// Write queues a copy of one line, or drops it if there is no space or it is a
// routine line above a limit. It never waits for space and never returns an error.
func (a *asyncWriter) Write(line []byte) (int, error) {
	routine := len(line) > 0 && line[0] == routinePrefix
	admitted := !routine || a.pending() < routineCapacity && a.routineLimit.Allow()
	if !admitted || !a.queue.Offer(bytes.Clone(line)) {
		a.countDropped(routine)
	}
	if !routine {
		select {
		case a.flush <- struct{}{}:
		default: // the writer has been signalled already
		}
	}
	return len(line), nil
}

// pending returns the number of lines that are not written yet.
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

// resetDropped returns the counts of lines dropped since the last call.
func (a *asyncWriter) resetDropped() dropCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.dropped
	a.dropped = dropCounts{}
	return d
}

// run writes lines until ctx ends, and then the waiting ones. Routine lines wait for
// up to routineDelay, so that one system call writes many of them.
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

// writeQueued writes line, the lines that wait in the queue and the counts of
// dropped lines. Errors of w are ignored, because the log itself is the only place
// to report them.
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
