package target

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/membership"
)

// probeAll starts a probe of every known instance and lets old answers
// expire. A probe that gets no answer does not hold up the next one.
func (w *Watcher) probeAll(ctx context.Context) {
	var due []membership.Key
	w.update(cause{reason: noAnswer}, func(t *membership.Table) { due = t.Keys() })
	for _, k := range due {
		go w.probeHealth(ctx, k)
		go w.probeLoad(ctx, k)
	}
}

// health is what a target says of itself.
type health struct {
	Status      string `json:"status"`
	Incarnation string `json:"incarnation"` // differs for each start of the process; optional
}

func (w *Watcher) probeHealth(ctx context.Context, k membership.Key) {
	p := membership.Probe{Key: k, Sent: time.Now()}
	var h health
	err := w.get(ctx, k.Address, "/-/health", &h)
	if ctx.Err() != nil {
		return
	}
	p.Outcome = outcomeOf(err)
	p.Incarnation, p.Leaving = h.Incarnation, h.Status == membership.StatusLeaving
	reason := "probe answered"
	switch {
	case err != nil:
		reason = err.Error()
	case p.Leaving:
		reason = "its own health answer"
	}
	w.update(cause{k, reason}, func(t *membership.Table) { t.ApplyProbe(p) })
}

// outcomeOf classifies the error of a probe.
func outcomeOf(err error) membership.ProbeOutcome {
	switch {
	case err == nil:
		return membership.Answered
	case errors.Is(err, syscall.ECONNREFUSED):
		return membership.Refused
	case errors.Is(err, errBadProbe):
		return membership.Failing
	}
	return membership.NoAnswer
}

// load is a target's load report.
type load struct {
	InProgress int `json:"in_progress"`
	Slots      int `json:"slots"`
}

// probeLoad reads the load report. A failed read leaves the last report in
// use until it is too old.
func (w *Watcher) probeLoad(ctx context.Context, k membership.Key) {
	sent := time.Now()
	var l load
	if err := w.get(ctx, k.Address, "/-/load", &l); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.targets[k] != nil && !sent.Before(w.loads[k].sent) {
		w.loads[k] = loadReport{reportedLoad(l), sent}
	}
}

func reportedLoad(l load) float64 {
	if l.Slots <= 0 {
		return unknownLoad
	}
	return min(float64(l.InProgress)/float64(l.Slots), 1)
}

func (w *Watcher) get(ctx context.Context, addr, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := w.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxProbeBytes)
	if resp.StatusCode >= http.StatusInternalServerError {
		_, _ = io.Copy(io.Discard, body) // so that the connection is used again
		return errBadProbe
	}
	return json.NewDecoder(body).Decode(out)
}
