package target

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a target that counts as healthy, or leaving, by a probe's response that
// breaks off or is malformed.
func TestProbeNeedsWholeResponse(t *testing.T) {
	const body = `{"status":"leaving","incarnation":"p1"}`
	for name, tc := range map[string]struct {
		text  string
		reset bool
		whole bool
	}{
		"length":             {text: "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n" + body, whole: true},
		"to the end":         {text: "HTTP/1.1 200 OK\r\n\r\n" + body, whole: true},
		"chunks":             {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n27\r\n" + body + "\r\n0\r\n\r\n", whole: true},
		"length, cut":        {text: "HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\n" + body},
		"chunks, cut":        {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n27\r\n" + body + "\r\n"},
		"to the end, reset":  {text: "HTTP/1.1 200 OK\r\n\r\n" + body, reset: true},
		"status 000":         {text: "HTTP/1.1 000 Trouble\r\nContent-Length: 39\r\n\r\n" + body},
		"blank after length": {text: "HTTP/1.1 200 OK\r\nContent-Length : 39\r\n\r\n" + body},
		"blank in a name":    {text: "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 39\r\n\r\n" + body},
		"more than a value":  {text: "HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\n" + body + "{}"},
		"odd trailer":        {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n27\r\n" + body + "\r\n0\r\nX Y: 1\r\n\r\n"},
		"failure, cut":       {text: "HTTP/1.1 503 Trouble\r\nContent-Length: 41\r\n\r\n" + body},
	} {
		addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, tc.text)
			time.Sleep(20 * time.Millisecond) // lets the bytes arrive
			if tc.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		w := &Watcher{HTTP: &http.Client{Transport: newTransport(t)}}
		var h healthResponse
		err := w.getJSON(t.Context(), addr, "/-/health", &h)
		if whole := err == nil; whole != tc.whole || whole && h.Status != "leaving" || errors.Is(err, errProbeServerError) {
			t.Errorf("%s: %+v, %v", name, h, err)
		}
	}
}
