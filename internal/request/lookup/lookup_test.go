package lookup

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/uber-go/tally/v4"
)

const platformSection = `
team: platform
regions:
  - {name: n, data_centres: [n1, n2]}
  - {name: s, data_centres: [s1]}
  - {name: e, data_centres: [e1]}
links:
  - {from: n, to: s, bytes_per_second: 1000, delay_ms: 50}
  - {from: n, to: e, bytes_per_second: 1000, delay_ms: 20}
limits: {lookup_ttl: 1500ms}
`

const teamSection = `
team: kerala
services:
  - {name: rota, data_centres: [s1, e1, n1, n2], slots_per_target: 2, routes: [{path: /}]}
`

// fixture is a handler of instance n1-a with the state that its responses depend
// on.
type fixture struct {
	*testing.T
	handler    *Handler
	store      snapshot.Store
	stopping   atomic.Bool
	unusable   string
	dispatcher string
	ready      bool
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{T: t, ready: true}
	f.publishVersion(1, "")
	table := blocks.New()
	for prefix, dc := range map[string]string{"10.0.0.0/8": "s1", "10.1.0.0/16": "n2", "10.1.2.0/24": "e1", "2001:db8::/32": "s1"} {
		if err := table.Insert(netip.MustParsePrefix(prefix), dc); err != nil {
			t.Fatal(err)
		}
	}
	var p atomic.Pointer[blocks.Table]
	p.Store(table)
	f.handler = New(Config{
		Instance: "n1-a", DataCentre: "n1", Store: &f.store, Blocks: &p,
		Ready: func() bool { return f.ready }, Stopping: f.stopping.Load,
		Dispatcher: func(string) *fescuepb.Member { return f.store.Load().Member(f.dispatcher) },
		Usable:     func(instance string) bool { return instance != f.unusable },
		KeyToken:   func(string) string { return "tok" }, Metrics: tally.NoopScope,
	})
	return f
}

