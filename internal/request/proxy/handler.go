// Package proxy handles the requests of callers. It parses and admits them, sends
// them to a target or forwards them to the entry that dispatches their service,
// and streams the answer back.
package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/announce"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Groups knows which entry of this data centre dispatches a service.
type Groups interface {
	// Dispatcher returns the dispatcher of the service if this instance
	// dispatches it in this data centre, or nil.
	Dispatcher(service string) *dispatch.Dispatcher
	// DispatchingEntry returns the entry that dispatches the service in this
	// data centre, or nil if none is known to be alive.
	DispatchingEntry(service string) *fescuepb.Member
}

// Caps admits requests within the caps of the shifts.
type Caps interface {
	// Acquire takes one unit of the shift's cap and waits for it until ctx
	// ends. The error has kind ShiftCapReached.
	Acquire(ctx context.Context, shift string) (CapUnit, error)
	// TryAcquire takes one unit if one is free, without waiting.
	TryAcquire(shift string) (CapUnit, bool)
}

// CapUnit is one unit of a shift's cap. Each request in flight holds one.
type CapUnit interface {
	// Valid reports whether the budget lease that the unit belongs to has not
	// expired.
	Valid() bool
	// Release returns the unit. It must be called exactly once.
	Release()
}

// Ledger stores the outcomes of at-most-once requests by idempotency key.
type Ledger interface {
	// Home returns the data centre that stores the key, and whether this
	// instance is the one that stores it at present.
	Home(snap *snapshot.Snapshot, service, key string) (dc string, here bool)
	// Start records the start of a key outside this process, so that the
	// record survives the process. If the key has finished before, Start
	// returns its stored outcome and records nothing.
	Start(ctx context.Context, service, key string, digest []byte) (*StoredAnswer, error)
	// Finish records the outcome of a key. If notRun is set, the request did
	// not run and the key may start again.
	Finish(ctx context.Context, service, key string, stored *StoredAnswer, notRun bool)
	// Abandon marks the outcome of a started key as unknown.
	Abandon(service, key string)
}

// StoredAnswer is the recorded answer to an at-most-once request.
type StoredAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Config holds the dependencies of a Handler.
type Config struct {
	Instance   string
	DataCentre string
	Store      *snapshot.Store
	Dialect    dialect.Dialect
	Ready      func() bool // reports whether a confirmed version of the document is in force
	// Confirmed reports whether control has confirmed the version in force recently. It may
	// be false for long in a data centre that is cut off. Nil: each version is confirmed.
	Confirmed func() bool
	// Resuming returns for how long a confirmation can still be expected after a suspension
	// of the process, or 0. Nil: never.
	Resuming func() time.Duration
	// NamesServices reports whether requests for a host without routes in snap name their
	// service. The host is in lower case and has no port. Nil: they always do.
	NamesServices func(host string, snap *snapshot.Snapshot) bool
	Start         Start
	Stopping      func() Stop // returns the progress of a planned stop; nil if there never is one
	Groups        Groups
	Guarded       Guarded
	Caps          Caps
	Places        *spill.Chooser
	Shares        *spill.RegionShiftLimiter
	Ledger        Ledger
	Services      *ServiceStates
	SharedRetries SharedRetryPolicy
	Suspects      *Suspects          // nil if no request is quarantined
	Announced     *announce.Registry // shared by the handlers of an entry; nil means that announcements of targets are not recorded
	Bodies        *BodyMemory        // shared by the handlers of an entry; nil means DefaultBodyMemory for this one
	Answers       *BodyMemory        // for answers that are kept whole; shared by the handlers of an entry; nil means DefaultAnswerMemory for this one
	Targets       http.RoundTripper
	Peers         http.RoundTripper
	Now           func() time.Time
	Log           *logrus.Entry
	Metrics       tally.Scope
}

// Handler serves HTTP requests. Callers and other entries use separate handlers,
// because only other entries may set internal headers.
type Handler struct {
	Config
	peer    bool
	metrics handlerMetrics
}

type handlerMetrics struct {
	requests, unconfirmed, forwarded, hedged, retried, suspected tally.Counter
	latency                                                      tally.Histogram
	// errorScope holds one counter per error kind that has occurred, tagged
	// with the kind.
	errorScope tally.Scope
}

