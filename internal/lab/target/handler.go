package target

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/lab/answer"
	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
	"github.com/fescuejunction/fescuejunction/internal/lab/serve"
)

// Request headers that the system and the load generator send to targets, and
// response headers that targets set.
const (
	headerRequestID = "Fescue-Request-Id"
	headerDeadline  = "Fescue-Deadline-Ms"
	headerShift     = "Fescue-Shift"
	headerNotRun    = "Fescue-Not-Run"
	headerLeaving   = "Fescue-Leaving"
	headerPause     = "Fescue-Pause-Ms"
	headerKey       = "Idempotency-Key"
	HeaderWork      = "Lab-Work-Ms"      // service time that the caller asks for, milliseconds
	HeaderSize      = "Lab-Answer-Bytes" // length of the answer that the caller asks for
	HeaderCall      = "Lab-Call"         // identifier that the load generator gave the call
	HeaderAttempt   = "Lab-Attempt"      // number of the attempt at the call
)

// Handler returns the HTTP interface of the target.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/health", t.health)
	mux.HandleFunc("GET /-/load", t.load)
	mux.HandleFunc("GET /-/control", t.showControl)
	mux.HandleFunc("POST /-/control", t.changeControl)
	mux.HandleFunc("/", t.serveRequest)
	return mux
}

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	rec := newRecord(r)
	b, ok := t.admit(r.Context(), &rec)
	if !ok {
		t.writeRefusal(w, b, rec.RequestID)
		return
	}
	started := time.Now()
	rec.BodyBytes, _ = io.Copy(io.Discard, r.Body)
	ctx, cancel := withDeadline(r.Context(), rec.DeadlineMs)
	defer cancel()
	if b.Hang {
		simulateWork(r.Context(), 0, true) // a hanging target ignores the deadline
	} else {
		simulateWork(ctx, t.workTime(requestedWork(r)), false)
	}
	own := reply{requestID: rec.RequestID, body: answer.Body(rec.RequestID, rec.URI, requestedSize(r))}
	if b.Swap {
		own = t.swap.exchange(ctx, own)
	}
	rec.Cancelled = r.Context().Err() != nil
	rec.Expired = !rec.Cancelled && ctx.Err() != nil
	t.releaseSlot(rec, time.Since(started))
	t.writeAnswer(w, b, rec, own)
}

func (t *Target) writeAnswer(w http.ResponseWriter, b Behaviour, rec journal.Target, own reply) {
	w.Header().Set(headerRequestID, own.requestID)
	t.setLeavingHeader(w)
	switch {
	case rec.Cancelled:
		panic(http.ErrAbortHandler)
	case rec.Expired:
		http.Error(w, "deadline exceeded during the work", http.StatusGatewayTimeout)
	case b.Fail:
		http.Error(w, "failure set by control", http.StatusInternalServerError)
	default:
		writeBody(w, own.body, b.Truncation)
	}
}

func writeBody(w http.ResponseWriter, body []byte, short string) {
	w.Header().Set("Content-Type", "text/plain")
	promised, sent := len(body), body
	if short != "" {
		sent = body[:len(body)/2]
	}
	if short == truncationClean {
		promised = len(sent)
	}
	w.Header().Set("Content-Length", strconv.Itoa(promised))
	_, _ = w.Write(sent)
	if short == truncationBroken {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // closes the connection before the promised length
	}
}

// writeRefusal answers a request that was not run. An entry believes the refusal on a
// kept connection only if it names the request.
func (t *Target) writeRefusal(w http.ResponseWriter, b Behaviour, requestID string) {
	w.Header().Set(headerRequestID, requestID)
	w.Header().Set(headerNotRun, "true")
	t.setLeavingHeader(w)
	if b.Pause != "" {
		w.Header().Set(headerPause, b.Pause)
		http.Error(w, "no requests are wanted for a while", http.StatusServiceUnavailable)
		return
	}
	http.Error(w, "every slot is taken", http.StatusServiceUnavailable)
}