// publishVersion puts a version with these drains in force.
func (f *fixture) publishVersion(version uint64, drains string) {
	var members []*fescuepb.Member
	for _, name := range []string{"n1-a", "n1-b", "n1-c", "n2-a", "s1-a", "e1-a"} {
		members = append(members, &fescuepb.Member{Instance: name, DataCentre: name[:2], Role: fescuepb.Role_ROLE_ENTRY, CallerAddr: name + ":80"})
	}
	snap, err := snapshot.Build(version, []*fescuepb.Section{
		{Team: "platform", Yaml: []byte(platformSection)}, {Team: "kerala", Yaml: []byte(teamSection + drains)},
	}, members, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.store.Swap(snap)
}

// get sends a look-up and decodes the response.
func (f *fixture) get(query string) (*httptest.ResponseRecorder, Response) {
	f.Helper()
	rec := httptest.NewRecorder()
	r := httptest.NewRequest("GET", "/lookup?"+query, nil)
	r.RemoteAddr = "192.0.2.1:1"
	f.handler.ServeHTTP(rec, r)
	var a Response
	if err := json.Unmarshal(rec.Body.Bytes(), &a); err != nil {
		f.Fatal(err)
	}
	return rec, a
}

// dataCentreOrder returns the data centres of the response in order, each once.
func (f *fixture) dataCentreOrder(client string) string {
	f.Helper()
	_, a := f.get("service=rota&client=" + url.QueryEscape(client))
	var out []string
	for _, e := range a.Entries {
		if len(out) == 0 || out[len(out)-1] != e.DataCentre {
			out = append(out, e.DataCentre)
		}
	}
	return strings.Join(out, " ")
}

// listsEntry reports whether the response lists an instance.
func (f *fixture) listsEntry(instance string) bool {
	f.Helper()
	_, a := f.get("service=rota")
	for _, e := range a.Entries {
		if e.Instance == instance {
			return true
		}
	}
	return false
}

// Guards against responses that list the wrong data centre first, or a drained
// data centre before others.
func TestDataCentreOrder(t *testing.T) {
	f := newFixture(t)
	for _, c := range []struct{ client, want string }{
		{"10.1.3.4", "n2 n1 e1 s1"},        // the /16 block, then the region, then the link with the lower delay
		{"10.1.2.3", "e1 s1 n1 n2"},        // the /24 block wins over the /16 block
		{"10.9.9.9", "s1 e1 n1 n2"},        // the /8 block
		{"::ffff:10.1.2.3", "e1 s1 n1 n2"}, // the IPv4-mapped form of 10.1.2.3
		{"2001:db8::1", "s1 e1 n1 n2"},
		{"203.0.113.1", "n1 n2 e1 s1"}, // in no block: near the entry that responds
	} {
		if got := f.dataCentreOrder(c.client); got != c.want {
			t.Errorf("%s: %s, want %s", c.client, got, c.want)
		}
	}
	f.publishVersion(2, "drains: [{service: rota, data_centre: n2}]")
	if got := f.dataCentreOrder("10.1.3.4"); got != "n1 e1 s1 n2" {
		t.Errorf("with n2 drained: %s", got)
	}
}

// Guards against an extra hop on the usual path, which requests take if the
// dispatcher is not listed first.
func TestDispatcherFirst(t *testing.T) {
	for _, dispatcher := range []string{"n1-a", "n1-b", "n1-c"} {
		f := newFixture(t)
		f.dispatcher = dispatcher
		if _, a := f.get("service=rota"); a.Entries[0].Instance != dispatcher || a.KeyPrefix != "n1.tok~" || a.DataCentre != "n1" {
			t.Errorf("dispatcher %s: %+v", dispatcher, a)
		}
	}
}

// Guards against look-ups that list an entry after it began to leave, also from
// the cached response.
func TestLeavingEntryOmittedAtOnce(t *testing.T) {
	f := newFixture(t)
	if !f.listsEntry("n1-a") || !f.listsEntry("n1-b") {
		t.Fatal("entries n1-a and n1-b are not both listed")
	}
	f.unusable = "n1-b"
	if f.listsEntry("n1-b") {
		t.Error("an entry that is leaving is still listed")
	}
	f.stopping.Store(true)
	if f.listsEntry("n1-a") {
		t.Error("the responding entry is still listed while it stops")
	}
	f.publishVersion(2, "drains: [{instance: n1-c}]")
	if f.listsEntry("n1-c") {
		t.Error("a drained entry is still listed")
	}
}

// Guards against wrong cache lifetimes, headers, error kinds and status codes.
func TestHeadersAndErrors(t *testing.T) {
	f := newFixture(t)
	rec, a := f.get("service=rota")
	if a.TTLSeconds != 1.5 || rec.Header().Get("Cache-Control") != "max-age=1" || rec.Header().Get("Content-Type") != "application/json" || a.Version != 1 {
		t.Errorf("%+v %v", a, rec.Header())
	}
	for _, c := range []struct {
		query, kind string
		status      int
	}{
		{"service=none", "unknown_service", 404},
		{"", "unknown_service", 404},
		{"service=rota&client=here", "bad_request", 400},
		{"service=rota&client=10.0.0.0/8", "bad_request", 400},
	} {
		rec, _ := f.get(c.query)
		if rec.Code != c.status || !strings.Contains(rec.Body.String(), `"kind":"`+c.kind+`"`) || rec.Header().Get("Cache-Control") != "no-store" {
			t.Errorf("%q: %d %s", c.query, rec.Code, rec.Body)
		}
	}
	f.ready = false
	if rec, _ := f.get("service=rota"); rec.Code != 503 {
		t.Errorf("not ready: %d", rec.Code)
	}
}

// Guards against a final answer from an old version: callers do not repeat a look-up after
// 404, and a later version may have the service.
func TestServiceIsUnknownOnlyInAConfirmedVersion(t *testing.T) {
	f := newFixture(t)
	confirmed := false
	f.handler.cfg.Confirmed = func() bool { return confirmed }
	if rec, _ := f.get("service=nowhere"); rec.Code != http.StatusServiceUnavailable {
		t.Errorf("unconfirmed: status %d", rec.Code)
	}
	if rec, _ := f.get("service=rota"); rec.Code != http.StatusOK {
		t.Errorf("a cut-off entry answers look-ups of services that it knows: status %d", rec.Code)
	}
	confirmed = true
	if rec, _ := f.get("service=nowhere"); rec.Code != http.StatusNotFound {
		t.Errorf("confirmed: status %d", rec.Code)
	}
}
