package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against log lines that are lost when the process ends.
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

// gate is a writer that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Buffer.Write(p)
}

// Guards against a process that waits for a reader of its log, against refusals
// that are dropped because routine lines fill the queue, and against lines that
// are dropped without being counted.
func TestAsyncDropsRoutineLinesFirst(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	log, flush := NewAsync(g, "info", "test", "i1")
	began := time.Now()
	for range 2 * asyncLines {
		Routine(log).Info("routine")
	}
	for range 1000 {
		log.Info("refused")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("logging took %v without a reader", took)
	}
	close(g.open)
	flush()
	text := g.String()
	if got := strings.Count(text, `"msg":"refused"`); got != 1000 {
		t.Errorf("%d refusals written, want 1000", got)
	}
	routine := strings.Count(text, `"msg":"routine"`)
	if routine == 0 || routine > routineLines+1 {
		t.Errorf("%d routine lines written, at most %d fit", routine, routineLines)
	}
	if !strings.Contains(text, `"lines":0,"routine_lines":`) || strings.ContainsRune(text, routineMark) {
		t.Error("dropped lines are not counted, or the mark was written")
	}
}

// Guards against a log that grows with the load.
func TestAsyncBoundsTheRateOfRoutineLines(t *testing.T) {
	log, flush := NewAsync(io.Discard, "info", "test", "i1")
	defer flush()
	a := log.Logger.Out.(*asyncWriter)
	lost := int64(0)
	for n := 0; n < 2*routineBurst; n++ {
		Routine(log).Info("routine")
		for a.lines.Len() > routineLines/2 { // the queue is not what binds
			time.Sleep(time.Millisecond)
		}
		lost += a.takeDropped().routine
	}
	if lost == 0 {
		t.Error("no routine line was dropped")
	}
}

// Guards against an end of the process that waits for a reader of the log.
func TestFlushWithoutAReader(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	defer close(g.open)
	log, flush := NewAsync(g, "info", "test", "i1")
	log.Info("line")
	began := time.Now()
	flush()
	if took := time.Since(began); took > 5*closeTimeout {
		t.Errorf("the end took %v", took)
	}
}
