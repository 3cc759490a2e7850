package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
)

// headerCall numbers the requests of a test. Entries pass it on unchanged.
const headerCall = "Test-Call"

// repeater is a stand-in for a target or another entry. It refuses its first request
// and writes that refusal once more before the answer to the n-th request on the
// same connection. It runs all later requests; other connections end after one.
type repeater struct {
	refusal func(*http.Request) string
	answer  func(*http.Request) string
	nth     int // request of the connection, counted from 1, before whose answer the refusal is repeated

	mu      sync.Mutex
	refused bool
	runs    map[string]int // by headerCall
}

func (p *repeater) start(t *testing.T) (addr string) {
	p.runs = map[string]int{}
	return serveConns(t, p.serve)
}

func (p *repeater) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	repeated := ""
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if n == 1 && p.refuseFirst() {
			repeated = p.refusal(req)
			_, _ = io.WriteString(conn, repeated)
			continue
		}
		if n == p.nth {
			_, _ = io.WriteString(conn, repeated)
		}
		p.run(req)
		_, _ = io.WriteString(conn, p.answer(req))
		if repeated == "" {
			return
		}
	}
}

func (p *repeater) refuseFirst() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.refused
	p.refused = true
	return first
}

func (p *repeater) run(req *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[req.Header.Get(headerCall)]++
}

func (p *repeater) runsOf(call string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[call]
}

// rawAnswer returns an answer with the header lines and the body.
func rawAnswer(status, lines, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, lines, len(body), body)
}

// Guards against the statement "not run" for a request that a target has run, and
// against a second run of a request that must not be repeated, when a faulty target
// or the connection to another entry carries an earlier refusal once more.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	idLine := func(r *http.Request) string {
		return dialect.HeaderRequestID + ": " + r.Header.Get(dialect.HeaderRequestID) + "\r\n"
	}
	forwardLines := func(r *http.Request) string {
		return headerID + ": " + r.Header.Get(headerID) + "\r\n" + headerForward + ": " + ForwardID(r.Header) + "\r\n"
	}
	noLine := func(*http.Request) string { return "" }
	hops := []struct {
		name    string
		refused string // header lines of a refusal
		naming  func(*http.Request) string
	}{
		{"target", dialect.HeaderNotRun + ": true\r\n", idLine},
		{"entry", headerNotRun + ": true\r\n" + headerKind + ": " + string(errkind.QueueFull) + "\r\n", forwardLines},
	}
	for _, hop := range hops {
		for _, tc := range []struct {
			name   string
			naming func(*http.Request) string
			body   string
			nth    int
			sameID bool
		}{
			{"names its request", hop.naming, "", 2, false},
			{"names none", noLine, "", 2, false},
			{"names a request long ago", hop.naming, "", 12, false},
			{"long ago, names none", noLine, "", 12, false},
			{"with a body", hop.naming, "refused", 2, false},
			{"with a body, names none", noLine, "refused", 2, false},
			{"the same identifier again", hop.naming, "", 2, true},
			{"the same identifier again, names none", noLine, "", 2, true},
		} {
			for _, path := range []string{"/", "/safe", "/claim"} {
				t.Run(hop.name+", "+tc.name+", "+path, func(t *testing.T) {
					p := &repeater{nth: tc.nth}
					p.refusal = func(r *http.Request) string { return rawAnswer("503 Busy", tc.naming(r)+hop.refused, tc.body) }
					p.answer = func(r *http.Request) string { return rawAnswer("200 OK", hop.naming(r), "ok") }
					addr := p.start(t)
					var w *testEntry
					if hop.name == "target" {
						w = newTestEntry(t, false, addr, addr)
					} else {
						w = newTestEntry(t, false)
						w.groups.moveTo(addr)
					}
					for n := range tc.nth + 3 {
						call := fmt.Sprint(n)
						id := "id-" + call
						if tc.sameID {
							id = "id"
						}
						req := w.request("POST", path, "", dialect.HeaderRequestID, id, headerCall, call, dialect.HeaderKey, "k"+call)
						resp, body, err := w.do(req)
						if err != nil {
							t.Fatal(err)
						}
						runs := p.runsOf(call)
						if notRun := resp.Header.Get(dialect.HeaderNotRun) == "true"; notRun && runs > 0 {
							t.Errorf("request %d ran, but is answered %d %s", n, resp.StatusCode, body)
						}
						if runs > 1 && path != "/safe" {
							t.Errorf("request %d ran %d times", n, runs)
						}
						if resp.StatusCode == http.StatusOK && (body != "ok" || runs == 0) {
							t.Errorf("request %d: answer %q after %d runs", n, body, runs)
						}
					}
				})
			}
		}
	}
}
