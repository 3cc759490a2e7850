package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	"github.com/fescuejunction/fescuejunction/internal/connection/peer"
	"github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/entry/lifecycle"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/budget"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

// ownService is addressed by its name in the first path segment, without a host route.
const ownService = "rota"

// routedPrefixes are the prefixes of the routes of each routed host. Each has a service of
// its own, so that the target that gets a request tells which route was selected.
var routedPrefixes = []string{"/", "/lookup/", "/chairs/", "/chairs//", "/chairs/../", "/a%20b/", "/%E0%B4%B0/", "/" + ownService + "/"}

// The routed hosts. The targets of nearHost and addressHost are in data centre a, where
// callers send their requests; those of farHost are in data centre b, which has another
// entry.
const (
	nearHost    = "near.example"
	farHost     = "far.example"
	addressHost = "10.9.8.7"
)

// echoTarget starts a stand-in target that answers with what it got, byte for byte, and
// counts its requests.
func echoTarget(t *testing.T, service string, seen *atomic.Int32) (addr string) {
	lis := listenLoopback(t)
	var wg sync.WaitGroup
	t.Cleanup(func() { lis.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer conn.Close()
				r := textproto.NewReader(bufio.NewReader(conn))
				for answerEcho(conn, r, service) == nil {
					seen.Add(1)
				}
			})
		}
	})
	return lis.Addr().String()
}

// answerEcho answers one request. It does not parse the target.
func answerEcho(w io.Writer, r *textproto.Reader, service string) error {
	line, err := r.ReadLine()
	if err != nil {
		return err
	}
	header, err := r.ReadMIMEHeader()
	if err != nil {
		return err
	}
	length, _ := strconv.Atoi(header.Get("Content-Length")) // 0 without one
	body := make([]byte, length)
	if _, err := io.ReadFull(r.R, body); err != nil {
		return err
	}
	method, rest, _ := strings.Cut(line, " ")
	got := echo(service, method, strings.TrimSuffix(rest, " HTTP/1.1"), header.Get("Host"), string(body))
	_, err = fmt.Fprintf(w, "HTTP/1.1 207 Multi-Status\r\nEcho: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", strconv.Quote(got), dialect.HeaderRequestID, header.Get(dialect.HeaderRequestID))
	return err
}

func listenLoopback(t *testing.T) net.Listener {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return lis
}

// routedSystem is an entry in each of two data centres, with its targets.
type routedSystem struct {
	*testing.T
	first, second *process
	addr          string // of the first entry, for callers
	members       []*fescuepb.Member
	targets       []*fescuepb.Target
	seen          atomic.Int32 // requests at all targets
	conn          net.Conn     // of a caller to the first entry
	reader        *bufio.Reader
	requests      int
}

// newRoutedSystem starts the entries without a version.
func newRoutedSystem(t *testing.T, needHostRoutes bool) *routedSystem {
	s := &routedSystem{T: t}
	for _, host := range []string{nearHost, farHost, addressHost} {
		for i := range routedPrefixes {
			service := serviceOf(host, i)
			s.targets = append(s.targets, &fescuepb.Target{
				Id: "t-" + service, Service: service, Address: echoTarget(t, service, &s.seen), DataCentre: map[bool]string{true: "b", false: "a"}[host == farHost], Slots: 8, BornUnixMs: 1000,
			})
		}
	}
	callers, peers := [2]net.Listener{listenLoopback(t), listenLoopback(t)}, [2]net.Listener{listenLoopback(t), listenLoopback(t)}
	s.addr = callers[0].Addr().String()
	for i, entry := range []**process{&s.first, &s.second} {
		set := &Settings{
			Instance: []string{"e1", "e2"}[i], DataCentre: []string{"a", "b"}[i], Region: []string{"north", "south"}[i], NeedHostRoutes: needHostRoutes,
			CallerAddr: callers[i].Addr().String(), PeerAddr: peers[i].Addr().String(), TLS: settings.TLS{PlaintextLoopback: true},
		}
		*entry = startTestEntry(t, set, callers[i], peers[i])
		s.members = append(s.members, &fescuepb.Member{
			Instance: set.Instance, DataCentre: set.DataCentre, Region: set.Region, Role: fescuepb.Role_ROLE_ENTRY,
			CallerAddr: set.CallerAddr, PeerAddr: set.PeerAddr, Session: 1,
		})
	}
	t.Cleanup(func() {
		if s.conn != nil {
			s.conn.Close()
		}
	})
	return s
}

