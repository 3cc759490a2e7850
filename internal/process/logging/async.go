package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/process/ring"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// asyncLines bounds the log lines that wait for a slow reader of the log.
	asyncLines = 8192
	// routineLines of those may be routine ones: refusals, failures and changes of
	// belief still find room behind them.
	routineLines = asyncLines / 2
	// routineRate bounds the routine lines per second, with routineBurst at once. It
	// is several times the requests that an entry of a third of a core serves.
	routineRate  = 2000
	routineBurst = 4000
	// closeTimeout bounds the writing of what waits when the process ends.
	closeTimeout = time.Second
)

// routineMark begins a routine line on its way to the writer, which takes it
// off. JSON lines begin with a brace.
const routineMark = 0

type routineKey struct{}

// Routine returns an entry whose lines are the first to be dropped when there
// are too many: those that tell of the usual course of a request.
func Routine(e *logrus.Entry) *logrus.Entry {
	return e.WithContext(routineContext)
}

var routineContext = context.WithValue(context.Background(), routineKey{}, true)

// markRoutine is a formatter that marks routine lines for asyncWriter.
type markRoutine struct{ logrus.Formatter }

// Format formats an entry.
func (f markRoutine) Format(e *logrus.Entry) ([]byte, error) {
	line, err := f.Formatter.Format(e)
	if err != nil || e.Context == nil || e.Context.Value(routineKey{}) == nil {
		return line, err
	}
	return append([]byte{routineMark}, line...), nil
}

// dropped counts the lines that were not written.
type dropped struct{ routine, other int64 }

// asyncWriter hands lines to a goroutine, so that a request never waits for
// the log. Lines that find no room are dropped and counted, routine ones first.
type asyncWriter struct {
	lines *ring.Ring[[]byte]
	limit *rate.Limiter // of routine lines

	mu      sync.Mutex
	dropped dropped
}

// NewAsync returns a logger like New that writes in the background. Call
// the function that it returns before the process ends: it writes what waits.
func NewAsync(w io.Writer, level, program, instance string) (*logrus.Entry, func()) {
	a := &asyncWriter{lines: ring.New[[]byte](asyncLines), limit: rate.NewLimiter(routineRate, routineBurst)}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.run(ctx, w)
	}()
	log := New(a, level, program, instance)
	log.Logger.SetFormatter(markRoutine{log.Logger.Formatter})
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
	routine := len(line) > 0 && line[0] == routineMark
	text := line
	if routine {
		text = line[1:]
	}
	fits := !routine || a.lines.Len() < routineLines && a.limit.Allow()
	if !fits || !a.lines.Offer(bytes.Clone(text)) {
		a.drop(routine)
	}
	return len(line), nil
}

func (a *asyncWriter) drop(routine bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if routine {
		a.dropped.routine++
		return
	}
	a.dropped.other++
}

// takeDropped returns what was dropped since the last call.
func (a *asyncWriter) takeDropped() dropped {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.dropped
	a.dropped = dropped{}
	return d
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

// write writes a line. There is nowhere to report that the log itself cannot be
// written.
func (a *asyncWriter) write(w io.Writer, line []byte) {
	_, _ = w.Write(line)
	if d := a.takeDropped(); d != (dropped{}) {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d,\"routine_lines\":%d,\"time\":%q}\n",
			d.other, d.routine, time.Now().Format(time.RFC3339Nano))
	}
}
