package proxy

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
	"github.com/fescuejunction/fescuejunction/internal/request/uri"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/oklog/ulid/v2"
)

const (
	maxKeyBytes = 200
	maxIDBytes  = 64
	maxHops     = 3 // forwards between entries that one request may take
)

// call is the state of one request while an entry handles it.
type call struct {
	id         string
	snap       *snapshot.Snapshot
	confirmed  bool // snap was the newest version not long before the request was read
	service    *snapshot.Service
	route      *snapshot.Route
	shift      string
	key        string
	affinity   string    // key of the object that the request is about, on routes with affinity
	object     string    // the same on all routes
	dataCentre string    // data centre of this entry
	deadline   time.Time // end of the caller's timeout, within the limits of service and route
	// objective is the time by which the entry must send the answer to meet the
	// route's latency objective. It lies in the past if earlier attempts of the
	// caller have used up the whole objective.
	objective    time.Time
	step         spill.Attempt       // the region that is asked now, with the mode of asking
	releaseShare func(now time.Time) // removes the call from the region shares; nil if it is not counted

	refusals     []string // regions that refused the request, each with mode and error
	sends        int      // number of sends to targets so far
	triedTargets []string // IDs of the targets to which this entry has sent the request
	mayHaveRun   error    // error of a send after which the request may have run, or nil
	noMoreSends  bool     // no further send of the request is allowed
	// runsOnceElsewhere is set if another entry has answered that it must not repeat the
	// request.
	runsOnceElsewhere bool
	received          time.Time
	body              []byte
	release           func() // returns the memory of the body; nil without a body

	method string
	host   string // Host header, as the caller sent it
	path   string // path and query, as sent to the target
	header http.Header

	hops              int           // how often the request was forwarded
	forwardedBy       string        // instance that forwarded the request, "" if it came from a caller
	forwardedService  string        // service that the forwarding instance has selected
	onHostRoute       bool          // the forwarding instance has selected a host route
	callerTimeout     time.Duration // how long the caller waits, 0 if it is not stated
	forwardedTimeLeft time.Duration // time left until the deadline, as the forwarding instance states it
	forwardedVersion  uint64        // version of the steering document in force at the forwarding instance
	forwarded         forwardedRoute
	remote            bool // forwarded from another data centre
	startRecorded     bool // the instance that stores the key has recorded its start already

	cachedFingerprint atomic.Uint64 // 0 until it is needed

	hasKey           bool // the request carries an idempotency key
	provedNotStarted bool // the ledger has proved that the key had not started before
}

// atMostOnce reports whether the request must run at most once.
func (c *call) atMostOnce() bool { return c.route.AtMostOnce }

// didRun states whether the request may have run, given the kind of its error.
// A refusal before the ledger was asked proves nothing about the key, because an
// earlier request with the same key may have run. This also holds for invalid
// requests, such as one that is sent again with no time left. Only a key that is
// invalid in itself cannot have run, since no ledger accepts it.
func (c *call) didRun(kind errkind.Kind) errkind.DidRun {
	didRun := kind.Response().DidRun
	mayBeOnce := c.route == nil || c.atMostOnce() || !c.confirmed
	if didRun == errkind.No && c.hasKey && mayBeOnce && !c.provedNotStarted && kind != errkind.BadKey {
		return errkind.Unknown
	}
	return didRun
}

// timeLeft returns the time from now until the deadline.
func (c *call) timeLeft(now time.Time) time.Duration { return c.deadline.Sub(now) }

// parse checks the request line and the header of a request and selects its
// route and service. confirmed states whether snap is confirmed. Each kind of fault has its
// own error kind. The call is never nil, so that an error answer can name the request.
func (h *Handler) parse(r *http.Request, snap *snapshot.Snapshot, confirmed bool, now time.Time) (*call, error) {
	c := newCall(r, snap, now)
	c.confirmed = confirmed
	head, err := h.Dialect.Request(r.Header)
	c.id, c.hasKey, c.dataCentre = requestID(head.ID), head.Key != "", h.DataCentre
	// A forwarded request has internal headers beside those of its caller.
	if limit := snap.CallerLimits.MaxHeaderBytes; !h.peer && headerSize(r) > limit {
		return c, errkind.New(errkind.HeaderTooLarge, "the header has %d bytes, at most %d are allowed", headerSize(r), limit)
	}
	if err := c.parseForwardHeaders(r.Header, h.peer); err != nil {
		return c, err
	}
	c.confirmed = c.confirmedHere(confirmed)
	if err != nil {
		return c, err
	}
	if err := h.findRoute(c, head.Service); err != nil {
		return c, err
	}
	if err := c.checkUnconfirmed(); err != nil {
		return c, err
	}
	if err := c.checkShift(head.Shift); err != nil {
		return c, err
	}
	c.object = head.Affinity
	if c.route.Affinity {
		c.affinity = head.Affinity
	}
	c.callerTimeout = head.Timeout
	c.setDeadline(head.Timeout)
	c.setObjective(h.elapsedBefore(c, head.Timeout), r.Header.Get(headerObjective))
	return c, c.checkKey(head.Key)
}