// startTestEntry serves the requests of callers and of other entries like the process,
// but takes each version as confirmed.
func startTestEntry(t *testing.T, set *Settings, callers, peers net.Listener) *process {
	log := logging.Discard()
	links, err := peer.NewLinks(set.TLS, log)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		ext: Extension{}.withDefaults(), lifecycle: lifecycle.New(log), settings: set, log: log, scope: tally.NoopScope,
		store: &snapshot.Store{}, peers: links, linkBudget: &linkBudget{shares: budget.NewLinkShares(set.Instance)},
	}
	p.assemble()
	requests, lookups := p.proxyConfig(), p.lookupConfig()
	requests.Ready = func() bool {
		snap := p.store.Load()
		return snap != nil && (!set.NeedHostRoutes || snap.HasHostRoutes())
	}
	requests.Confirmed = func() bool { return true }
	lookups.Ready, lookups.Usable = requests.Ready, func(string) bool { return true }
	forCallers, forPeers := p.serversOf(requests, lookups)
	for srv, lis := range map[*caller.Server]net.Listener{forCallers: callers, forPeers: peers} {
		served := make(chan error, 1)
		go func() { served <- srv.Serve(lis) }()
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = srv.Shutdown(ctx)
			<-served
		})
	}
	t.Cleanup(func() {
		p.guarded.Stop()
		links.Close()
		for _, conns := range []http.RoundTripper{requests.Targets, requests.Peers} {
			conns.(*target.Transport).CloseIdleConnections()
		}
	})
	return p
}

// routedDocument returns the section with the routes of the given hosts.
func routedDocument(hosts ...string) string {
	doc := "team: platform\nregions: [{name: north, data_centres: [a]}, {name: south, data_centres: [b]}]\nshifts: [{name: s1, cap: 10}]\n" +
		"services:\n  - {name: " + ownService + ", data_centres: [a], slots_per_target: 2, routes: [{path: /}]}\n"
	for _, host := range []string{nearHost, farHost, addressHost} {
		for i := range routedPrefixes {
			doc += "  - {name: " + serviceOf(host, i) + ", guarded_slots: true, health_path: /health}\n"
		}
	}
	if len(hosts) > 0 {
		doc += "host_routes:\n"
	}
	for _, host := range hosts {
		for i, prefix := range routedPrefixes {
			doc += fmt.Sprintf("  - {name: %s, host: %s, prefix: %q, timeout: 10s, services: [{service: %[1]s, weight: 1}]}\n", serviceOf(host, i), host, prefix)
		}
	}
	return doc
}

// use brings a version into force at an entry.
func (s *routedSystem) use(p *process, version uint64, doc string) {
	s.Helper()
	snap, err := new(snapshot.Builder).Build(snapshot.Content{
		Version: version, Sections: []*fescuepb.Section{{Team: "platform", Yaml: []byte(doc)}}, Members: s.members, Targets: s.targets,
	})
	if err != nil {
		s.Fatal(err)
	}
	p.guarded.SetSnapshot(snap)
	p.store.Swap(snap)
}

// send sends a request to the first entry and returns the answer.
func (s *routedSystem) send(method, request string) (*http.Response, string, error) {
	s.Helper()
	if s.conn == nil {
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			s.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(time.Minute))
		s.conn, s.reader = conn, bufio.NewReader(conn)
	}
	if _, err := io.WriteString(s.conn, request); err != nil {
		return nil, "", err
	}
	resp, err := http.ReadResponse(s.reader, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if resp.Close {
		s.conn.Close()
		s.conn = nil
	}
	return resp, string(body), err
}

