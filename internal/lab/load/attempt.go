package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/lab/answer"
	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// Outcomes that the load generator assigns itself, in addition to the error
// kinds of answers.
const (
	kindConnectFailed  = "caller_connect_failed"  // no connection was opened, so the request did not run
	kindConnectionLost = "caller_connection_lost" // the connection ended before the answer was complete
	kindTimeout        = "caller_timeout"         // no complete answer in time
	kindWrongAnswer    = "caller_wrong_answer"    // the answer was complete but is truncated, crossed or mislabelled
	kindNoEntry        = "caller_no_entry"        // no look-up succeeded
	kindBadErrorBody   = "caller_bad_error_body"  // an error without the documented JSON body
	kindTargetStatus   = "target_status_"         // prefix of an error status that the target itself returned
)

// timeoutGrace is the time beyond the deadline for which the caller still
// waits for an answer.
const timeoutGrace = time.Second

// outcome is the result of one attempt.
type outcome struct {
	rec        journal.Caller
	retryAfter time.Duration
}

// errorBody is the JSON body of an error.
type errorBody struct {
	Kind      string `json:"kind"`
	Message   string `json:"message"`
	DidRun    string `json:"did_run"`
	RequestID string `json:"request_id"`
}

// sendAttempt sends one request of call c to p and classifies the result.
func (g *generator) sendAttempt(ctx context.Context, c *call, p destination, key string, n int, left time.Duration) outcome {
	rec := journal.Caller{
		Call:      c.name,
		Service:   c.route.Service,
		Route:     c.route.Name,
		Shift:     c.shift,
		Key:       key,
		Attempt:   n,
		Entry:     p.address,
		Intended:  g.start.Add(c.at).UnixNano(),
		BodyBytes: int64(c.route.BodyBytes),
		Sent:      journal.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, left+timeoutGrace)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := g.request(httptrace.WithClientTrace(ctx, trace), c, p, key, n, left)
	if err != nil {
		rec.Kind, rec.Detail = kindNoEntry, err.Error()
		return outcome{rec: rec}
	}
	resp, err := g.client.Do(req)
	if err != nil {
		rec.Done = journal.Now()
		return outcome{rec: transportFailure(rec, err, connected.Load())}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	rec.Done = journal.Now()
	rec.Status = resp.StatusCode
	rec.AnswerSize = len(body)
	rec.RequestID = resp.Header.Get("Fescue-Request-Id")
	if err != nil {
		return outcome{rec: transportFailure(rec, err, true)}
	}
	return g.classify(rec, c, req, resp, body)
}

func (g *generator) request(ctx context.Context, c *call, p destination, key string, n int, left time.Duration) (*http.Request, error) {
	var body io.Reader
	if c.route.BodyBytes > 0 {
		body = bytes.NewReader(make([]byte, c.route.BodyBytes))
	}
	uri := "http://" + p.address + c.route.Path + "?call=" + c.name
	req, err := http.NewRequestWithContext(ctx, c.route.Method, uri, body)
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set("Fescue-Service", c.route.Service)
	h.Set("Fescue-Shift", c.shift)
	h.Set("Fescue-Deadline-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	h.Set("Lab-Call", c.name)
	h.Set("Lab-Attempt", strconv.Itoa(n))
	if key != "" {
		h.Set("Idempotency-Key", key)
	}
	if c.work > 0 {
		h.Set("Lab-Work-Ms", strconv.FormatFloat(float64(c.work)/float64(time.Millisecond), 'f', 3, 64))
	}
	if c.route.AnswerBytes > 0 {
		h.Set("Lab-Answer-Bytes", strconv.Itoa(c.route.AnswerBytes))
	}
	if g.settings.Mode == Direct {
		h.Set("Fescue-Request-Id", c.name+"-"+strconv.Itoa(n))
	}
	return req, nil
}

func transportFailure(rec journal.Caller, err error, connected bool) journal.Caller {
	rec.Detail = err.Error()
	rec.DidRun = string(errkind.Unknown)
	switch {
	case !connected:
		rec.Kind, rec.DidRun = kindConnectFailed, string(errkind.No)
	case errors.Is(err, context.DeadlineExceeded):
		rec.Kind = kindTimeout
	default:
		rec.Kind = kindConnectionLost
	}
	return rec
}

// classify records the kind and outcome of an answer that was received
// completely.
func (g *generator) classify(rec journal.Caller, c *call, req *http.Request, resp *http.Response, body []byte) outcome {
	out := outcome{rec: rec}
	if resp.StatusCode/100 == 2 {
		out.rec.DidRun = string(errkind.Yes)
		if err := checkAnswer(c, req, resp, body); err != nil {
			out.rec.Kind, out.rec.Wrong = kindWrongAnswer, err.Error()
		}
		return out
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if g.settings.Mode == Direct {
		out.rec.Kind, out.rec.DidRun = classifyDirect(resp)
		return out
	}
	if resp.Header.Get("Fescue-Target") != "" {
		out.rec.Kind, out.rec.DidRun = kindTargetStatus+strconv.Itoa(resp.StatusCode), string(errkind.Yes)
		return out
	}
	var e errorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Kind == "" {
		out.rec.Kind, out.rec.DidRun = kindBadErrorBody, string(errkind.Unknown)
		out.rec.Detail = fmt.Sprintf("status %d: %.200s", resp.StatusCode, body)
		return out
	}
	out.rec.Kind, out.rec.DidRun, out.rec.Detail = e.Kind, e.DidRun, e.Message
	out.rec.Wrong = errorInconsistency(e, resp)
	return out
}

func checkAnswer(c *call, req *http.Request, resp *http.Response, body []byte) error {
	id, err := answer.Check(body, req.URL.RequestURI())
	if err != nil {
		return err
	}
	// A stored outcome of an at-most-once route carries the identifier of the
	// attempt that ran.
	if got := resp.Header.Get("Fescue-Request-Id"); !c.route.AtMostOnce && got != "" && got != id {
		return fmt.Errorf("answer was made for request %q but is labelled %q", id, got)
	}
	return nil
}

// errorInconsistency describes how the fields of an error answer contradict
// each other. It returns "" if they agree.
func errorInconsistency(e errorBody, resp *http.Response) string {
	want := errkind.Kind(e.Kind).Response()
	notRun := resp.Header.Get("Fescue-Not-Run") == "true"
	switch {
	case notRun != (e.DidRun == string(errkind.No)):
		return fmt.Sprintf("did_run %q disagrees with Fescue-Not-Run %t", e.DidRun, notRun)
	case want.Status != resp.StatusCode:
		return fmt.Sprintf("kind %s came with status %d, not %d", e.Kind, resp.StatusCode, want.Status)
	}
	return ""
}

func classifyDirect(resp *http.Response) (kind, didRun string) {
	switch {
	case resp.Header.Get("Fescue-Not-Run") == "true":
		return string(errkind.TargetShed), string(errkind.No)
	case resp.StatusCode == http.StatusGatewayTimeout:
		return string(errkind.DeadlineExceeded), string(errkind.Unknown)
	}
	return string(errkind.TargetFailed), string(errkind.Yes)
}
