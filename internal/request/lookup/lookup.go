// Package lookup tells callers which entry instances to use for a service.
package lookup

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/uber-go/tally/v4"
)

// Path is the path of a look-up.
const Path = "/lookup"

// maxEntries bounds the entries in a response.
const maxEntries = 8

// Response is the JSON response to a look-up.
type Response struct {
	Service    string  `json:"service"`
	DataCentre string  `json:"data_centre"` // data centre of the first entry
	ClientDC   string  `json:"client_data_centre,omitempty"`
	Version    uint64  `json:"version"`
	TTLSeconds float64 `json:"ttl_seconds"`
	KeyPrefix  string  `json:"key_prefix"` // prefix for the Idempotency-Key header
	Entries    []Entry `json:"entries"`    // best first
}

// Entry is an entry instance in a response.
type Entry struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"` // host:port for HTTP
}

// Config holds the dependencies of a Handler.
type Config struct {
	Instance   string
	DataCentre string
	Store      *snapshot.Store
	Blocks     *atomic.Pointer[blocks.Table]
	Ready      func() bool
	// Confirmed reports whether control has confirmed the version in force recently. Nil:
	// each version is confirmed.
	Confirmed func() bool
	Stopping  func() bool
	// Dispatcher returns the member that dispatches a service in this data
	// centre, or nil if none is known.
	Dispatcher func(service string) *fescuepb.Member
	// Usable reports whether a member of this data centre takes new requests.
	Usable func(instance string) bool
	// KeyToken returns the token for idempotency keys of a service in this data
	// centre, or "" if there is none.
	KeyToken func(service string) string
	Metrics  tally.Scope
}

// Handler serves GET /lookup.
type Handler struct {
	cfg      Config
	answered tally.Counter
	cache    sync.Map // cacheKey to *cachedResponse
}

// cacheKey identifies a cached response; dc is the data centre of the client, ""
// if unknown.
type cacheKey struct{ service, dc string }

// cachedResponse is an encoded response. It is valid for a short time only,
// because it depends on the state of members, which changes without a new version
// of the steering document. It becomes invalid immediately when a member of this
// data centre that it lists stops taking requests.
type cachedResponse struct {
	version        uint64
	until          time.Time
	localInstances []string // the instances of this data centre that it lists
	body           []byte
	ttl            string
}

// cacheLifetime bounds the age of a cached response.
const cacheLifetime = 100 * time.Millisecond

// New returns a Handler.
func New(cfg Config) *Handler {
	return &Handler{cfg: cfg, answered: cfg.Metrics.SubScope("lookups").Counter("answered")}
}

// ServeHTTP serves one look-up.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, ttl, err := h.respond(r)
	if err != nil {
		writeError(w, err)
		return
	}
	h.answered.Inc(1)
	header := w.Header()
	header["Content-Type"] = []string{"application/json"}
	header["Cache-Control"] = []string{ttl}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, err error) {
	kind := errkind.Of(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(kind.Response().Status)
	_ = json.NewEncoder(w).Encode(map[string]string{"kind": string(kind), "message": err.Error(), "did_run": string(kind.Response().DidRun)})
}

// respond returns the encoded response and its Cache-Control value, from the
// cache if possible.
func (h *Handler) respond(r *http.Request) (body []byte, ttl string, err error) {
	if !h.cfg.Ready() {
		return nil, "", errkind.New(errkind.NotReady, "no confirmed version of the steering document is in force yet")
	}
	confirmed := h.cfg.Confirmed == nil || h.cfg.Confirmed() // read before the version, which it must not be ahead of
	snap := h.cfg.Store.Load()
	query := r.URL.Query()
	service := query.Get("service")
	svc := snap.Services[service]
	switch {
	case svc == nil && !confirmed: // a later version may have it
		return nil, "", errkind.New(errkind.NotReady, "service %q is not in version %d, which is not confirmed at present", service, snap.Version)
	case svc == nil:
		return nil, "", errkind.New(errkind.UnknownService, "service %q is not in the steering document", service)
	}
	client, err := clientAddr(query.Get("client"), r.RemoteAddr)
	if err != nil {
		return nil, "", err
	}
	dc := h.clientDC(client)
	key := cacheKey{service, dc}
	now := time.Now()
	if v, ok := h.cache.Load(key); ok {
		if c := v.(*cachedResponse); c.version == snap.Version && now.Before(c.until) && h.allUsable(c.localInstances) {
			return c.body, c.ttl, nil
		}
	}
	c, err := h.encode(snap, svc, dc, now)
	if err != nil {
		return nil, "", err
	}
	h.cache.Store(key, c)
	return c.body, c.ttl, nil
}

// clientAddr returns the client address given in the query, or else the remote
// address of the connection.
func clientAddr(given, remote string) (netip.Addr, error) {
	if given != "" {
		a, err := netip.ParseAddr(given)
		if err != nil {
			return a, errkind.New(errkind.BadRequest, "query parameter client: %q is not an IP address", given)
		}
		return a, nil
	}
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return netip.Addr{}, errkind.Wrap(errkind.Internal, err, "parse the remote address of the connection")
	}
	return netip.ParseAddr(host)
}

