// Package proxy serves the requests of callers: it parses and admits them,
// has them dispatched here or forwards them to the entry that dispatches
// them, and streams the answer back.
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
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Groups tells which entry dispatches a service in this data centre.
type Groups interface {
	// Dispatcher returns the dispatcher of the service if this instance
	// dispatches it here, or nil.
	Dispatcher(service string) *dispatch.Dispatcher
	// Home returns the member that dispatches the service in this data
	// centre, or nil if none is known to be alive.
	Home(service string) *fescuepb.Member
}

// Caps admits requests within the caps of the shifts.
type Caps interface {
	// Acquire takes one unit of the shift's cap, waiting for it within ctx.
	// The error has kind ShiftCapReached.
	Acquire(ctx context.Context, shift string) (Unit, error)
	// TryAcquire takes one unit if there is one now.
	TryAcquire(shift string) (Unit, bool)
}

// Unit is one request in flight under a shift's cap.
type Unit interface {
	// Valid reports whether the budget that admitted the request still holds.
	Valid() bool
	Release()
}

// Ledger keeps the outcomes of at-most-once requests.
type Ledger interface {
	// Home returns the data centre that keeps the key, and whether this
	// instance keeps it now.
	Home(snap *snapshot.Snapshot, service, key string) (dc string, here bool)
	// Start records the start of a key outside the process. A key that
	// finished before gives its stored outcome instead.
	Start(ctx context.Context, service, key string, digest []byte) (*Stored, error)
	// Finish records the outcome. With notRun set, the key may start again.
	Finish(ctx context.Context, service, key string, stored *Stored, notRun bool)
	// Abandon leaves the outcome of a key that started unknown.
	Abandon(service, key string)
}

// Stored is the outcome of an at-most-once request.
type Stored struct {
	Status int
	Header http.Header
	Body   []byte
}

// Config holds what the handler depends on.
type Config struct {
	Instance   string
	DataCentre string
	Store      *snapshot.Store
	Dialect    dialect.Dialect
	Ready      func() bool // a confirmed version is in force
	Groups     Groups
	Guarded    Guarded
	Caps       Caps
	Places     *spill.Chooser
	Shares     *spill.RegionShiftLimiter
	Ledger     Ledger
	Services   *Services
	Retries    RetryShare
	Bodies     *BodyMemory // shared by the handlers of an entry; nil: DefaultBodyMemory for this one
	Targets    http.RoundTripper
	Peers      http.RoundTripper
	Now        func() time.Time
	Log        *logrus.Entry
	Metrics    tally.Scope
}

// Handler serves requests. Callers and other entries use separate handlers
// because only the latter may set internal headers.
type Handler struct {
	Config
	peer bool
	m    handlerMetrics
}

type handlerMetrics struct {
	requests, forwarded, hedged, retried tally.Counter
	latency                              tally.Histogram
	// errors gets a counter for each kind that occurs, tagged with it.
	errors tally.Scope
}

// New returns the handler for callers, or for other entries if peer is set.
func New(cfg Config, peer bool) *Handler {
	if cfg.Bodies == nil {
		cfg.Bodies = NewBodyMemory(DefaultBodyMemory)
	}
	scope := cfg.Metrics.SubScope("requests")
	h := &Handler{Config: cfg, peer: peer}
	h.m.requests = scope.Counter("received")
	h.m.forwarded = scope.Counter("forwarded")
	h.m.hedged = scope.Counter("hedged")
	h.m.retried = scope.Counter("retried")
	h.m.errors = scope
	h.m.latency = scope.Histogram("seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16))
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := h.Now()
	h.m.requests.Inc(1)
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
		rep.header.Set(headerSends, strconv.Itoa(c.sends))
		rep.header.Set(headerHandled, strconv.FormatInt(h.Now().Sub(start).Microseconds(), 10))
		h.describeLoad(c, rep.header)
	}
	h.Dialect.Name(rep.header, h.Instance, "", "")
	defer func() { h.m.latency.RecordDuration(h.Now().Sub(start)) }()
	rep.write(w)
}

// withLength returns rep for a caller of HTTP/1.0, which knows no chunks and
// would take a broken connection for the end of an answer without a length.
func (h *Handler) withLength(c *call, rep *reply) *reply {
	switch {
	case rep.length >= 0 || c.method == http.MethodHead:
		return rep
	case rep.rest == nil:
		rep.trailer, rep.length = nil, int64(len(rep.head))
		return rep
	}
	err := errkind.New(errkind.AnswerBroken, "an answer without a length cannot be proved whole over HTTP/1.0")
	rep.finish(err)
	return h.fail(c, err)
}

// answer serves a request that was accepted, or else turns the error into
// its answer.
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

func (h *Handler) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*call, error) {
	if !h.Ready() {
		head, _ := h.Dialect.Request(r.Header) // the answer is the same whatever the deadline
		c := &call{id: requestID(head.ID), keyed: head.Key != ""}
		return c, errkind.New(errkind.NotReady, "no confirmed version of the steering document is in force yet")
	}
	c, err := h.parse(r, h.Store.Load(), now)
	if err != nil {
		return c, err
	}
	return c, c.readBody(w, r, h.Bodies)
}

