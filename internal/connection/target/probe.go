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

// probeAll starts the probes of every known instance and removes expired
// answers from the view. The probes run concurrently, so one without an answer
// does not delay the next round. A target that wants no requests for a while is
// not probed and keeps its state.
func (w *Watcher) probeAll(ctx context.Context) {
	var keys []membership.Key
	w.update(cause{reason: reasonNoAnswer}, func(t *membership.Table) {
		pausing := w.pausingAddrs()
		for _, k := range t.Keys() {
			if pausing[k.Address] {
				t.Hold(k, time.Now())
				continue
			}
			keys = append(keys, k)
		}
	})
	for _, k := range keys {
		go w.probeHealth(ctx, k)
		go w.probeLoad(ctx, k)
	}
}

// pausingAddrs returns the addresses of the targets that want no requests for a
// while. The probes of an earlier target at such an address would reach them too.
// The caller holds w.mu.
func (w *Watcher) pausingAddrs() map[string]bool {
	out := map[string]bool{}
	for k := range w.targets {
		if w.Pausing != nil && w.Pausing(k.ID, k.Address) {
			out[k.Address] = true
		}
	}
	return out
}

// healthResponse is the JSON body of a target's response to a health probe.
type healthResponse struct {
	Status      string `json:"status"`
	Incarnation string `json:"incarnation"` // identifier that differs for each start of the process; optional
}

// probeHealth sends one health probe and enters its result in the table.
func (w *Watcher) probeHealth(ctx context.Context, k membership.Key) {
	p := membership.Probe{Key: k, Sent: time.Now()}
	var h healthResponse
	err := w.getJSON(ctx, k.Address, "/-/health", &h)
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
		reason = "health probe answered with leaving"
	}
	w.update(cause{k, reason}, func(t *membership.Table) { t.ApplyProbe(p) })
}

// outcomeOf returns the outcome that corresponds to the error of a probe.
func outcomeOf(err error) membership.ProbeOutcome {
	switch {
	case err == nil:
		return membership.Answered
	case errors.Is(err, syscall.ECONNREFUSED):
		return membership.Refused
	case errors.Is(err, errProbeServerError):
		return membership.Failing
	}
	return membership.NoAnswer
}

// loadResponse is the JSON body of a target's response to a load probe.
type loadResponse struct {
	InProgress int `json:"in_progress"`
	Slots      int `json:"slots"`
}

// probeLoad reads the load report of a target. If that fails, the previous
// report stays in use until it is older than reportFreshFor. A response to an
// earlier probe does not replace a later report.
func (w *Watcher) probeLoad(ctx context.Context, k membership.Key) {
	sent := time.Now()
	var l loadResponse
	if err := w.getJSON(ctx, k.Address, "/-/load", &l); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.targets[k] != nil && !sent.Before(w.loadReports[k].sent) {
		w.loadReports[k] = loadReport{reportedLoad(l), sent}
	}
}

// reportedLoad returns the fraction of a target's slots that are in use, at
// most 1, or unknownLoad if the report states no slots.
func reportedLoad(l loadResponse) float64 {
	if l.Slots <= 0 {
		return unknownLoad
	}
	return min(float64(l.InProgress)/float64(l.Slots), 1)
}

// getJSON sends a GET request to a target and decodes the JSON response into out.
// It returns errProbeServerError for a status of 500 or above.
func (w *Watcher) getJSON(ctx context.Context, addr, path string, out any) error {
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
	// A response that breaks off proves nothing, even if it begins with a whole JSON value.
	// Read to its end, it lets the connection be reused.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBytes+1))
	switch {
	case err != nil:
		return err
	case resp.StatusCode >= http.StatusInternalServerError:
		return errProbeServerError
	case len(body) > maxProbeBytes:
		return errProbeTooLong
	}
	return json.Unmarshal(body, out)
}