// setLeavingHeader announces that the target leaves, if it does at this moment.
func (t *Target) setLeavingHeader(w http.ResponseWriter) {
	if t.currentBehaviour().AnnounceLeaving {
		w.Header().Set(headerLeaving, "true")
	}
}

func newRecord(r *http.Request) journal.Target {
	deadline, _ := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	attempt, _ := strconv.Atoi(r.Header.Get(HeaderAttempt))
	return journal.Target{
		Call:       r.Header.Get(HeaderCall),
		Attempt:    attempt,
		RequestID:  r.Header.Get(headerRequestID),
		Key:        r.Header.Get(headerKey),
		Shift:      r.Header.Get(headerShift),
		Method:     r.Method,
		URI:        r.RequestURI,
		DeadlineMs: deadline,
	}
}

func withDeadline(ctx context.Context, ms int64) (context.Context, context.CancelFunc) {
	if ms <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// simulateWork waits for the service time d, or until ctx ends. If hang is
// set, it waits until ctx ends.
func simulateWork(ctx context.Context, d time.Duration, hang bool) {
	if hang {
		<-ctx.Done()
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func requestedWork(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64)
	if err != nil || ms < 0 {
		return -1
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func requestedSize(r *http.Request) int {
	size, _ := strconv.Atoi(r.Header.Get(HeaderSize))
	return size
}

func (t *Target) health(w http.ResponseWriter, r *http.Request) {
	if !t.awaitProbeDelay(r.Context()) {
		return
	}
	b := t.currentBehaviour()
	switch {
	case b.Down:
		serve.JSON(w, http.StatusServiceUnavailable, map[string]string{"status": "down"})
	case b.Leaving:
		serve.JSON(w, http.StatusOK, map[string]string{"status": "leaving"})
	default:
		serve.JSON(w, http.StatusOK, map[string]string{"status": "ok"})
	}
}

func (t *Target) load(w http.ResponseWriter, r *http.Request) {
	if !t.awaitProbeDelay(r.Context()) {
		return
	}
	serve.JSON(w, http.StatusOK, t.loadReport())
}

// awaitProbeDelay waits for the configured probe delay and reports whether the
// probe is still to be answered. With stop_reports set it waits until ctx ends.
func (t *Target) awaitProbeDelay(ctx context.Context) bool {
	t.recordProbe()
	simulateWork(ctx, t.spec.ProbeDelay.AsDuration(), t.currentBehaviour().StopReports)
	return ctx.Err() == nil
}

func (t *Target) showControl(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, t.currentBehaviour())
}

func (t *Target) changeControl(w http.ResponseWriter, r *http.Request) {
	c := controlRequest{Behaviour: t.currentBehaviour()}
	if c.FalseReport != nil { // decoding must not write into the report that concurrent probes read
		lie := *c.FalseReport
		c.FalseReport = &lie
	}
	if !serve.Decode(w, r, &c) {
		return
	}
	if c.Truncation != "" && c.Truncation != truncationBroken && c.Truncation != truncationClean {
		http.Error(w, `short must be "", "broken" or "clean"`, http.StatusBadRequest)
		return
	}
	if c.SlowFactor <= 0 {
		http.Error(w, "slow_factor must be positive", http.StatusBadRequest)
		return
	}
	serve.JSON(w, http.StatusOK, t.apply(c))
}

// Status describes one target in the answer to GET /status.
type Status struct {
	Report
	MaxInProgress int       `json:"most_in_progress"`
	Served        int64     `json:"served"`
	Shed          int64     `json:"shed"`
	Connections   int       `json:"connections"`
	Refused       int64     `json:"refused_connections"`
	Behaviour     Behaviour `json:"behaviour"`
}

// Status returns the present state.
func (t *Target) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Status{
		Report:        t.currentReport(),
		MaxInProgress: t.maxInProgress,
		Served:        t.served,
		Shed:          t.shed,
		Connections:   t.connections,
		Refused:       t.refused,
		Behaviour:     t.behaviour,
	}
}
