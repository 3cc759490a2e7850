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
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/oklog/ulid/v2"
)

// Headers between callers, entries and targets.
const (
	HeaderService   = "Fescue-Service"
	HeaderShift     = "Fescue-Shift"
	HeaderDeadline  = "Fescue-Deadline-Ms"
	HeaderRequestID = "Fescue-Request-Id"
	HeaderNotRun    = "Fescue-Not-Run"
	HeaderKey       = "Idempotency-Key"
	HeaderInstance  = "Fescue-Instance"
	HeaderTarget    = "Fescue-Target"
	HeaderReplayed  = "Fescue-Replayed" // on stored answers: the request that ran

	headerForwardedBy = "Fescue-Forwarded-By"
	headerHops        = "Fescue-Hops"
	headerRemote      = "Fescue-Remote"
	headerRecorded    = "Fescue-Recorded"
	headerQueued      = "Fescue-Queued"
	headerFree        = "Fescue-Free-Slots"
	headerWait        = "Fescue-Expected-Wait-Ms"
	headerKind        = "Fescue-Error-Kind"
)

// internalHeaders are accepted on the peer listener only.
var internalHeaders = []string{headerForwardedBy, headerHops, headerRemote, headerRecorded}

const (
	maxHeaderBytes = 32 << 10
	maxKeyBytes    = 200
	maxIDBytes     = 64
	maxHops        = 3
)

// call is one request with everything that the decisions need.
type call struct {
	id       string
	snap     *snapshot.Snapshot
	service  *snapshot.Service
	route    *document.Route
	shift    string
	key      string
	deadline time.Time
	received time.Time
	body     []byte
	release  func() // gives the body's memory back; nil without a body

	method string
	path   string // with query, as sent to the target
	header http.Header

	hops     int
	from     string // instance that forwarded the call, "" for callers
	remote   bool   // forwarded from another data centre
	recorded bool   // the key's home has recorded the start already

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
func parse(r *http.Request, snap *snapshot.Snapshot, peer bool, now time.Time) (*call, error) {
	c := &call{snap: snap, received: now, method: r.Method, header: r.Header}
	c.id = requestID(r.Header.Get(HeaderRequestID))
	c.keyed = r.Header.Get(HeaderKey) != ""
	if size := headerSize(r); size > maxHeaderBytes {
		return c, errkind.New(errkind.HeaderTooLarge, "the header has %d bytes, at most %d are allowed", size, maxHeaderBytes)
	}
	if err := c.parseInternal(r.Header, peer); err != nil {
		return c, err
	}
	if err := c.findService(r); err != nil {
		return c, err
	}
	c.route = c.service.Route(r.Method, routePath(c.path))
	if c.route == nil {
		return c, errkind.New(errkind.UnknownRoute, "service %q has no route for %s %s", c.service.Name, r.Method, routePath(c.path))
	}
	if err := c.parseShift(r.Header); err != nil {
		return c, err
	}
	if err := c.parseDeadline(r.Header, now); err != nil {
		return c, err
	}
	return c, c.parseKey(r.Header)
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
	return nil
}

// findService takes the service from its header, or from the first path
// segment, which is then not passed on to the target.
func (c *call) findService(r *http.Request) error {
	name := r.Header.Get(HeaderService)
	c.path = r.URL.RequestURI()
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

func (c *call) parseShift(h http.Header) error {
	c.shift = h.Get(HeaderShift)
	if c.shift == "" {
		return errkind.New(errkind.MissingShift, "the header %s is required", HeaderShift)
	}
	if _, ok := c.snap.Shifts[c.shift]; !ok {
		return errkind.New(errkind.UnknownShift, "shift %q is not in the steering document", c.shift)
	}
	return nil
}

func (c *call) parseDeadline(h http.Header, now time.Time) error {
	longest := c.snap.LongestDeadline(c.service)
	left := min(c.service.DefaultDeadline.D(), longest)
	if text := h.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return errkind.New(errkind.BadDeadline, "%s: %q is not a positive number of milliseconds", HeaderDeadline, text)
		}
		left = longest
		if ms < longest.Milliseconds() {
			left = time.Duration(ms) * time.Millisecond
		}
	}
	c.deadline = now.Add(left)
	return nil
}

func (c *call) parseKey(h http.Header) error {
	c.key = h.Get(HeaderKey)
	if !c.once() {
		return nil
	}
	if c.key == "" {
		return errkind.New(errkind.MissingKey, "route %q runs at most once and requires the header %s", c.route.Path, HeaderKey)
	}
	if !validToken(c.key, maxKeyBytes) {
		return errkind.New(errkind.BadKey, "%s must have 1 to %d printable ASCII characters without spaces", HeaderKey, maxKeyBytes)
	}
	return nil
}

// bodyTimeout bounds how long a caller may take to send its body.
const bodyTimeout = 5 * time.Second

// readBody reads the whole body before admission, so that a slow sender
// holds no slot.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, mem *BodyMemory) error {
	limit := c.service.MaxBodyBytes
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