// check sends a request of a routed host and returns what is wrong with its answer, or "".
func (s *routedSystem) check(r shape) string {
	s.Helper()
	s.requests++
	resp, body, err := s.send(r.method, r.encode(fmt.Sprintf("r%d", s.requests)))
	if err != nil {
		s.Fatalf("%v: %v", r, err)
	}
	if resp.StatusCode != http.StatusMultiStatus {
		return fmt.Sprintf("the entry answered %d itself, Location %q: %.200s", resp.StatusCode, resp.Header.Get("Location"), body)
	}
	if got, _ := strconv.Unquote(resp.Header.Get("Echo")); got != r.wantEcho() {
		return fmt.Sprintf("%s, want %s", got, r.wantEcho())
	}
	return ""
}

// Guards against an entry, or a library that it uses, that takes part of the requests of a
// routed host for its own: answers or redirects them, changes them, or sends them to
// another service than that of the longest prefix that begins the path. The product's
// look-up, the cleaning of paths and the decoding of escapes had this fault.
func TestRequestsOfRoutedHostReachTheirRoute(t *testing.T) {
	for _, needHostRoutes := range []bool{false, true} {
		s := newRoutedSystem(t, needHostRoutes)
		for _, p := range []*process{s.first, s.second} {
			s.use(p, 7, routedDocument(nearHost, farHost, addressHost))
		}
		failed, reported := 0, map[string]bool{}
		for _, host := range []string{nearHost, farHost, addressHost} {
			for _, r := range shapes(host) {
				fault := s.check(r)
				if fault == "" {
					continue
				}
				failed++
				if !reported[r.path] {
					t.Errorf("%v: %s", r, fault)
				}
				reported[r.path] = true
			}
		}
		if failed > 0 {
			t.Fatalf("%d of %d requests failed, on %d paths", failed, s.requests, len(reported))
		}
		rapid.Check(t, func(t *rapid.T) {
			r := drawShape(t)
			if fault := s.check(r); fault != "" {
				t.Fatalf("%v: %s", r, fault)
			}
		})
	}
}

// Guards against an entry that takes requests of a host for its own, or for a service that
// it names in the first path segment, while it has not heard of the host's routes.
func TestRequestsOfUnknownHostReachNothing(t *testing.T) {
	known := []string{nearHost, farHost, addressHost}
	unknownHere, unknownThere := []errkind.Kind{errkind.UnknownRoute, errkind.NotReady}, []errkind.Kind{errkind.NotReady, errkind.NoTarget}
	for _, tc := range []struct {
		name           string
		needHostRoutes bool
		first, second  []string // routed hosts in the version of each entry; nil: it has no version
		hosts          []string // of the requests
		kinds          []errkind.Kind
	}{
		{"no version", true, nil, known, known, unknownHere},
		{"no version, own callers", false, nil, known, []string{nearHost, farHost}, unknownHere},
		{"no host routes yet", true, []string{}, known, known, unknownHere},
		{"no host routes yet, own callers", false, []string{}, known, []string{nearHost, farHost}, unknownHere},
		{"other hosts only", true, []string{farHost}, known, []string{nearHost, addressHost}, unknownHere},
		{"other hosts only, own callers", false, []string{farHost}, known, []string{nearHost}, unknownHere},
		{"other hosts only at the other entry", true, known, []string{nearHost}, []string{farHost}, unknownThere},
		{"no host routes at the other entry, own callers", false, known, []string{}, []string{farHost}, unknownThere},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newRoutedSystem(t, tc.needHostRoutes)
			if !tc.needHostRoutes {
				s.first.settings.OwnHosts = []string{"entry.example"}
			}
			if tc.first != nil {
				s.use(s.first, 7-uint64(len(known)-len(tc.first)), routedDocument(tc.first...))
			}
			s.use(s.second, 7-uint64(len(known)-len(tc.second)), routedDocument(tc.second...))
			for _, host := range tc.hosts {
				for _, r := range shapes(host) {
					if r.method == "GET" || r.method == "POST" && r.body != "" && !r.absolute {
						s.expectUnserved(r, tc.kinds)
					}
				}
			}
			if n := s.seen.Load(); n > 0 {
				t.Errorf("%d requests reached a target", n)
			}
		})
	}
}

