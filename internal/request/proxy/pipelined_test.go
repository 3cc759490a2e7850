package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

const pipelinedDocument = `team: platform
regions: [{name: north, data_centres: [a]}]
services: [{name: rota, guarded_slots: true, health_path: /health}]
host_routes:
  - {name: safe, host: rota.example, prefix: /safe/, safe: true, max_attempts: 1, timeout: 6s, services: [{service: rota, weight: 1}]}
`

// pipeListener accepts in-memory connections without buffers: a write returns when the
// other side has read the bytes.
type pipeListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// pipelinedAnswer describes a request and its answer.
type pipelinedAnswer struct {
	sent   time.Duration // since the start of the test
	run    time.Duration // time that the target needs
	bytes  int           // length of the answer's body
	pause  time.Duration // time for which the caller reads nothing before this answer
	status int           // status that the caller must get
}

// delayedTargets answers each request as the entry of its path says.
type delayedTargets map[string]pipelinedAnswer

func (d delayedTargets) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := httptrace.ContextClientTrace(req.Context())
	trace.GotConn(httptrace.GotConnInfo{})
	trace.WroteHeaders()
	a := d[req.URL.Opaque]
	select {
	case <-time.After(a.run):
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	return &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Request: req,
		ContentLength: int64(a.bytes), Body: io.NopCloser(strings.NewReader(strings.Repeat("x", a.bytes))),
	}, nil
}

// Guards against a connection that is closed without the answers to pipelined requests
// whose targets have answered in full. An answer has a limited time to be written, and the
// connection closes when that ends, with the answers that wait behind it. The time that an
// answer waits for its own turn must not count.
func TestPipelinedAnswersOutlastEarlierOnes(t *testing.T) {
	const never = time.Hour
	for name, answers := range map[string][]pipelinedAnswer{
		// The second answer is ready for longer than the time that it has to be written.
		"behind one that waited": {
			{run: never, status: http.StatusGatewayTimeout},
			{run: 400 * time.Millisecond, bytes: 5000, status: http.StatusOK},
			{sent: 3850 * time.Millisecond, run: 800 * time.Millisecond, bytes: 1500, status: http.StatusOK},
		},
		"caller reads slowly": {
			{bytes: 10, status: http.StatusOK},
			{bytes: 9000, pause: 3 * time.Second, status: http.StatusOK},
			{bytes: 1500, status: http.StatusOK},
		},
		"caller reads slowly after a wait": {
			{run: never, status: http.StatusGatewayTimeout},
			{bytes: 9000, pause: 3 * time.Second, status: http.StatusOK},
			{bytes: 1500, status: http.StatusOK},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testPipelinedAnswers(t, answers) })
		})
	}
}

// testPipelinedAnswers sends the requests on one connection and checks that all answers
// arrive.
func testPipelinedAnswers(t *testing.T, answers []pipelinedAnswer) {
	targets := delayedTargets{}
	for i, a := range answers {
		targets[pipelinedPath(i)] = a
	}
	conn := servePipe(t, targets)
	go func() {
		start := time.Now()
		for i, a := range answers {
			time.Sleep(a.sent - time.Since(start))
			_, _ = io.WriteString(conn, "GET "+pipelinedPath(i)+" HTTP/1.1\r\nHost: rota.example\r\n\r\n") // a failure shows in the answers
		}
	}()
	r := bufio.NewReader(conn)
	for i, a := range answers {
		time.Sleep(a.pause)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != a.status || a.bytes > 0 && len(body) != a.bytes {
			t.Fatalf("answer %d: status %d with %d bytes, %v; want status %d with %d bytes", i, resp.StatusCode, len(body), err, a.status, a.bytes)
		}
	}
}

func pipelinedPath(i int) string { return "/safe/" + strconv.Itoa(i) }

// servePipe starts an entry with the targets and returns the caller's end of a connection
// to it.
func servePipe(t *testing.T, targets http.RoundTripper) net.Conn {
	w := newEntryWithoutListener(t, false)
	w.useDocument(pipelinedDocument)
	w.h.Targets = targets
	w.h.Guarded = slotsOf{testGuarded{w}, &grantingSlots{grants: []dispatch.TargetInfo{{ID: "0", Addr: "target", Incarnation: 1}}}}
	lis := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	srv := &caller.Server{Handler: w.h, Log: w.h.Log, Limits: func() caller.Limits {
		return caller.Limits{HeaderBytes: 4 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	}}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	conn, accepted := net.Pipe()
	lis.conns <- accepted
	t.Cleanup(func() {
		_ = conn.Close()
		_ = srv.Shutdown(context.Background())
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return conn
}