// New returns a handler for callers, or for other entries if peer is set.
func New(cfg Config, peer bool) *Handler {
	if cfg.Bodies == nil {
		cfg.Bodies = NewBodyMemory(DefaultBodyMemory)
	}
	if cfg.Answers == nil {
		cfg.Answers = NewBodyMemory(DefaultAnswerMemory)
	}
	scope := cfg.Metrics.SubScope("requests")
	h := &Handler{Config: cfg, peer: peer}
	h.metrics.requests = scope.Counter("received")
	h.metrics.unconfirmed = scope.Counter("unconfirmed")
	h.metrics.forwarded = scope.Counter("forwarded")
	h.metrics.hedged = scope.Counter("hedged")
	h.metrics.retried = scope.Counter("retried")
	h.metrics.suspected = scope.Counter("suspected")
	h.metrics.errorScope = scope
	h.metrics.latency = scope.Histogram("seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16))
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := h.Now()
	h.metrics.requests.Inc(1)
	c, err := h.accept(w, r, start)
	if c.release != nil {
		defer c.release()
	}
	rep := h.answer(r.Context(), c, err)
	if !r.ProtoAtLeast(1, 1) {
		rep = h.withLength(c, rep)
	}
	if h.peer {
		rep.header.Set(headerID, c.id)
		if id := ForwardID(r.Header); id != "" {
			rep.header.Set(headerForward, id)
		}
		rep.header.Set(headerSends, strconv.Itoa(c.sends))
		rep.header.Set(headerHandled, strconv.FormatInt(h.Now().Sub(start).Microseconds(), 10))
		h.addLoadHeaders(c, rep.header)
	}
	h.Dialect.SetOrigin(rep.header, h.Instance, "", "")
	defer func() { h.metrics.latency.RecordDuration(h.Now().Sub(start)) }()
	rep.write(r.Context(), w)
}

// withLength prepares rep for an HTTP/1.0 caller. HTTP/1.0 has no chunked
// encoding, so the caller would take a broken connection for the regular end of
// an answer without a length. A completely buffered answer gets its length and
// loses its trailers. Any other answer without a length is replaced by an error.
func (h *Handler) withLength(c *call, rep *reply) *reply {
	switch {
	case rep.length >= 0 || c.method == http.MethodHead:
		return rep
	case rep.rest == nil:
		rep.trailer, rep.length = nil, int64(len(rep.buffered))
		return rep
	}
	err := errkind.New(errkind.AnswerBroken, "truncation of an answer without a length cannot be detected over HTTP/1.0")
	rep.finish(err)
	return h.fail(c, err)
}

// answer serves an accepted request. If err is set, or if serving fails, it
// returns the error answer.
func (h *Handler) answer(ctx context.Context, c *call, err error) *reply {
	if err != nil {
		return h.fail(c, err)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	rep, err := h.serve(ctx, c)
	if err != nil {
		cancel()
		return h.fail(c, err)
	}
	rep.deadline = c.deadline
	end := rep.end
	rep.end = func(err error) {
		cancel()
		if end != nil {
			end(err)
		}
	}
	return rep
}

// accept parses the request and reads its body. The call is never nil.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*call, error) {
	if !h.Ready() {
		head, _ := h.Dialect.Request(r.Header) // an invalid deadline does not change the answer
		if h.awaitStart(r.Context(), head.Timeout) {
			return h.acceptReady(w, r, now)
		}
		c := &call{id: requestID(head.ID), hasKey: head.Key != ""}
		return c, errkind.New(errkind.NotReady, "no confirmed version of the steering document is in force yet")
	}
	return h.acceptReady(w, r, now)
}

// acceptReady is accept while a confirmed version is in force.
func (h *Handler) acceptReady(w http.ResponseWriter, r *http.Request, now time.Time) (*call, error) {
	head, _ := h.Dialect.Request(r.Header) // an invalid deadline is refused by parse
	confirmed := h.awaitConfirmation(r.Context(), head.Timeout)
	c, err := h.parse(r, h.Store.Load(), confirmed, now)
	if !c.confirmed {
		h.metrics.unconfirmed.Inc(1)
	}
	if err != nil {
		return c, c.notReadyIfUnconfirmed(err)
	}
	if err := c.readBody(w, r, h.Bodies); err != nil {
		return c, c.notReadyIfUnconfirmed(h.stoppedWaiting(r.Context(), err))
	}
	if err := h.refuseQuarantined(r.Context(), c); err != nil {
		return c, err
	}
	return c, h.admitDuringStop(c)
}

// fail logs and counts an error and returns its error answer.
func (h *Handler) fail(c *call, err error) *reply {
	kind := errkind.Of(err)
	h.metrics.errorScope.Tagged(map[string]string{"kind": string(kind)}).Counter("errors").Inc(1)
	fields := logrus.Fields{"request_id": c.id, "kind": kind, "did_run": c.didRun(kind), "shift": c.shift, "error": err.Error()}
	if len(c.refusals) > 0 {
		fields["asked"] = c.refusals
	}
	if c.service != nil {
		fields["service"], fields["version"], fields["confirmed"], fields["sends"] = c.service.Name, c.snap.Version, c.confirmed, c.sends
		fields["wait_ms"], fields["held_ms"] = milliseconds(c.callerTimeout), milliseconds(h.Now().Sub(c.received))
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	h.Log.WithFields(fields).Info("request refused or failed")
	return h.errorReply(c, err)
}

// RefuseHead returns the error answer to a request whose request line or header
// cannot be parsed.
func (h *Handler) RefuseHead(err error) (status int, header http.Header, body []byte) {
	c := &call{id: requestID(""), confirmed: h.isConfirmed()}
	if snap := h.Store.Load(); snap != nil {
		c.snap = snap
		err = c.notReadyIfUnconfirmed(err)
	}
	rep := h.fail(c, err)
	return rep.status, rep.header, rep.buffered
}

// guardedSlots returns the slots of a service with guarded_slots in this entry's
// region, or nil.
func (h *Handler) guardedSlots(c *call) dispatch.Slots {
	if !c.service.GuardedSlots {
		return nil
	}
	return h.Guarded.Slots(c.service.Name, c.affinity)
}

// addLoadHeaders reports the load of the service's dispatcher to the entry that
// forwarded the request. That entry uses it to choose a place for later requests.
func (h *Handler) addLoadHeaders(c *call, header http.Header) {
	if !h.peer || c.service == nil {
		return
	}
	if s := h.guardedSlots(c); s != nil {
		setLoadHeaders(header, s.Load())
		return
	}
	if d := h.Groups.Dispatcher(c.service.Name); d != nil {
		setLoadHeaders(header, d.Load())
	}
}

// serve returns the answer to a parsed request. A request that must not run more than
// once first waits until the earlier requests on the caller's connection are
// answered. If one of these answers closed the connection, the caller would assume
// that the request was not read and send it again.
func (h *Handler) serve(ctx context.Context, c *call) (*reply, error) {
	if !c.repeatable() {
		if err := caller.AwaitTurn(ctx); err != nil {
			err = errkind.Wrap(errkind.Cancelled, err, "the caller's connection ended before its earlier requests were answered")
			return nil, h.stoppedWaiting(ctx, err)
		}
	}
	if !c.remote { // the entry that forwarded a remote request has counted it already
		h.stateOf(c.service).retries.CountRequest(h.Now())
	}
	if c.atMostOnce() && !c.startRecorded {
		return h.serveAtMostOnce(ctx, c)
	}
	return h.run(ctx, c)
}

// run runs the request where it is admitted. If an attempt may have run it and no
// later one answered, the error of that attempt is returned: the refusal of a later
// attempt would state that the request did not run.
func (h *Handler) run(ctx context.Context, c *call) (*reply, error) {
	rep, err := h.runWhereAdmitted(ctx, c)
	if err != nil && c.mayHaveRun != nil {
		return nil, c.mayHaveRun
	}
	return rep, err
}

// runWhereAdmitted runs the request in this data centre if possible, and otherwise
// in the first other data centre or region that admits it.
func (h *Handler) runWhereAdmitted(ctx context.Context, c *call) (*reply, error) {
	if c.service.GuardedSlots {
		return h.runInRegions(ctx, c)
	}
	var refusal error = errkind.New(errkind.NoTarget, "no data centre takes requests of service %q", c.service.Name)
	if h.servedInDataCentre(c) {
		rep, err := h.runInDataCentre(ctx, c)
		if err == nil || !maySpill(c, err) || fromPeer(err) {
			return rep, err
		}
		refusal = err
	}
	if c.remote {
		return nil, refusal
	}
	return h.spill(ctx, c, refusal)
}

// allowedIn reports whether the home regions of the route include the region of
// a data centre. A route without home regions allows all.
func (c *call) allowedIn(dc string) bool { return c.route.AllowedIn(c.snap.Region(dc)) }

// servedInDataCentre reports whether the request may be served in this entry's
// data centre.
func (h *Handler) servedInDataCentre(c *call) bool {
	return c.service.RunsIn(h.DataCentre) && !c.snap.ServiceDrained(c.service.Name, h.DataCentre) && c.allowedIn(h.DataCentre)
}

// maySpill reports whether another data centre may be tried after err: only if
// the request did not run and capacity elsewhere may help.
func maySpill(c *call, err error) bool {
	kind := errkind.Of(err)
	if c.remote || c.atMostOnce() && kind == errkind.TargetShed {
		return false // an at-most-once request is sent to one target only
	}
	switch kind {
	case errkind.QueueFull, errkind.DeadlineUnmeetable, errkind.NoTarget, errkind.TargetShed,
		errkind.TargetUnreachable, errkind.TargetGone, errkind.NotDispatcher, errkind.NotReady, errkind.Stopping:
		return true
	}
	return false
}

// A request waits for at most takeoverTimeout until another entry takes over as
// dispatcher, and tries again every takeoverPollInterval. A failed dispatcher is
// replaced within 3 s.
const (
	takeoverTimeout      = 3 * time.Second
	takeoverPollInterval = 25 * time.Millisecond
)

// takeoverTimer bounds how long a request waits for a new dispatcher.
type takeoverTimer struct{ deadline time.Time }

func newTakeoverTimer(now time.Time, c *call) takeoverTimer {
	return takeoverTimer{deadline: now.Add(min(takeoverTimeout, c.timeLeft(now)))}
}

// wait waits for takeoverPollInterval. It reports whether there is time left for
// another attempt.
func (t takeoverTimer) wait(ctx context.Context, now time.Time) bool {
	return now.Before(t.deadline) && sleep(ctx, takeoverPollInterval)
}

// runInDataCentre runs the request in this data centre. It tries again while the
// dispatcher of the service moves to another entry. A forwarded request is not
// tried again here, because the forwarding entry does so.
func (h *Handler) runInDataCentre(ctx context.Context, c *call) (*reply, error) {
	var refusal error
	for timer := newTakeoverTimer(h.Now(), c); ; {
		rep, err := h.tryInDataCentre(ctx, c)
		refusal = reasonNotSent(refusal, err)
		if err == nil || !dispatcherMoved(err) || c.forwardedBy != "" || !timer.wait(ctx, h.Now()) {
			return rep, refusal
		}
	}
}

// reasonNotSent returns err, the result of the last of several tries, or the result
// of the earlier ones if the deadline ended the last one before anything was sent.
// Such a try does not show why the request could not be sent.
func reasonNotSent(earlier, err error) error {
	if earlier != nil && errors.Is(err, errPeerNotReachedInTime) {
		return earlier
	}
	return err
}

// dispatcherMoved reports whether err means that another entry dispatches the
// service, or will soon.
func dispatcherMoved(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.NotDispatcher || kind == errkind.Stopping || errors.Is(err, errPeerUnreachable)
}

// tryInDataCentre runs the request once: on this instance if it dispatches the
// service, or else on the entry that does.
func (h *Handler) tryInDataCentre(ctx context.Context, c *call) (*reply, error) {
	if d := h.Groups.Dispatcher(c.service.Name); d != nil {
		return h.dispatch(ctx, c, d)
	}
	home := h.Groups.DispatchingEntry(c.service.Name)
	if home == nil || home.Instance == h.Instance || home.Instance == c.forwardedBy {
		return nil, errkind.New(errkind.NotDispatcher, "instance %q does not dispatch service %q", h.Instance, c.service.Name)
	}
	return h.forward(ctx, c, home, c.startRecorded)
}
