package proxy

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/oklog/ulid/v2"
)

const (
	maxKeyBytes = 200
	maxIDBytes  = 64
	maxHops     = 3
)

// call is one request with everything that the decisions need.
type call struct {
	id         string
	snap       *snapshot.Snapshot
	service    *snapshot.Service
	route      *snapshot.Route
	shift      string
	key        string
	affinity   string    // object that the request is about, on routes where it counts
	dataCentre string    // of this entry
	deadline   time.Time // the caller's, or the route's timeout if that is sooner
	// objective is when the answer must leave to meet the route's latency
	// objective. It is in the past if that was missed before the request came.
	objective time.Time
	step      spill.Attempt       // the place that is asked now
	undoShare func(now time.Time) // set while the call counts in the shares of regions

	trail    []string // regions that were asked, with what they answered
	sends    int      // to targets so far
	exclude  []string // targets that it was sent to
	mayRan   error    // of a send after which the request may have run
	lastSend bool     // no further send is allowed
	received time.Time
	body     []byte
	release  func() // gives the body's memory back; nil without a body

	method string
	host   string // as the caller sent it
	path   string // with query, as sent to the target
	header http.Header

	hops     int
	from     string        // instance that forwarded the call, "" for callers
	named    string        // service that the forwarding instance has chosen
	wait     time.Duration // that the caller states
	granted  time.Duration // time left that the forwarding instance has granted
	version  uint64        // in force at the forwarding instance
	remote   bool          // forwarded from another data centre
	recorded bool          // the key's home has recorded the start already

	keyed  bool // carries an idempotency key
	proved bool // the ledger has proved that the key had not started before
}

// once reports whether the call must run at most once.
func (c *call) once() bool { return c.route.Once }

// didRun says whether the work of the request ran, given the kind of its
// error. A refusal before the ledger was asked proves nothing about a key: an
// earlier request with the key may have run. This holds for bad input too,
// such as a resent request with no time left; only a key that no ledger takes
// cannot have run.
func (c *call) didRun(kind errkind.Kind) errkind.DidRun {
	didRun := kind.Answer().DidRun
	mayBeOnce := c.route == nil || c.once()
	if didRun == errkind.No && c.keyed && mayBeOnce && !c.proved && kind != errkind.BadKey {
		return errkind.Unknown
	}
	return didRun
}

// left returns the time until the deadline.
func (c *call) left(now time.Time) time.Duration { return c.deadline.Sub(now) }

// parse checks the head of a request. The error has one kind per fault.
func (h *Handler) parse(r *http.Request, snap *snapshot.Snapshot, now time.Time) (*call, error) {
	c := newCall(r, snap, now)
	head, err := h.Dialect.Request(r.Header)
	c.id, c.keyed, c.dataCentre = requestID(head.ID), head.Key != "", h.DataCentre
	if limit := snap.Callers.MaxHeaderBytes; headerSize(r) > limit {
		return c, errkind.New(errkind.HeaderTooLarge, "the header has %d bytes, at most %d are allowed", headerSize(r), limit)
	}
	if err := c.parseInternal(r.Header, h.peer); err != nil {
		return c, err
	}
	if err != nil {
		return c, err
	}
	if err := h.findRoute(c, head.Service); err != nil {
		return c, c.orBehind(err)
	}
	if err := c.checkShift(head.Shift); err != nil {
		return c, err
	}
	if c.route.Affinity {
		c.affinity = head.Affinity
	}
	c.wait = head.Wait
	c.setDeadline(head.Wait)
	c.setObjective(h.elapsed(c, head.Wait), r.Header.Get(headerObjective))
	return c, c.checkKey(head.Key)
}

func newCall(r *http.Request, snap *snapshot.Snapshot, now time.Time) *call {
	return &call{snap: snap, received: now, method: r.Method, host: r.Host, path: requestTarget(r), header: r.Header}
}

// requestTarget returns path and query exactly as the caller wrote them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func requestID(given string) string {
	if validToken(given, maxIDBytes) {
		return given
	}
	return ulid.Make().String()
}

// validToken reports whether s is made of printable ASCII without spaces.
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

func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func (c *call) parseInternal(h http.Header, peer bool) error {
	if !peer {
		for _, name := range internalHeaders {
			h.Del(name)
		}
		return nil
	}
	c.from = h.Get(headerForwardedBy)
	c.remote = h.Get(headerRemote) != ""
	c.recorded = h.Get(headerRecorded) != ""
	c.proved = c.recorded
	hops, err := strconv.Atoi(h.Get(headerHops))
	if err != nil || hops < 1 {
		return errkind.New(errkind.BadRequest, "a forwarded request needs %s", headerHops)
	}
	c.hops = hops
	if hops > maxHops {
		return errkind.New(errkind.HopLimit, "the request was forwarded %d times, at most %d are allowed", hops, maxHops)
	}
	if id := h.Get(headerID); validToken(id, maxIDBytes) {
		c.id = id
	}
	c.named = h.Get(headerService)
	c.sends = readSends(h)
	c.granted, _ = dialect.Milliseconds(h.Get(headerLeft))         // without one, the caller's deadline holds
	c.version, _ = strconv.ParseUint(h.Get(headerVersion), 10, 64) // without one, err stands as it is
	return nil
}

