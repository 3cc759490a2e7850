package proxy

import (
	"context"
	"strconv"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"github.com/sirupsen/logrus"
)

// Suspects finds requests under which targets crash, and refuses them.
type Suspects struct {
	Table *quarantine.Table
	// Crashed reports whether the process of the target at addr has crashed, after a
	// request to it ended with err.
	Crashed func(addr string, err error) bool
	// Report passes new evidence on to the other entries. It does not block.
	Report func(quarantine.Event)
}

// fingerprint returns the fingerprint of the request.
func (c *call) fingerprint() quarantine.Fingerprint {
	if f := c.cachedFingerprint.Load(); f != 0 {
		return quarantine.Fingerprint(f)
	}
	r := quarantine.Request{Method: c.method, Destination: c.destination(), Path: c.path, Caller: c.shift, Object: c.object, Body: c.body}
	f := r.Fingerprint()
	c.cachedFingerprint.Store(uint64(f))
	return f
}

// destination returns what the caller has addressed: the host of a route by host, and
// otherwise the service. Without a route by host the Host header may be the address of
// the entry, and the same path belongs to several services.
func (c *call) destination() string {
	if c.route.Host != "" {
		return c.route.Host
	}
	return c.service.Name
}

// targetCrashes returns how many processes of targets crashed under such requests.
func (h *Handler) targetCrashes(c *call) int {
	if h.Suspects == nil || !h.Suspects.Table.Active() {
		return 0
	}
	return h.Suspects.Table.Check(h.Now(), c.fingerprint()).Crashes
}

// refuseQuarantined returns an error of kind RequestQuarantined for a request that
// must not be sent at present. If a trial of such requests is due, the request waits
// until the trial is granted to it or to another one.
func (h *Handler) refuseQuarantined(ctx context.Context, c *call) error {
	if h.Suspects == nil || !h.Suspects.Table.Active() {
		return nil
	}
	v := h.Suspects.Table.Check(h.Now(), c.fingerprint())
	if v.Refused && h.Suspects.Table.Claim(h.Now(), c.fingerprint()) {
		h.Suspects.Report(quarantine.Event{Fingerprint: c.fingerprint(), Claim: true})
		v = h.awaitTrial(ctx, c)
	}
	if !v.Refused {
		return nil
	}
	return quarantined(c, v)
}

// trialPollInterval is how often a request looks for the trial that was claimed for it.
const trialPollInterval = 20 * time.Millisecond

// awaitTrial waits up to quarantine.ClaimTimeout for the trial that was claimed for the
// request, and returns the verdict.
func (h *Handler) awaitTrial(ctx context.Context, c *call) quarantine.Verdict {
	until := h.Now().Add(quarantine.ClaimTimeout)
	for {
		waiting := sleep(ctx, trialPollInterval)
		v := h.Suspects.Table.Check(h.Now(), c.fingerprint())
		if !waiting || !v.Refused || !h.Now().Before(until) {
			return v
		}
	}
}

// quarantinedError is the refusal of a quarantined request.
type quarantinedError struct {
	cause      error
	retryAfter time.Duration // until the end of the quarantine
}

func (e *quarantinedError) Error() string { return e.cause.Error() }
func (e *quarantinedError) Unwrap() error { return e.cause }

// quarantined returns the refusal of a quarantined request.
func quarantined(c *call, v quarantine.Verdict) error {
	cause := errkind.New(errkind.RequestQuarantined, "%d targets crashed while they ran requests with fingerprint %s", v.Crashes, c.fingerprint())
	return &quarantinedError{cause, v.RetryAfter}
}

// beforeSend refuses a request that was quarantined after it was accepted. trial is
// set if the request is sent on trial.
func (h *Handler) beforeSend(c *call) (trial bool, err error) {
	if h.Suspects == nil || !h.Suspects.Table.Active() {
		return false, nil
	}
	v := h.Suspects.Table.Send(h.Now(), c.fingerprint())
	if v.Refused {
		return false, quarantined(c, v)
	}
	if v.Trial {
		h.Log.WithFields(logrus.Fields{"request_id": c.id, "fingerprint": c.fingerprint().String(), "target_crashes": v.Crashes}).
			Info("quarantined request sent on trial")
	}
	return v.Trial, nil
}

// afterSend records an attempt that ended without an answer: the request becomes a
// suspect if the target has crashed. A trial of which nothing was sent is given back.
func (h *Handler) afterSend(c *call, t *dispatch.Ticket, trial bool, err error) {
	switch kind := errkind.Of(err); {
	case h.Suspects == nil:
	case trial && kind == errkind.TargetUnreachable:
		h.Suspects.Table.ReturnTrial(c.fingerprint())
	case (kind == errkind.TargetFailed || kind == errkind.AnswerBroken) && h.Suspects.Crashed(t.Target.Addr, err):
		h.recordCrash(c, t)
	}
}

// maxLoggedPath is how many bytes of the path and query of a suspect request are
// logged. Operators must be able to recognise it.
const maxLoggedPath = 256

// recordCrash records that the request was in flight when its target crashed.
func (h *Handler) recordCrash(c *call, t *dispatch.Ticket) {
	process := h.targetProcess(t)
	crashes, added := h.Suspects.Table.Crashed(h.Now(), c.fingerprint(), process)
	h.Log.WithFields(logrus.Fields{
		"request_id": c.id, "fingerprint": c.fingerprint().String(), "service": c.service.Name, "target": t.Target.ID, "process": process,
		"method": c.method, "host": c.host, "path": c.path[:min(len(c.path), maxLoggedPath)], "object": c.object, "body_bytes": len(c.body),
		"target_crashes": crashes, "quarantined": crashes >= quarantine.CrashesToQuarantine,
	}).Info("request was in flight when its target crashed")
	if added {
		h.metrics.suspected.Inc(1)
		h.Suspects.Report(quarantine.Event{Fingerprint: c.fingerprint(), Crash: process})
	}
}

// targetProcess names the process of a target: its identifier and the start of its
// process, since a target may start again under its identifier.
func (h *Handler) targetProcess(t *dispatch.Ticket) string {
	incarnation := t.Target.Incarnation
	if listed := h.Store.Load().Target(t.Target.ID); listed != nil {
		incarnation = listed.BornUnixMs
	}
	return t.Target.ID + "/" + strconv.FormatInt(incarnation, 10)
}

// clearSuspect clears a suspect that a target has answered.
func (h *Handler) clearSuspect(c *call) {
	if h.Suspects == nil || !h.Suspects.Table.Active() || !h.Suspects.Table.Answered(c.fingerprint()) {
		return
	}
	h.Log.WithFields(logrus.Fields{"request_id": c.id, "fingerprint": c.fingerprint().String()}).Info("suspect request was answered and is cleared")
	h.Suspects.Report(quarantine.Event{Fingerprint: c.fingerprint(), Answered: true})
}