// Guards against an entry that takes those requests of a routed host for its own that match
// none of its routes.
func TestRequestsWithoutRouteOnRoutedHostReachNothing(t *testing.T) {
	var doc []string
	for line := range strings.Lines(routedDocument(nearHost, addressHost)) {
		if !strings.Contains(line, "prefix: ") || strings.Contains(line, `prefix: "/chairs/"`) {
			doc = append(doc, line)
		}
	}
	for _, needHostRoutes := range []bool{false, true} {
		s := newRoutedSystem(t, needHostRoutes)
		s.use(s.first, 7, strings.Join(doc, ""))
		for _, host := range []string{nearHost, addressHost} {
			for _, r := range shapes(host) {
				if r.method != "HEAD" && !strings.HasPrefix(r.path, "/chairs/") {
					s.expectUnserved(r, []errkind.Kind{errkind.UnknownRoute})
				}
			}
		}
		if n := s.seen.Load(); n > 0 {
			t.Errorf("%d requests reached a target", n)
		}
	}
}

// expectUnserved sends a request that must be refused with one of the given kinds.
func (s *routedSystem) expectUnserved(r shape, kinds []errkind.Kind) {
	s.Helper()
	s.requests++
	resp, body, err := s.send(r.method, r.encode(fmt.Sprintf("r%d", s.requests)))
	if err != nil {
		s.Fatalf("%v: %v", r, err)
	}
	var refusal struct{ Kind errkind.Kind }
	_ = json.Unmarshal([]byte(body), &refusal) // another body has no kind
	if !slices.Contains(kinds, refusal.Kind) || resp.Header.Get(dialect.HeaderNotRun) != "true" {
		s.Errorf("%v: answered %d %s, want one of %v", r, resp.StatusCode, body, kinds)
	}
}

// Guards against the loss of the entry's own interface: look-ups on its own hosts.
func TestLookupsOnOwnHosts(t *testing.T) {
	s := newRoutedSystem(t, false)
	s.first.settings.OwnHosts = []string{"Entry.example"}
	s.use(s.first, 7, routedDocument(nearHost))
	_, port, _ := net.SplitHostPort(s.addr)
	for _, host := range []string{s.addr, "127.0.0.1", "localhost:" + port, "[::1]:" + port, addressHost, "entry.example:" + port} {
		resp, body, err := s.send("GET", "GET /lookup?service="+ownService+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		var got struct{ Entries []struct{ Address string } }
		if err := json.Unmarshal([]byte(body), &got); err != nil || resp.StatusCode != http.StatusOK || len(got.Entries) != 1 || got.Entries[0].Address != s.addr {
			t.Errorf("look-up on host %s: %d %s", host, resp.StatusCode, body)
		}
	}
}

// Guards against a request without a path that reaches a target with a path that the caller
// did not send.
func TestTargetsWithoutPathAreOnNoRoute(t *testing.T) {
	s := newRoutedSystem(t, false)
	s.use(s.first, 7, routedDocument(nearHost))
	for _, r := range []shape{{method: "OPTIONS", path: "*"}, {method: "GET", path: "*"}, {method: "CONNECT", path: nearHost + ":80"}, {method: "GET", path: "x:y://z/a"}, {method: "GET", path: "http:///a"}} {
		r.host = nearHost
		s.expectUnserved(r, []errkind.Kind{errkind.UnknownRoute})
	}
	if n := s.seen.Load(); n > 0 {
		t.Errorf("%d requests reached a target", n)
	}
}