// orBehind returns err, or that this instance is not ready if the forwarding
// one acts on a later version, which may have the route.
func (c *call) orBehind(err error) error {
	if c.version <= c.snap.Version {
		return err
	}
	return errkind.New(errkind.NotReady, "version %d is in force here, the request was forwarded on version %d", c.snap.Version, c.version)
}

// findRoute takes the route from host and path, or from the service that the
// caller names, and chooses the service.
func (h *Handler) findRoute(c *call, named string) error {
	host, path := hostName(c.host), routePath(c.path)
	if route := c.snap.HostRoute(host, path); route != nil {
		c.route = route
		return h.choosePart(c)
	}
	if c.snap.HasHost(host) {
		return errkind.New(errkind.UnknownRoute, "host %q has no route for %s", host, path)
	}
	if err := c.findService(named); err != nil {
		return err
	}
	path = routePath(c.path)
	c.route = c.service.Route(c.method, path)
	if c.route == nil {
		return errkind.New(errkind.UnknownRoute, "service %q has no route for %s %s", c.service.Name, c.method, path)
	}
	return nil
}

// hostName returns the host of a Host header in lower case, without a port.
func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// choosePart chooses the service of a route by host. A forwarded request
// keeps the service that the forwarding instance has chosen.
func (h *Handler) choosePart(c *call) error {
	name := c.named
	if name == "" {
		name = h.Services.split.pick(c.route)
	}
	c.service = c.snap.Services[name]
	if c.service == nil {
		return errkind.New(errkind.NotReady, "service %q is not in the version in force here", name)
	}
	return nil
}

// findService takes the service from what the caller or the forwarding
// instance names, or from the first path segment, which is then not passed on
// to the target.
func (c *call) findService(name string) error {
	if c.named != "" {
		name = c.named
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

// routePath returns the path as the target decodes it. An escaped spelling
// must not lead around the rules of an at-most-once route.
func routePath(requestURI string) string {
	path, _, _ := strings.Cut(requestURI, "?")
	if decoded, err := url.PathUnescape(path); err == nil {
		return decoded
	}
	return path
}

func (c *call) checkShift(shift string) error {
	c.shift = shift
	if !c.route.NeedsShift {
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

// setDeadline sets when the request ends: after the time that the caller
// waits, within the bounds of the document.
func (c *call) setDeadline(wait time.Duration) {
	longest := c.snap.LongestDeadline(c.service)
	if c.route.Timeout > 0 {
		longest = min(longest, c.route.Timeout)
	}
	left := min(c.service.DefaultDeadline.D(), longest)
	if c.route.Timeout > 0 {
		left = c.route.Timeout
	}
	if c.granted > 0 {
		wait = c.granted
	}
	if wait > 0 {
		left = min(wait, longest)
	}
	c.deadline = c.received.Add(left)
}

// callerShare of a latency objective is left to the way between caller and
// entry, which the entry does not see.
const callerShare = 0.1

// setObjective sets when the answer must leave. elapsed is how long the caller
// has waited before this attempt; granted is what a forwarding entry tells.
func (c *call) setObjective(elapsed time.Duration, granted string) {
	switch {
	case granted != "":
		left, _ := dialect.Milliseconds(granted) // 0: missed
		c.objective = c.received.Add(left)
	case c.route.Objective > 0:
		own := time.Duration(float64(c.route.Objective) * (1 - callerShare))
		c.objective = c.received.Add(own - elapsed)
	default:
		c.objective = c.deadline
	}
}

// patienceSpread is the share of the longest wait from which on a wait counts as
// that of a first attempt: callers of a route are not all equally patient.
const patienceSpread = 0.8

// elapsed estimates how long the caller has waited before this attempt: one
// that waits much shorter than others has been refused before.
func (h *Handler) elapsed(c *call, wait time.Duration) time.Duration {
	if c.route.Host == "" || h.peer || wait <= 0 {
		return 0
	}
	first := time.Duration(patienceSpread * float64(h.Services.waits.longest(c.route, wait, c.received)))
	return max(first-wait, 0)
}

func (c *call) checkKey(key string) error {
	c.key = key
	if !c.once() {
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

// bodyTimeout bounds how long a caller may take to send its body.
const bodyTimeout = 5 * time.Second

// readBody reads the whole body before admission, so that a slow sender
// holds no slot.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, mem *BodyMemory) error {
	limit := c.service.MaxBodyBytes
	if own := c.snap.Callers.MaxBodyBytes; c.route.Host != "" && own > 0 {
		limit = own
	}
	if r.ContentLength > limit {
		return errkind.New(errkind.BodyTooLarge, "the body has %d bytes, service %q allows %d", r.ContentLength, c.service.Name, limit)
	}
	if r.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(c.received.Add(min(bodyTimeout, c.left(c.received))))
	in := &bodyReader{Reader: io.LimitReader(r.Body, limit+1), mem: mem}
	body, err := io.ReadAll(in)
	_ = rc.SetReadDeadline(time.Time{})
	c.release = in.release
	switch {
	case errkind.Of(err) == errkind.QueueFull:
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.New(errkind.SlowSender, "the body did not arrive in time")
	case err != nil:
		return errkind.Wrap(errkind.BadRequest, err, "read the body")
	case int64(len(body)) > limit:
		return errkind.New(errkind.BodyTooLarge, "the body has more than %d bytes, the limit of service %q", limit, c.service.Name)
	}
	c.body = body
	return nil
}