// clientDC returns the data centre of a client address according to the address
// blocks, or "" if no block contains it.
func (h *Handler) clientDC(client netip.Addr) string {
	if t := h.cfg.Blocks.Load(); t != nil {
		if dc, ok := t.Lookup(client); ok {
			return dc
		}
	}
	return ""
}

func (h *Handler) encode(snap *snapshot.Snapshot, svc *snapshot.Service, clientDC string, now time.Time) (*cachedResponse, error) {
	a := h.build(snap, svc, clientDC)
	if len(a.Entries) == 0 {
		return nil, errkind.New(errkind.NoTarget, "no entry instance takes requests of service %q", svc.Name)
	}
	body, err := json.Marshal(a)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode the look-up response")
	}
	ttl := "max-age=" + strconv.Itoa(int(a.TTLSeconds))
	c := &cachedResponse{version: snap.Version, until: now.Add(cacheLifetime), body: append(body, '\n'), ttl: ttl}
	for _, e := range a.Entries {
		if e.DataCentre == h.cfg.DataCentre {
			c.localInstances = append(c.localInstances, e.Instance)
		}
	}
	return c, nil
}

func (h *Handler) allUsable(instances []string) bool {
	for _, name := range instances {
		if !h.usable(name) {
			return false
		}
	}
	return true
}

// usable reports whether a member of this data centre takes new requests.
func (h *Handler) usable(instance string) bool {
	if instance == h.cfg.Instance && h.cfg.Stopping() {
		return false
	}
	return h.cfg.Usable(instance)
}

func (h *Handler) build(snap *snapshot.Snapshot, svc *snapshot.Service, clientDC string) *Response {
	a := &Response{
		Service: svc.Name, ClientDC: clientDC, Version: snap.Version,
		TTLSeconds: snap.Limits.LookupTTL.AsDuration().Seconds(),
	}
	nearDC := clientDC
	if nearDC == "" {
		nearDC = h.cfg.DataCentre
	}
	for _, dc := range DataCentreOrder(snap, svc, nearDC) {
		for _, m := range h.members(snap, svc.Name, dc) {
			if len(a.Entries) < maxEntries {
				a.Entries = append(a.Entries, Entry{m.Instance, m.DataCentre, m.CallerAddr})
			}
		}
	}
	if len(a.Entries) > 0 {
		a.DataCentre = a.Entries[0].DataCentre
		a.KeyPrefix = h.keyPrefix(svc.Name, a.DataCentre)
	}
	return a
}

// keyPrefix returns the prefix for idempotency keys that are kept in dc. Only the
// prefix for this data centre carries a token.
func (h *Handler) keyPrefix(service, dc string) string {
	if dc == h.cfg.DataCentre {
		if token := h.cfg.KeyToken(service); token != "" {
			return dc + "." + token + "~"
		}
	}
	return dc + "~"
}

// members returns the entries of a data centre in dispatch order. For this data
// centre it omits those that take no new requests and puts the dispatcher first.
func (h *Handler) members(snap *snapshot.Snapshot, service, dc string) []*fescuepb.Member {
	order := snap.DispatchOrder(service, dc)
	if dc != h.cfg.DataCentre {
		return order
	}
	usable := order[:0:0]
	for _, m := range order {
		if h.usable(m.Instance) {
			usable = append(usable, m)
		}
	}
	if dispatcher := h.cfg.Dispatcher(service); dispatcher != nil {
		sort.SliceStable(usable, func(i, j int) bool {
			return usable[i].Instance == dispatcher.Instance && usable[j].Instance != dispatcher.Instance
		})
	}
	return usable
}

// DataCentreOrder returns the data centres of a service for callers near nearDC:
// that one first, then those of its region, then the others by the delay of the
// links. Data centres that are drained for the service come last. They are not
// omitted, so that callers of a service that is drained everywhere still learn
// where it runs.
func DataCentreOrder(snap *snapshot.Snapshot, svc *snapshot.Service, nearDC string) []string {
	out := append([]string(nil), svc.DataCentres...)
	rank := func(dc string) int {
		r := snap.OneWayDelayMicros(nearDC, dc)
		if snap.ServiceDrained(svc.Name, dc) {
			r += drainedPenalty
		}
		return r
	}
	sort.SliceStable(out, func(i, j int) bool { return rank(out[i]) < rank(out[j]) })
	return out
}

// drainedPenalty is added to the rank of a drained data centre. It is larger than
// any distance.
const drainedPenalty = 1 << 30
