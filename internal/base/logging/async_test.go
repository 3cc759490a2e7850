package logging

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// Guards against log lines that are lost at a regular end of the process.
func TestAsyncWritesEverything(t *testing.T) {
	var out bytes.Buffer
	log, flush := NewAsync(&out, "info", "test", "i1")
	for range 1000 {
		log.Info("line")
	}
	flush()
	if got := strings.Count(out.String(), "\n"); got != 1000 {
		t.Fatalf("%d lines written, want 1000", got)
	}
}

// blockingWriter is a writer that blocks until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(p)
}

// Guards against a process that blocks because nobody reads its log, against
// rejections that are dropped because routine lines fill the queue, and against
// dropped lines that are not counted.
func TestAsyncDropsRoutineLinesFirst(t *testing.T) {
	w := &blockingWriter{open: make(chan struct{})}
	log, flush := NewAsync(w, "info", "test", "i1")
	began := time.Now()
	for range 2 * queueCapacity {
		Routine(log, logrus.Fields{}, "routine")
	}
	for range 1000 {
		log.Info("refused")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("logging took %v without a reader", took)
	}
	close(w.open)
	flush()
	text := w.String()
	if got := strings.Count(text, `"msg":"refused"`); got != 1000 {
		t.Errorf("%d refusals written, want 1000", got)
	}
	routine := strings.Count(text, `"msg":"routine"`)
	if routine == 0 || routine > routineCapacity+1 {
		t.Errorf("%d routine lines written, at most %d fit", routine, routineCapacity)
	}
	if !strings.Contains(text, `"lines":0,"routine_lines":`) || strings.ContainsRune(text, routinePrefix) {
		t.Error("dropped lines are not counted, or the routine prefix was written")
	}
}

// Guards against a log whose rate of lines grows with the load without bound.
func TestAsyncBoundsTheRateOfRoutineLines(t *testing.T) {
	log, flush := NewAsync(io.Discard, "info", "test", "i1")
	defer flush()
	a := log.Logger.Out.(*asyncWriter)
	droppedLines := int64(0)
	for n := 0; n < 2*routineBurst; n++ {
		Routine(log, logrus.Fields{}, "routine")
		for a.queue.Len() > routineCapacity/2 { // keeps the queue from filling, so that only the rate limit drops lines
			time.Sleep(time.Millisecond)
		}
		droppedLines += a.resetDropped().routine
	}
	if droppedLines == 0 {
		t.Error("no routine line was dropped")
	}
}

// Guards against a process that does not end because nobody reads its log.
func TestFlushWithoutAReader(t *testing.T) {
	w := &blockingWriter{open: make(chan struct{})}
	defer close(w.open)
	log, flush := NewAsync(w, "info", "test", "i1")
	log.Info("line")
	began := time.Now()
	flush()
	if took := time.Since(began); took > 5*closeTimeout {
		t.Errorf("flush took %v", took)
	}
}

// countingWriter counts the calls of Write.
type countingWriter struct {
	writes int
	text   bytes.Buffer
}

func (w *countingWriter) Write(b []byte) (int, error) {
	w.writes++
	return w.text.Write(b)
}

// Guards against one system call per request for its log lines: routine lines must
// be written together.
func TestRoutineLinesAreWrittenTogether(t *testing.T) {
	const lines = 200
	out := &countingWriter{}
	log, flush := NewAsync(out, "info", "test", "i1")
	for range lines {
		Routine(log, logrus.Fields{}, "routine")
		time.Sleep(routineDelay / lines)
	}
	flush()
	if out.writes > lines/4 || strings.Count(out.text.String(), "\n") != lines {
		t.Errorf("%d lines in %d writes", strings.Count(out.text.String(), "\n"), out.writes)
	}
}

// Guards against a rejection that is missing from the log of a killed process
// because its line waited to be written together with routine lines.
func TestOtherLinesAreWrittenImmediately(t *testing.T) {
	out := make(chanWriter, 10)
	log, flush := NewAsync(out, "info", "test", "i1")
	defer flush()
	Routine(log, logrus.Fields{}, "routine")
	log.Info("refused")
	if first := <-out; !strings.Contains(first, "refused") {
		t.Errorf("the first write is %q, without the refusal", first)
	}
}

// chanWriter sends the text of each write on the channel.
type chanWriter chan string

func (c chanWriter) Write(b []byte) (int, error) {
	c <- string(b)
	return len(b), nil
}

// Guards against log lines in which tools cannot find a field by its pattern, or
// in which a field is encoded differently.
func TestLineFormat(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, "", "test", "i1")
	log.WithFields(logrus.Fields{"error": errors.New("no \"route\""), "n": 3, "ms": 0.5, "list": []string{"a"},
		"took": 2 * time.Second, "whole": true}).Warn("line")
	text, rest, _ := strings.Cut(out.String(), `"time":"`)
	at, rest, _ := strings.Cut(rest, `",`)
	if _, err := time.Parse(time.RFC3339Nano, at); err != nil {
		t.Error(err)
	}
	// Fields are in the order of their names, because patterns in scripts depend on it.
	const before = `{"error":"no \"route\"","instance":"i1","level":"warning","list":["a"],"ms":0.5,"msg":"line","n":3,"program":"test",`
	const after = `"took":"2s","whole":true}` + "\n"
	if text != before || rest != after {
		t.Errorf("line is %s", out.String())
	}
}
