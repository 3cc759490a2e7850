package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const endlessDocument = `team: platform
regions: [{name: north, data_centres: [a, b]}]
services: [{name: rota, guarded_slots: true, health_path: /health}]
host_routes:
  - {name: safe, host: rota.example, prefix: /safe/, safe: true, max_attempts: 1, timeout: 400ms, services: [{service: rota, weight: 1}]}
`

// doDiscarding sends a request, reads the answer to its end and keeps nothing of the
// body. A caller that collects megabytes reads more slowly than the entry writes and
// is still busy with its receive buffer when the entry has closed the connection.
func (w *testEntry) doDiscarding(req *http.Request) (*http.Response, error) {
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// Guards against an answer whose body never ends and that keeps its caller, its slot and
// its connection past the timeout of the route, or that looks complete when it is cut.
func TestEndlessBodyEndsAtTimeout(t *testing.T) {
	block := strings.Repeat("x", 1<<10)
	for name, text := range map[string]struct{ head, repeated string }{
		"chunked":         {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", len(block), block)},
		"without length":  {"Connection: close", block},
		"chunk extension": {"Transfer-Encoding: chunked", "1;" + block},
		"trailer":         {"Transfer-Encoding: chunked\r\n\r\n0", "Field: " + block + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer lis.Close()
			closed := make(chan time.Duration, 1)
			go func() {
				c, err := lis.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				start := time.Now()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				end := "\r\n\r\n"
				if name == "trailer" {
					end = "\r\n"
				}
				_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+text.head+end)
				for err == nil && time.Since(start) < 5*time.Second {
					_, err = io.WriteString(c, text.repeated)
				}
				closed <- time.Since(start)
			}()
			w := newTestEntry(t, false, lis.Addr().String())
			w.useDocument(endlessDocument)
			req := w.request("GET", "/safe/1", "")
			req.Host = "rota.example"
			start := time.Now()
			resp, err := w.doDiscarding(req)
			if err == nil && resp.StatusCode == http.StatusOK {
				t.Error("the answer looks complete")
			}
			const limit = 900 * time.Millisecond // the timeout and half a second
			if took := time.Since(start); took > limit {
				t.Errorf("the caller was released after %v", took)
			}
			if took := <-closed; took > limit {
				t.Errorf("the connection to the target was closed after %v", took)
			}
			w.waitReleased()
		})
	}
}
