package target

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against a response whose target stops at some byte and closes, and that is
// taken for a complete one, with an empty or a short body.
func TestResponseCutAtEachByte(t *testing.T) {
	const body = "hello, world"
	for name, text := range map[string]string{
		"length":                "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n" + body,
		"length first":          "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: a\r\n\r\n" + body,
		"length, bare newlines": "HTTP/1.1 200 OK\nId: a\nContent-Length: 12\n\n" + body,
		"length of the body 0":  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		"chunked":               "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"chunked, trailer":      "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\nSum: 1\r\n\r\n",
		"to the end":            "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n" + body,
		"to the end, HTTP/1.0":  "HTTP/1.0 200 OK\r\nId: a\r\n\r\n" + body,
		"folded":                "HTTP/1.1 200 OK\r\nField: one\r\n two\r\n\tthree\r\nContent-Length: 12\r\n\r\n" + body,
		"folded length":         "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length:\r\n 12\r\n\r\n" + body,
		"folded, last":          "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nField: one\r\n two\r\n\r\n" + body,
		"folded, empty line":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nField: one\r\n \r\n\r\n" + body,
		"interim":               "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			cut := 0
			addr, _ := startScriptedTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					_, _ = io.WriteString(c, text[:n-1])
				}
			})
			tr := newTransport(t)
			toTheEnd := strings.HasPrefix(name, "to the end")
			headEnd := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
			for ; cut < len(text); cut++ {
				got, _, err := sendRequest(t, tr, addr, "a", "")
				if err == nil && !(toTheEnd && cut >= headEnd) {
					t.Errorf("cut after %q: taken for a complete response with body %q", text[:cut], got)
				}
			}
			want := body
			if name == "length of the body 0" {
				want = ""
			}
			if got, _, err := sendRequest(t, tr, addr, "a", ""); got != want || err != nil {
				t.Errorf("not cut: %q, %v", got, err)
			}
		})
	}
}
