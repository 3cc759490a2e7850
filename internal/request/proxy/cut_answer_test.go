package proxy

import (
	"strconv"
	"testing"

	connection "github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// Guards against an answer that is cut at some byte, at a target or at another entry,
// and that reaches the caller as a success with an empty or a short body.
func TestAnswerCutAtEachByte(t *testing.T) {
	const body = "hello, world"
	for name, text := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + body,
		"chunked":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"to the end":    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		"folded":        "HTTP/1.1 200 OK\r\nField: one\r\n two\r\nContent-Length: 12\r\n\r\n" + body,
		"folded length": "HTTP/1.1 200 OK\r\nContent-Length:\r\n 12\r\n\r\n" + body,
	} {
		for _, hop := range []string{"target", "entry"} {
			t.Run(name+", "+hop, func(t *testing.T) {
				w := newTestEntry(t, false)
				// The targets are closed before the entry, and wait for their connections.
				defer w.h.Targets.(*connection.Transport).CloseIdleConnections()
				defer w.h.Peers.(*connection.Transport).CloseIdleConnections()
				for n := range len(text) + 1 {
					addr, _ := rawTarget(t, constantAnswer(text[:n]))
					if hop == "target" {
						w.d.SetTargets([]dispatch.TargetInfo{{ID: strconv.Itoa(n), Addr: addr, Slots: 2, ReportedLoad: -1}})
					} else {
						w.groups.moveTo(addr)
					}
					resp, got, err := w.do(w.request("GET", "/", ""))
					whole := n == len(text) && name != "to the end" // its end cannot be told from a cut
					if success := err == nil && resp.StatusCode < 300; success != whole || success && got != body {
						t.Errorf("cut after %q: answer %v with body %q, %v", text[:n], resp, got, err)
					}
				}
			})
		}
	}
}
