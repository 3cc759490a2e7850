package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against an answer to a probe that is read, or kept, without end.
func TestEndlessProbeAnswer(t *testing.T) {
	const (
		chunked  = "Transfer-Encoding: chunked\r\n\r\n"
		requests = 11 // of a probe with all redirects that net/http follows
		// limit is the bytes read of one answer: its head, its body up to the limit, and
		// the buffers of the connection and of the JSON decoder.
		limit = maxHeadBytes + maxProbeBytes + 2*readBufferSize
	)
	chunk := "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"
	for name, tc := range map[string]struct{ begin, repeated string }{
		"no response":     {"", "x"},
		"value":           {"HTTP/1.1 200 OK\r\n" + chunked + "b\r\n{\"status\":\"\r\n", chunk},
		"no JSON":         {"HTTP/1.1 200 OK\r\n" + chunked, chunk},
		"white space":     {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", " "},
		"nested":          {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "["},
		"server error":    {"HTTP/1.1 500 Internal Server Error\r\n" + chunked, chunk},
		"redirect":        {"HTTP/1.1 302 Found\r\nLocation: /\r\n" + chunked, chunk},
		"chunk extension": {"HTTP/1.1 200 OK\r\n" + chunked + "1;", "x"},
	} {
		var open atomic.Int32
		addr, conns := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			open.Add(1)
			defer open.Add(-1)
			if _, _, err := readRequest(r); err != nil {
				return
			}
			_, err := io.WriteString(c, tc.begin)
			for block := strings.Repeat(tc.repeated, 1+(16<<10)/len(tc.repeated)); err == nil; {
				_, err = io.WriteString(c, block)
			}
		})
		var read atomic.Int64
		w := &Watcher{HTTP: &http.Client{Transport: countingTransport(t, &read)}}
		var h healthResponse
		start := time.Now()
		err := w.getJSON(t.Context(), addr, "/-/health", &h)
		if err == nil || h != (healthResponse{}) {
			t.Errorf("%s: response of %d bytes, error %v", name, len(h.Status), err)
		}
		if took := time.Since(start); took > probeTimeout/2 {
			t.Errorf("%s: the probe took %v", name, took)
		}
		if got := read.Load(); got > limit*int64(conns.Load()) || conns.Load() > requests {
			t.Errorf("%s: %d bytes were read in %d connections, limit %d", name, got, conns.Load(), limit)
		}
		for end := time.Now().Add(5 * time.Second); open.Load() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: the connection is still open", name)
			}
		}
	}
}
