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

	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
)

// answerShape is an answer as a target sends it, and how its connection ends.
type answerShape struct {
	text  string
	reset bool // the connection is reset, rather than closed
	body  string
	whole bool
}

// answerShapes returns answers of each form with a body.
func answerShapes(body string) map[string]answerShape {
	const ok, status, end = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 ", "\r\n\r\n"
	length := fmt.Sprintf("Content-Length: %d", len(body))
	chunked := "Transfer-Encoding: chunked"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	whole := func(text string) answerShape { return answerShape{text: text, body: body, whole: true} }
	broken := func(text string) answerShape { return answerShape{text: text} }
	reset := func(s answerShape) answerShape { s.reset = true; return s }
	return map[string]answerShape{
		"length":                   whole(ok + length + end + body),
		"length, then reset":       reset(whole(ok + length + end + body)),
		"length, cut":              broken(ok + length + end + body[1:]),
		"chunks":                   whole(ok + chunked + end + chunk + "0" + end),
		"chunks, then reset":       reset(whole(ok + chunked + end + chunk + "0" + end)),
		"chunks, cut":              broken(ok + chunked + end + chunk),
		"close":                    whole(ok + "\r\n" + body),
		"close, HTTP/1.0":          whole("HTTP/1.0 200 OK\r\n\r\n" + body),
		"reset":                    reset(broken(ok + "\r\n" + body)),
		"reset, HTTP/1.0":          reset(broken("HTTP/1.0 200 OK\r\n\r\n" + body)),
		"interim":                  whole("HTTP/1.1 103 Early Hints\r\nLink: x" + end + ok + length + end + body),
		"interim with odd name":    broken("HTTP/1.1 103 Early Hints\r\nX Y: 1" + end + ok + length + end + body),
		"status 000":               broken(status + "000 Trouble\r\n" + length + end + body),
		"status 666":               broken(status + "666 Trouble\r\n" + length + end + body),
		"control byte in reason":   broken(status + "200 \x01\r\n" + length + end + body),
		"HTTP/2.0":                 broken("HTTP/2.0 200 OK\r\n" + length + end + body),
		"blank in name":            broken(ok + "X Y: 1\r\n" + length + end + body),
		"blank after length":       broken(ok + fmt.Sprintf("Content-Length : %d", len(body)) + end + body + "more"),
		"blank after encoding":     broken(ok + "Transfer-Encoding : chunked" + end + chunk + "0" + end),
		"control byte in name":     broken(ok + "X\x01Y: 1\r\n" + length + end + body),
		"control byte in value":    broken(ok + "X: a\x00b\r\n" + length + end + body),
		"length and chunks":        broken(ok + length + "\r\n" + chunked + end + chunk + "0" + end),
		"chunks in HTTP/1.0":       broken("HTTP/1.0 200 OK\r\n" + chunked + end + chunk + "0" + end),
		"odd trailer":              broken(ok + chunked + end + chunk + "0\r\nX Y: 1" + end),
		"length as trailer":        broken(ok + chunked + end + chunk + "0\r\nContent-Length: 1" + end),
		"odd name of trailer":      broken(ok + "Trailer: X Y\r\n" + chunked + end + chunk + "0" + end),
		"trailer":                  whole(ok + "Trailer: X\r\n" + chunked + end + chunk + "0\r\nX: 1" + end),
		"no answer":                broken("trouble" + end),
		"no answer, one line":      broken("trouble\r\n"),
		"nothing":                  broken(""),
		"nothing, reset":           reset(broken("")),
		"only an interim":          broken("HTTP/1.1 100 Continue" + end),
		"switch of protocols":      broken("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x" + end + body),
		"head cut":                 broken(ok + length),
		"head cut, then reset":     reset(broken(ok + length)),
		"failure, close":           {text: status + "500 Trouble\r\n\r\n" + body, body: body, whole: true},
		"failure, reset":           {text: status + "500 Trouble\r\n\r\n" + body, reset: true},
		"failure, blank in a name": {text: status + "500 Trouble\r\nX Y: 1\r\n" + length + end + body},
	}
}

