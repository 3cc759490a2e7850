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

// Headers that the system sends to targets, and those of the load tool.
const (
	headerRequestID = "Fescue-Request-Id"
	headerDeadline  = "Fescue-Deadline-Ms"
	headerShift     = "Fescue-Shift"
	headerNotRun    = "Fescue-Not-Run"
	headerKey       = "Idempotency-Key"
	HeaderWork      = "Lab-Work-Ms"      // service time that the caller asks for, milliseconds
	HeaderSize      = "Lab-Answer-Bytes" // length of the answer that the caller asks for
	HeaderCall      = "Lab-Call"         // the load tool's name of the request
	HeaderAttempt   = "Lab-Attempt"      // the number of the attempt at it
)

// Handler returns the HTTP interface of the target.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/health", t.health)
	mux.HandleFunc("GET /-/load", t.load)
	mux.HandleFunc("GET /-/control", t.showControl)
	mux.HandleFunc("POST /-/control", t.changeControl)
	mux.HandleFunc("/", t.serve)
	return mux
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	rec := recordOf(r)
	b, ok := t.admit(r.Context(), &rec)
	if !ok {
		shed(w)
		return
	}
	started := time.Now()
	rec.BodyBytes, _ = io.Copy(io.Discard, r.Body)
	ctx, cancel := withDeadline(r.Context(), rec.DeadlineMs)
	defer cancel()
	if b.Hang {
		work(r.Context(), 0, true) // a hung target does not watch deadlines
	} else {
		work(ctx, t.workTime(askedWork(r)), false)
	}
	own := reply{requestID: rec.RequestID, body: answer.Body(rec.RequestID, rec.URI, askedSize(r))}
	if b.Swap {
		own = t.swap.exchange(ctx, own)
	}
	rec.Cancelled = r.Context().Err() != nil
	rec.Expired = !rec.Cancelled && ctx.Err() != nil
	t.release(rec, time.Since(started))
	t.answer(w, b, rec, own)
}

func (t *Target) answer(w http.ResponseWriter, b Behaviour, rec journal.Target, own reply) {
	w.Header().Set(headerRequestID, own.requestID)
	switch {
	case rec.Cancelled:
		panic(http.ErrAbortHandler)
	case rec.Expired:
		http.Error(w, "deadline exceeded during the work", http.StatusGatewayTimeout)
	case b.Fail:
		http.Error(w, "failure set by control", http.StatusInternalServerError)
	default:
		writeBody(w, own.body, b.Short)
	}
}

func writeBody(w http.ResponseWriter, body []byte, short string) {
	w.Header().Set("Content-Type", "text/plain")
	promised, sent := len(body), body
	if short != "" {
		sent = body[:len(body)/2]
	}
	if short == shortClean {
		promised = len(sent)
	}
	w.Header().Set("Content-Length", strconv.Itoa(promised))
	_, _ = w.Write(sent)
	if short == shortBroken {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // closes the connection before the promised length
	}
}

func shed(w http.ResponseWriter) {
	w.Header().Set(headerNotRun, "true")
	http.Error(w, "every slot is taken", http.StatusServiceUnavailable)
}

func recordOf(r *http.Request) journal.Target {
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

// work waits for the service time, or until ctx ends.
func work(ctx context.Context, d time.Duration, hang bool) {
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

func askedWork(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64)
	if err != nil || ms < 0 {
		return -1
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func askedSize(r *http.Request) int {
	size, _ := strconv.Atoi(r.Header.Get(HeaderSize))
	return size
}

func (t *Target) health(w http.ResponseWriter, r *http.Request) {
	if !t.probe(r.Context()) {
		return
	}
	b := t.current()
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
	if !t.probe(r.Context()) {
		return
	}
	serve.JSON(w, http.StatusOK, t.report())
}

// probe waits as long as a probe takes and reports whether it is answered.
func (t *Target) probe(ctx context.Context) bool {
	work(ctx, t.spec.ProbeDelay.AsDuration(), t.current().StopReports)
	return ctx.Err() == nil
}

func (t *Target) showControl(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, t.current())
}

func (t *Target) changeControl(w http.ResponseWriter, r *http.Request) {
	c := control{Behaviour: t.current()}
	if c.Lie != nil { // decoding must not write into the report in use
		lie := *c.Lie
		c.Lie = &lie
	}
	if !serve.Decode(w, r, &c) {
		return
	}
	if c.Short != "" && c.Short != shortBroken && c.Short != shortClean {
		http.Error(w, `short must be "", "broken" or "clean"`, http.StatusBadRequest)
		return
	}
	if c.SlowFactor <= 0 {
		http.Error(w, "slow_factor must be positive", http.StatusBadRequest)
		return
	}
	serve.JSON(w, http.StatusOK, t.apply(c))
}

// Status is the part of /status about one target.
type Status struct {
	Report
	MostInProgress int       `json:"most_in_progress"`
	Served         int64     `json:"served"`
	Shed           int64     `json:"shed"`
	Connections    int       `json:"connections"`
	Refused        int64     `json:"refused_connections"`
	Behaviour      Behaviour `json:"behaviour"`
}

// Status returns the present state.
func (t *Target) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Status{
		Report:         t.present(),
		MostInProgress: t.most,
		Served:         t.served,
		Shed:           t.shed,
		Connections:    t.connections,
		Refused:        t.refused,
		Behaviour:      t.behaviour,
	}
}