// fail logs and counts an error and turns it into its answer.
func (h *Handler) fail(c *call, err error) *reply {
	kind := errkind.Of(err)
	h.m.errors.Tagged(map[string]string{"kind": string(kind)}).Counter("errors").Inc(1)
	fields := logrus.Fields{"request_id": c.id, "kind": kind, "did_run": c.didRun(kind), "shift": c.shift, "error": err.Error()}
	if len(c.trail) > 0 {
		fields["asked"] = c.trail
	}
	if c.service != nil {
		fields["service"], fields["version"], fields["sends"] = c.service.Name, c.snap.Version, c.sends
		fields["wait_ms"], fields["held_ms"] = milliseconds(c.wait), milliseconds(h.Now().Sub(c.received))
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	h.Log.WithFields(fields).Info("request refused or failed")
	return h.errorReply(c, err)
}

// RefuseHead returns the answer to a request whose head cannot be read.
func (h *Handler) RefuseHead(err error) (status int, header http.Header, body []byte) {
	rep := h.fail(&call{id: requestID("")}, err)
	return rep.status, rep.header, rep.head
}

// guardedSlots returns the slots that served, or refused, the call here, or
// nil.
func (h *Handler) guardedSlots(c *call) dispatch.Slots {
	if !c.service.GuardedSlots {
		return nil
	}
	return h.Guarded.Slots(c.service.Name)
}

// describeLoad tells the entry that forwarded the request how busy the
// group is, so that it can choose better next time.
func (h *Handler) describeLoad(c *call, header http.Header) {
	if !h.peer || c.service == nil {
		return
	}
	if s := h.guardedSlots(c); s != nil {
		setLoad(header, s.Load())
		return
	}
	if d := h.Groups.Dispatcher(c.service.Name); d != nil {
		setLoad(header, d.Load())
	}
}

// serve gets the answer of a parsed request.
func (h *Handler) serve(ctx context.Context, c *call) (*reply, error) {
	if !c.route.Safe {
		if err := caller.Await(ctx); err != nil {
			return nil, errkind.Wrap(errkind.Cancelled, err, "the caller's connection ended before its earlier requests were answered")
		}
	}
	if !c.remote { // otherwise the entry that forwarded it has counted it
		h.service(c.service).retries.Request(h.Now())
	}
	if c.once() && !c.recorded {
		return h.serveOnce(ctx, c)
	}
	return h.run(ctx, c)
}

// run has the request dispatched in the best place that admits it.
func (h *Handler) run(ctx context.Context, c *call) (*reply, error) {
	if c.service.GuardedSlots {
		return h.runGuarded(ctx, c)
	}
	var refusal error = errkind.New(errkind.NoTarget, "no data centre takes requests of service %q", c.service.Name)
	if h.servedHere(c) {
		rep, err := h.runHere(ctx, c)
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

// allowedIn reports whether the route lets the request be served in a data
// centre.
func (c *call) allowedIn(dc string) bool { return c.route.AllowedIn(c.snap.Region(dc)) }

func (h *Handler) servedHere(c *call) bool {
	return c.service.In(h.DataCentre) && !c.snap.PlaceDrained(c.service.Name, h.DataCentre) && c.allowedIn(h.DataCentre)
}

// maySpill reports whether another place may be tried after err: only if
// nothing ran, and if more capacity would help.
func maySpill(c *call, err error) bool {
	kind := errkind.Of(err)
	if c.remote || c.once() && kind == errkind.TargetShed {
		return false // an at-most-once request goes to one target only
	}
	switch kind {
	case errkind.QueueFull, errkind.DeadlineUnmeetable, errkind.NoTarget, errkind.TargetShed,
		errkind.TargetUnreachable, errkind.TargetGone, errkind.NotDispatcher, errkind.NotReady, errkind.Stopping:
		return true
	}
	return false
}

// takeoverWait is how long a request waits for a new dispatcher; a failed
// one is replaced within 3 s.
const (
	takeoverWait = 3 * time.Second
	takeoverPoll = 25 * time.Millisecond
)

// takeover bounds the wait for a new dispatcher.
type takeover struct{ giveUp time.Time }

func newTakeoverWait(now time.Time, c *call) takeover {
	return takeover{giveUp: now.Add(min(takeoverWait, c.left(now)))}
}

// next waits before another try and reports whether there is time for it.
func (t takeover) next(ctx context.Context, now time.Time) bool {
	return now.Before(t.giveUp) && pause(ctx, takeoverPoll)
}

// runHere dispatches in this data centre: on this instance, or on the
// member that dispatches the service.
func (h *Handler) runHere(ctx context.Context, c *call) (*reply, error) {
	for wait := newTakeoverWait(h.Now(), c); ; {
		rep, err := h.tryHere(ctx, c)
		if err == nil || !homeMoved(err) || c.from != "" || !wait.next(ctx, h.Now()) {
			return rep, err
		}
	}
}

// homeMoved reports whether err means that another member dispatches the
// service, or will soon.
func homeMoved(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.NotDispatcher || kind == errkind.Stopping || errors.Is(err, errPeerUnreachable)
}

func (h *Handler) tryHere(ctx context.Context, c *call) (*reply, error) {
	if d := h.Groups.Dispatcher(c.service.Name); d != nil {
		return h.dispatch(ctx, c, d)
	}
	home := h.Groups.Home(c.service.Name)
	if home == nil || home.Instance == h.Instance || home.Instance == c.from {
		return nil, errkind.New(errkind.NotDispatcher, "instance %q does not dispatch service %q", h.Instance, c.service.Name)
	}
	return h.forward(ctx, c, home, c.recorded)
}