func newCall(r *http.Request, snap *snapshot.Snapshot, now time.Time) *call {
	return &call{snap: snap, received: now, method: r.Method, host: r.Host, path: uri.Target(r), header: r.Header}
}

// requestID returns the identifier that a caller has given if it is valid, or
// else a new one.
func requestID(given string) string {
	if validToken(given, maxIDBytes) {
		return given
	}
	return ulid.Make().String()
}

// validToken reports whether s consists of 1 to maxLen printable ASCII
// characters without spaces.
func validToken(s string, maxLen int) bool {
	if s == "" || len(s) > maxLen {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// headerSize returns the size in bytes of the request target and of all header
// lines.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// parseForwardHeaders reads the headers that a forwarding entry has set. If the
// request came from a caller, it removes them from h instead.
func (c *call) parseForwardHeaders(h http.Header, peer bool) error {
	if !peer {
		for _, name := range internalHeaders {
			h.Del(name)
		}
		return nil
	}
	c.forwardedBy = h.Get(headerForwardedBy)
	c.remote = h.Get(headerRemote) != ""
	c.startRecorded = h.Get(headerRecorded) != ""
	c.provedNotStarted = c.startRecorded
	hops, err := strconv.Atoi(h.Get(headerHops))
	if err != nil || hops < 1 {
		return errkind.New(errkind.BadRequest, "a forwarded request must have a valid %s header", headerHops)
	}
	c.hops = hops
	if hops > maxHops {
		return errkind.New(errkind.HopLimit, "the request was forwarded %d times, at most %d are allowed", hops, maxHops)
	}
	if id := h.Get(headerID); validToken(id, maxIDBytes) {
		c.id = id
	}
	c.forwardedService = h.Get(headerService)
	c.onHostRoute = h.Get(headerHostRoute) != ""
	c.sends = readSends(h)
	c.forwardedTimeLeft, _ = dialect.Milliseconds(h.Get(headerLeft))        // if it is missing, the caller's timeout applies
	c.forwardedVersion, _ = strconv.ParseUint(h.Get(headerVersion), 10, 64) // 0 if it is missing
	c.forwarded = parseForwardedRoute(h.Get(headerRoute))
	return nil
}

// findRoute selects the route and the service of a request. A host with routes has no
// other requests. On other hosts, the caller or the path names the service and the route is
// one of the service, unless the host may have routes in another version.
func (h *Handler) findRoute(c *call, named string) error {
	host, path := uri.HostName(c.host), uri.Path(c.path)
	if c.route = c.snap.HostRoute(host, path); c.route != nil {
		return h.chooseService(c)
	}
	if c.snap.HasHost(host) {
		return errkind.New(errkind.UnknownRoute, "host %q has no route for %s", host, path)
	}
	if !h.namesServices(c, host) {
		return errkind.New(errkind.UnknownRoute, "host %q has no routes and is not a host of the entry itself", host)
	}
	if err := c.findService(named); err != nil {
		return err
	}
	path = decodedPath(c.path)
	c.route = c.service.Route(c.method, path)
	if c.route == nil {
		return errkind.New(errkind.UnknownRoute, "service %q has no route for %s %s", c.service.Name, c.method, path)
	}
	return nil
}

// namesServices reports whether requests for a host without routes name their service. For a
// forwarded request, the forwarding instance has decided this.
func (h *Handler) namesServices(c *call, host string) bool {
	if c.hops > 0 {
		return !c.onHostRoute
	}
	return h.NamesServices == nil || h.NamesServices(host, c.snap)
}

// chooseService selects the service of a route by host, which may split its
// requests over several services by weight. A forwarded request keeps the service
// that the forwarding instance has selected.
func (h *Handler) chooseService(c *call) error {
	name := c.forwardedService
	if name == "" {
		name = h.Services.split.pick(c.route)
	}
	c.service = c.snap.Services[name]
	if c.service == nil {
		return errkind.New(errkind.NotReady, "service %q is not in the version in force here", name)
	}
	return nil
}

// findService sets the service that the forwarding instance or the caller
// names. If neither names one, the first path segment names it and is removed
// from the path that the target gets.
func (c *call) findService(name string) error {
	if c.forwardedService != "" {
		name = c.forwardedService
	}
	if name == "" {
		first, rest, _ := strings.Cut(strings.TrimPrefix(c.path, "/"), "/")
		first, query, hasQuery := strings.Cut(first, "?")
		name = first
		c.path = "/" + rest
		if hasQuery {
			c.path = "/?" + query
		}
	}
	svc, ok := c.snap.Services[name]
	if !ok {
		return errkind.New(errkind.UnknownService, "service %q is not in the steering document", name)
	}
	c.service = svc
	return nil
}

// decodedPath returns the path without the query, decoded as the target decodes
// it. Without the decoding, a caller could avoid the rules of an at-most-once
// route of a service by escaping characters of its path.
func decodedPath(target string) string {
	path := uri.Path(target)
	if decoded, err := url.PathUnescape(path); err == nil {
		return decoded
	}
	return path
}

// checkShift sets the shift and checks it if the route requires one.
func (c *call) checkShift(shift string) error {
	c.shift = shift
	if !c.route.RequiresShift {
		return nil
	}
	if shift == "" {
		return errkind.New(errkind.MissingShift, "the request must name its shift")
	}
	if _, ok := c.snap.Shifts[shift]; !ok {
		return errkind.New(errkind.UnknownShift, "shift %q is not in the steering document", shift)
	}
	return nil
}

// setDeadline sets the deadline from the timeout of the caller, or from the time
// left that a forwarding entry states. Without either, the timeout of the route
// or the default of the service applies. The limits of the steering document
// bound the result.
func (c *call) setDeadline(timeout time.Duration) {
	longest := c.snap.LongestDeadline(c.service)
	if c.route.Timeout > 0 {
		longest = min(longest, c.route.Timeout)
	}
	left := min(c.service.DefaultDeadline.AsDuration(), longest)
	if c.route.Timeout > 0 {
		left = c.route.Timeout
	}
	if c.forwardedTimeLeft > 0 {
		timeout = c.forwardedTimeLeft
	}
	if timeout > 0 {
		left = min(timeout, longest)
	}
	c.deadline = c.received.Add(left)
}

// callerNetworkShare is the share of a latency objective that is reserved for the
// network between caller and entry, whose latency the entry cannot observe.
const callerNetworkShare = 0.1

// setObjective sets the time by which the entry must send the answer. elapsed is
// how long the caller had waited before this attempt. granted is the time left in
// milliseconds that a forwarding entry states, or "". A route without an objective
// has its deadline as the objective.
func (c *call) setObjective(elapsed time.Duration, granted string) {
	switch {
	case granted != "":
		left, _ := dialect.Milliseconds(granted) // 0 means that the objective is missed
		c.objective = c.received.Add(left)
	case c.route.LatencyObjective > 0:
		entryShare := time.Duration(float64(c.route.LatencyObjective) * (1 - callerNetworkShare))
		c.objective = c.received.Add(entryShare - elapsed)
	default:
		c.objective = c.deadline
	}
}

// firstAttemptShare is the share of the longest timeout of a route's callers from
// which on a timeout counts as that of a first attempt. It is less than 1 because
// the callers of a route do not all use the same timeout.
const firstAttemptShare = 0.8

// elapsedBefore estimates how long the caller had waited before this attempt.
// A caller whose timeout is much shorter than that of others is assumed to retry
// a request that was refused before, within one overall timeout.
func (h *Handler) elapsedBefore(c *call, timeout time.Duration) time.Duration {
	if c.route.Host == "" || h.peer || timeout <= 0 {
		return 0
	}
	first := time.Duration(firstAttemptShare * float64(h.Services.callerTimeouts.observe(c.route, timeout, c.received)))
	return max(first-timeout, 0)
}

// checkKey sets the idempotency key and checks it on at-most-once routes.
func (c *call) checkKey(key string) error {
	c.key = key
	if !c.atMostOnce() {
		return nil
	}
	if c.key == "" {
		return errkind.New(errkind.MissingKey, "route %q runs at most once and requires an idempotency key", c.route.Name)
	}
	if !validToken(c.key, maxKeyBytes) {
		return errkind.New(errkind.BadKey, "the idempotency key must have 1 to %d printable ASCII characters without spaces", maxKeyBytes)
	}
	return nil
}

// bodyTimeout is how long a caller may take to send its body.
const bodyTimeout = 5 * time.Second

// readBody reads the whole body. It does so before admission, so that a caller
// that sends slowly occupies no slot. c.release returns the memory of the body.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, mem *BodyMemory) error {
	limit := c.service.MaxBodyBytes
	if callerLimit := c.snap.CallerLimits.MaxBodyBytes; c.route.Host != "" && callerLimit > 0 {
		limit = callerLimit
	}
	if r.ContentLength > limit {
		return errkind.New(errkind.BodyTooLarge, "the body has %d bytes, service %q allows %d", r.ContentLength, c.service.Name, limit)
	}
	if r.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(c.received.Add(min(bodyTimeout, c.timeLeft(c.received))))
	in := &bodyReader{Reader: io.LimitReader(r.Body, limit+1), memory: mem}
	body, err := io.ReadAll(in)
	_ = rc.SetReadDeadline(time.Time{})
	c.release = in.release
	switch {
	case errkind.Of(err) == errkind.QueueFull:
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.New(errkind.SlowSender, "the body did not arrive before its timeout")
	case err != nil:
		return errkind.Wrap(errkind.BadRequest, err, "read request body")
	case int64(len(body)) > limit:
		return errkind.New(errkind.BodyTooLarge, "the body has more than %d bytes, the limit of service %q", limit, c.service.Name)
	}
	c.body = body
	return nil
}