// shapedRequest is a request that gets an answer of some shape.
type shapedRequest struct {
	method string
	bytes  int
	chunks bool
}

// skips reports whether a combination shows nothing that others do not. A head is checked
// before the request or the rest of the answer matters, and an answer beyond the buffer is
// streamed whatever the request was.
func (rq shapedRequest) skips(s answerShape, size int, path string) bool {
	endMatters := s.whole || s.reset
	if size > answerBufferBytes {
		return rq.chunks || path == "/safe" || !endMatters && rq.bytes > 0
	}
	return !endMatters && rq.bytes > 0 && (rq.chunks || rq.bytes < 1<<20)
}

// startShaped starts a target that sends the answer after it has read the head of a
// request, or after all of it, and ends the connection.
func startShaped(t *testing.T, s answerShape, early bool) (addr string) {
	return serveConns(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		req, err := http.ReadRequest(r)
		if err == nil && !early {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, s.text)
		time.Sleep(20 * time.Millisecond) // lets the bytes arrive
		tcp := conn.(*net.TCPConn)
		if s.reset {
			_ = tcp.SetLinger(0)
			return
		}
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	})
}

// shapeDocument is testDocument with large bodies and answers that end with their
// connection.
var shapeDocument = strings.Replace(testDocument, "max_body_bytes: 200000", "max_body_bytes: 20000000\n    unframed_answers: true", 1)

// Guards against an answer that is cut or malformed and reaches the caller as a target's
// answer, against a whole one that is lost, and against a refusal that says that such a
// request did not run.
func TestShapesOfAnswers(t *testing.T) {
	requests := map[string]shapedRequest{
		"no body": {"GET", 0, false}, "short body": {"POST", 100, false}, "short body in chunks": {"POST", 100, true},
		"long body": {"POST", 8 << 20, false}, "long body in chunks": {"POST", 8 << 20, true},
	}
	for _, size := range []int{12, answerBufferBytes + 1000} {
		for shape, s := range answerShapes(strings.Repeat("x", size)) {
			for requestName, rq := range requests {
				for _, early := range []bool{false, true} {
					for _, hops := range []int{1, 2} {
						for _, path := range []string{"/", "/safe"} {
							if rq.skips(s, size, path) {
								continue
							}
							t.Run(fmt.Sprintf("%s/%d bytes/%s/early=%v/%d entries/%s", shape, size, requestName, early, hops, path), func(t *testing.T) {
								t.Parallel()
								w := newShapeEntries(t, hops, startShaped(t, s, early), startShaped(t, s, early), startShaped(t, s, early))
								req := w.request(rq.method, path, strings.Repeat("y", rq.bytes), dialect.HeaderDeadline, "5000")
								if rq.chunks {
									req.ContentLength, req.Body = -1, io.NopCloser(io.LimitReader(req.Body, int64(rq.bytes)))
								}
								resp, body, err := w.do(req)
								switch {
								case s.whole:
									if err != nil || body != s.body || !strings.HasPrefix(s.text[len("HTTP/1.1 "):], resp.Status[:3]) && shape != "interim" {
										t.Errorf("a whole answer is lost: %v, %d bytes, %v", resp, len(body), err)
									}
								case err == nil && resp.StatusCode != http.StatusBadGateway:
									t.Errorf("%d with %d bytes, want 502 or a broken connection", resp.StatusCode, len(body))
								case err == nil && resp.Header.Get(dialect.HeaderNotRun) != "":
									t.Error("said not to have run")
								}
							})
						}
					}
				}
			}
		}
	}
}

// newShapeEntries returns an entry that sends to targets, or that forwards to another one
// which does. A safe request is repeated at the others.
func newShapeEntries(t *testing.T, hops int, targets ...string) *testEntry {
	last := newTestEntry(t, hops > 1, targets...)
	last.useDocument(shapeDocument)
	if hops == 1 {
		return last
	}
	first := newTestEntry(t, false)
	first.useDocument(shapeDocument)
	first.groups.moveTo(last.addr)
	return first
}
