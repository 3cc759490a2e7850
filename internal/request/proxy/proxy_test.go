package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	connection "github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testDocument = `
team: kerala
services:
  - name: rota
    data_centres: [a]
    slots_per_target: 2
    default_deadline: 2s
    max_body_bytes: 200000
    routes:
      - {path: /}
      - {path: /safe, safe: true}
      - {path: /claim, once: true}
    hedge: {budget_percent: 100, min_delay: 5ms}
    retry: {budget_percent: 100}
shifts:
  - {name: s1, cap: 10}
`

// testCaps counts the units in use. If full is set, it grants none; if expired is
// set, its units are not valid.
type testCaps struct {
	full    bool
	inUse   atomic.Int32
	expired atomic.Bool
}

func (c *testCaps) Acquire(context.Context, string) (CapUnit, error) {
	if c.full {
		return nil, errkind.New(errkind.ShiftCapReached, "full")
	}
	c.inUse.Add(1)
	return &testUnit{caps: c}, nil
}

func (c *testCaps) TryAcquire(shift string) (CapUnit, bool) {
	u, err := c.Acquire(context.Background(), shift)
	return u, err == nil
}

// testUnit panics if it is released twice.
type testUnit struct {
	caps *testCaps
	done atomic.Bool
}

func (u *testUnit) Valid() bool { return !u.caps.expired.Load() }
func (u *testUnit) Release() {
	if u.done.Swap(true) {
		panic("unit released twice")
	}
	u.caps.inUse.Add(-1)
}

// testGroups returns a dispatcher on this instance or the home of the service.
type testGroups struct {
	p atomic.Pointer[dispatcherPlace]
}

type dispatcherPlace struct {
	d    *dispatch.Dispatcher
	home *fescuepb.Member
}

func (g *testGroups) Dispatcher(string) *dispatch.Dispatcher   { return g.p.Load().d }
func (g *testGroups) DispatchingEntry(string) *fescuepb.Member { return g.p.Load().home }

// moveTo makes another entry of this data centre the dispatcher.
func (g *testGroups) moveTo(peerAddr string) {
	g.p.Store(&dispatcherPlace{home: &fescuepb.Member{Instance: "e2", DataCentre: "a", PeerAddr: peerAddr}})
}

// testLedger stores the keys on this instance, unless elsewhere is set. ended is
// the recorded outcome of the last key.
type testLedger struct {
	elsewhere bool
	start     error
	stored    *StoredAnswer
	ended     atomic.Value
}

func (l *testLedger) Home(*snapshot.Snapshot, string, string) (string, bool) {
	return "a", !l.elsewhere
}

func (l *testLedger) Start(context.Context, string, string, []byte) (*StoredAnswer, error) {
	return l.stored, l.start
}

func (l *testLedger) Finish(_ context.Context, _, _ string, _ *StoredAnswer, notRun bool) {
	l.ended.Store(map[bool]string{true: "not run", false: "stored"}[notRun])
}

func (l *testLedger) Abandon(string, string) { l.ended.Store("abandoned") }

// testGuarded returns the test entry's slots as those of its own region, and the
// members of the document's version as the entries of other regions.
type testGuarded struct {
	w *testEntry
}

func (g testGuarded) Slots(string, string) dispatch.Slots { return g.w.d }

func (g testGuarded) RegionEntries(region, _ string) (out []*fescuepb.Member) {
	for _, m := range g.w.h.Store.Load().Members() {
		if m.Region == region {
			out = append(out, m)
		}
	}
	return out
}
func (g testGuarded) MarkUnreachable(string) {}

// testEntry is an entry with stand-in targets.
type testEntry struct {
	*testing.T
	h      *Handler
	d      *dispatch.Dispatcher
	caps   *testCaps
	groups *testGroups
	ledger *testLedger
	addr   string // address of the entry
	server *caller.Server
	client *http.Client
}

// newTestEntry starts an entry with the given targets, for callers or for other
// entries.
func newTestEntry(t *testing.T, peer bool, targets ...string) *testEntry {
	t.Helper()
	w := newEntryWithoutListener(t, peer, targets...)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.addr = lis.Addr().String()
	srv := &caller.Server{Handler: w.h, Log: w.h.Log, Limits: func() caller.Limits {
		return caller.Limits{HeaderBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	}}
	w.server = srv
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	t.Cleanup(func() {
		w.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := srv.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		<-served
		w.h.Targets.(*connection.Transport).CloseIdleConnections()
		w.h.Peers.(*connection.Transport).CloseIdleConnections()
	})
	return w
}

// newEntryWithoutListener returns an entry whose handler is called directly.
func newEntryWithoutListener(t *testing.T, peer bool, targets ...string) *testEntry {
	t.Helper()
	snap, err := snapshot.Build(1, []*fescuepb.Section{{Team: "kerala", Yaml: []byte(testDocument)}}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	w := &testEntry{T: t, caps: &testCaps{}, ledger: &testLedger{}, groups: &testGroups{}, client: &http.Client{Transport: &http.Transport{}}}
	w.d = dispatch.NewDispatcher(dispatch.Settings{Slots: 2, QueueLimit: 8, HedgePercent: 100, HedgeMinDelay: 5 * time.Millisecond}, time.Now)
	var infos []dispatch.TargetInfo
	for i, addr := range targets {
		infos = append(infos, dispatch.TargetInfo{ID: strconv.Itoa(i), Addr: addr, Slots: 2, ReportedLoad: -1})
	}
	w.d.SetTargets(infos)
	w.groups.p.Store(&dispatcherPlace{d: w.d})
	store := &snapshot.Store{}
	store.Swap(snap)
	log := logrus.New()
	log.SetOutput(io.Discard)
	targetConns := &connection.Transport{
		Dial:       connection.Dial,
		RequestID:  func(req *http.Request) string { return req.Header.Get(dialect.HeaderRequestID) },
		ResponseID: func(resp *http.Response) string { return resp.Header.Get(dialect.HeaderRequestID) },
	}
	peerConns := &connection.Transport{
		Dial:       connection.Dial,
		RequestID:  func(req *http.Request) string { return ForwardID(req.Header) },
		ResponseID: func(resp *http.Response) string { return ForwardID(resp.Header) },
	}
	w.h = New(Config{
		Instance: "e1", DataCentre: "a", Store: store, Dialect: dialect.Native{}, Ready: func() bool { return true }, Confirmed: func() bool { return true },
		Groups: w.groups, Guarded: testGuarded{w}, Caps: w.caps, Places: spill.NewChooser(nil, func() float64 { return 0.5 }), Ledger: w.ledger,
		Shares:   spill.NewRegionShiftLimiter("north", 0, spill.DefaultRegionShiftWindow),
		Services: &ServiceStates{}, Targets: targetConns, Peers: peerConns,
		Suspects: &Suspects{Table: quarantine.NewTable("e1"), Crashed: targetConns.Crashed, Report: func(quarantine.Event) {}},
		Now:      time.Now, Log: logrus.NewEntry(log), Metrics: tally.NoopScope,
	}, peer)
	return w
}

// request returns a request for service rota with shift s1. headers are pairs of
// name and value that are set in addition.
func (w *testEntry) request(method, path, body string, headers ...string) *http.Request {
	req, err := http.NewRequest(method, "http://"+w.addr+path, strings.NewReader(body))
	if err != nil {
		w.Fatal(err)
	}
	req.Header.Set(dialect.HeaderService, "rota")
	req.Header.Set(dialect.HeaderShift, "s1")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

// do sends a request and returns the answer with its whole body. The error is that
// of sending the request or of reading the answer.
func (w *testEntry) do(req *http.Request) (*http.Response, string, error) {
	w.Helper()
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// expectError sends a request that must get an error answer of the given kind with
// the given statement whether it ran.
func (w *testEntry) expectError(req *http.Request, kind errkind.Kind, didRun errkind.DidRun) {
	w.Helper()
	resp, body, err := w.do(req)
	if err != nil {
		w.Fatal(err)
	}
	notRun := resp.Header.Get(dialect.HeaderNotRun) == "true"
	if resp.StatusCode != kind.Response().Status || !strings.Contains(body, `"kind":"`+string(kind)+`"`) ||
		!strings.Contains(body, `"did_run":"`+string(didRun)+`"`) || notRun != (didRun == errkind.No) {
		w.Errorf("got %d %s (not run %v), want %s with did_run %s", resp.StatusCode, body, notRun, kind, didRun)
	}
}

// waitReleased waits up to 3 s until no unit and no slot is in use.
func (w *testEntry) waitReleased() {
	w.Helper()
	for end := time.Now().Add(3 * time.Second); w.caps.inUse.Load() != 0 || w.d.Load().InFlight != 0; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.Fatalf("%d units and %d slots are still in use", w.caps.inUse.Load(), w.d.Load().InFlight)
		}
	}
}

// target starts an HTTP server as a stand-in target and returns its address.
func target(t *testing.T, f http.HandlerFunc) string {
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// rawTarget starts a stand-in target that answers the n-th request, counted from
// 1, with the bytes that answer(n) returns, and closes the connection if hangUp is
// set. seen counts the requests that it has read.
func rawTarget(t *testing.T, answer func(n int) (text string, hangUp bool)) (addr string, seen *atomic.Int32) {
	seen = &atomic.Int32{}
	return serveConns(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			text, hangUp := answer(int(seen.Add(1)))
			_, _ = io.WriteString(conn, text)
			if hangUp {
				return
			}
		}
	}), seen
}

// serveConns passes each connection to a new address to serve, in its own goroutine.
func serveConns(t *testing.T, serve func(net.Conn)) (addr string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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
				serve(conn)
			})
		}
	})
	return lis.Addr().String()
}

// constantAnswer returns an answer function for rawTarget that always returns text
// and closes the connection.
func constantAnswer(text string) func(int) (string, bool) {
	return func(int) (string, bool) { return text, true }
}

// Guards against truncated answers, and answers to other requests, that look
// complete to the caller. Also guards against units and slots that stay in use
// after such answers.
func TestAnswerNeverCutShort(t *testing.T) {
	big := strings.Repeat("x", answerBufferBytes+1000)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(big), big)
	for _, c := range []struct {
		name, answer string
		kind         errkind.Kind // "" if the connection to the caller must break off
	}{
		{"length, buffered", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345", errkind.AnswerBroken},
		{"length, no body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", errkind.AnswerBroken},
		{"chunked, buffered", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", errkind.AnswerBroken},
		{"length, beyond the buffer", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(big)+1, big), ""},
		{"chunked, beyond the buffer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk, ""},
		{"ends by closing", "HTTP/1.1 200 OK\r\n\r\n12345", errkind.AnswerBroken},
		{"other request", "HTTP/1.1 200 OK\r\nFescue-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", errkind.AnswerMismatch},
		{"status below 100", "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok", errkind.AnswerBroken},
		{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", errkind.AnswerBroken},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, _ := rawTarget(t, constantAnswer(c.answer))
			w := newTestEntry(t, false, addr)
			if c.kind != "" {
				w.expectError(w.request("GET", "/", ""), c.kind, errkind.Unknown)
			} else if _, body, err := w.do(w.request("GET", "/", "")); err == nil {
				t.Errorf("a truncated answer of %d bytes ended cleanly", len(body))
			}
			w.waitReleased()
		})
	}
}

// Guards against valid answers without a body that are refused or changed.
func TestAnswersWithoutBody(t *testing.T) {
	for _, c := range []struct{ method, answer, wantLength string }{
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "100000"},
		{"HEAD", "HTTP/1.1 200 OK\r\n\r\n", ""},
		{"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nEtag: x\r\n\r\n", ""},
		{"GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "0"},
	} {
		addr, _ := rawTarget(t, constantAnswer(c.answer))
		w := newTestEntry(t, false, addr)
		resp, body, err := w.do(w.request(c.method, "/", ""))
		if err != nil || resp.StatusCode >= 400 || body != "" || resp.Header.Get("Content-Length") != c.wantLength {
			t.Errorf("%s %q: %v %q %v", c.method, c.answer, resp, body, err)
		}
		w.waitReleased()
	}
}

// Guards against an error answer to HEAD that has a body. The caller would read the
// body as the beginning of the next answer on the connection.
func TestErrorAnswerToHead(t *testing.T) {
	w := newTestEntry(t, false)
	for range 2 {
		resp, body, err := w.do(w.request("HEAD", "/", "", dialect.HeaderShift, "none"))
		if err != nil || body != "" || resp.StatusCode != http.StatusForbidden || resp.ContentLength <= 0 {
			t.Fatalf("%v %q %v", resp, body, err)
		}
	}
}

// Guards against answers whose trailers are lost, which may contain a checksum.
func TestTrailers(t *testing.T) {
	for _, size := range []int{0, 5, answerBufferBytes, answerBufferBytes + 5} {
		home := newTestEntry(t, true, target(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Sum")
			_, _ = io.WriteString(w, strings.Repeat("x", size))
			w.Header().Set("X-Sum", strconv.Itoa(size))
		}))
		w := newTestEntry(t, false)
		w.groups.moveTo(home.addr)
		resp, body, err := w.do(w.request("GET", "/", ""))
		if err != nil || len(body) != size || resp.Trailer.Get("X-Sum") != strconv.Itoa(size) {
			t.Errorf("%d bytes: got %d, trailer %v, %v", size, len(body), resp.Trailer, err)
		}
		home.waitReleased()
	}
}

// Guards against a broken answer that looks complete to an HTTP/1.0 caller, which
// takes the close of the connection for the end of the answer.
func TestHTTP10Caller(t *testing.T) {
	body := strings.Repeat("x", answerBufferBytes+1000)
	for _, c := range []struct{ answer, want string }{
		{fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body), "502 Bad Gateway"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", "200 OK"},
	} {
		addr, _ := rawTarget(t, constantAnswer(c.answer))
		w := newTestEntry(t, false, addr)
		conn, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "GET / HTTP/1.0\r\nFescue-Service: rota\r\nFescue-Shift: s1\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.Status != c.want || resp.ContentLength <= 0 {
			t.Errorf("%v %v", resp, err)
		}
		_ = conn.Close()
		w.waitReleased()
	}
}
