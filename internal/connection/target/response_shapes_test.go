package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// malformedHeads holds the beginnings of responses that no target may send. Each one is
// followed by an empty line and the body "ok".
var malformedHeads = map[string]string{
	"status 000":                 "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n",
	"status 099":                 "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n",
	"status 600":                 "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n",
	"status 999":                 "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n",
	"status with a sign":         "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n",
	"status of two digits":       "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n",
	"status of four digits":      "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n",
	"no status":                  "HTTP/1.1\r\nContent-Length: 2\r\n",
	"two blanks before status":   "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n",
	"reason without blank":       "HTTP/1.1 200\tOK\r\nContent-Length: 2\r\n",
	"control byte in reason":     "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n",
	"HTTP/2.0":                   "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n",
	"HTTP/0.9":                   "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n",
	"HTTP/1.7":                   "HTTP/1.7 200 OK\r\nContent-Length: 2\r\n",
	"http/1.1":                   "http/1.1 200 OK\r\nContent-Length: 2\r\n",
	"empty line first":           "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	"blank in name":              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Y: 1\r\n",
	"blank after name":           "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	"blank after Connection":     "HTTP/1.1 200 OK\r\nConnection : close\r\nContent-Length: 2\r\n",
	"blank after encoding":       "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"tab in name":                "HTTP/1.1 200 OK\r\nX\tY: 1\r\nContent-Length: 2\r\n",
	"NUL in name":                "HTTP/1.1 200 OK\r\nX\x00Y: 1\r\nContent-Length: 2\r\n",
	"DEL in name":                "HTTP/1.1 200 OK\r\nX\x7f: 1\r\nContent-Length: 2\r\n",
	"byte above 127 in name":     "HTTP/1.1 200 OK\r\nX\xc3\xa9: 1\r\nContent-Length: 2\r\n",
	"empty name":                 "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n",
	"no colon":                   "HTTP/1.1 200 OK\r\nContent-Length 2\r\n",
	"continued status line":      "HTTP/1.1 200 OK\r\n more\r\nContent-Length: 2\r\n",
	"NUL in value":               "HTTP/1.1 200 OK\r\nX: a\x00b\r\nContent-Length: 2\r\n",
	"CR in value":                "HTTP/1.1 200 OK\r\nX: a\rb\r\nContent-Length: 2\r\n",
	"DEL in value":               "HTTP/1.1 200 OK\r\nX: a\x7fb\r\nContent-Length: 2\r\n",
	"NUL in continued value":     "HTTP/1.1 200 OK\r\nX: a\r\n b\x00\r\nContent-Length: 2\r\n",
	"different lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n",
	"negative length":            "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n",
	"length with a sign":         "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n",
	"length that is no number":   "HTTP/1.1 200 OK\r\nContent-Length: two\r\n",
	"empty length":               "HTTP/1.1 200 OK\r\nContent-Length:\r\n",
	"length and chunks":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n",
	"chunks and length":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n",
	"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"unknown encoding":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
	"chunked twice":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n",
	"empty encoding":             "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n",
	"length as trailer":          "HTTP/1.1 200 OK\r\nTrailer: Content-Length\r\nTransfer-Encoding: chunked\r\n",
	"blank in name of trailer":   "HTTP/1.1 200 OK\r\nTrailer: X Y\r\nTransfer-Encoding: chunked\r\n",
	"malformed interim status":   "HTTP/1.1 1x3 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	"blank in interim name":      "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	"interim, then malformed":    "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	"interim with NUL in reason": "HTTP/1.1 100 \x00\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
}

// malformedBodies holds whole responses whose chunks or trailers are malformed.
var malformedBodies = map[string]string{
	"chunk without size":       "\r\nok\r\n0\r\n\r\n",
	"size that is no number":   "2x\r\nok\r\n0\r\n\r\n",
	"chunk longer than size":   "1\r\nok\r\n0\r\n\r\n",
	"no chunk at the end":      "2\r\nok\r\n",
	"no line at the end":       "2\r\nok\r\n0\r\n",
	"blank in name of trailer": "2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
	"blank after trailer":      "2\r\nok\r\n0\r\nX : 1\r\n\r\n",
	"NUL in trailer":           "2\r\nok\r\n0\r\nX: a\x00b\r\n\r\n",
	"trailer without colon":    "2\r\nok\r\n0\r\nX\r\n\r\n",
	"empty name of trailer":    "2\r\nok\r\n0\r\n: 1\r\n\r\n",
	"length as trailer":        "2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n",
	"encoding as trailer":      "2\r\nok\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// oddResponses holds whole responses that are unusual and well formed.
var oddResponses = map[string]string{
	"no reason":              "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	"empty reason":           "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
	"reason above 127":       "HTTP/1.1 200 \xc3\xa9\tx\r\nContent-Length: 2\r\n\r\nok",
	"unknown status":         "HTTP/1.1 299 Odd\r\nContent-Length: 2\r\n\r\nok",
	"all marks in name":      "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: 1\r\nContent-Length: 2\r\n\r\nok",
	"value above 127, tab":   "HTTP/1.1 200 OK\r\nX: \xe9\t y\r\nContent-Length: 2\r\n\r\nok",
	"empty value":            "HTTP/1.1 200 OK\r\nX:\r\nContent-Length: 2\r\n\r\nok",
	"no blank before value":  "HTTP/1.1 200 OK\r\nContent-Length:2\r\n\r\nok",
	"blanks around length":   "HTTP/1.1 200 OK\r\nContent-Length: \t2 \t\r\n\r\nok",
	"equal lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	"continued value":        "HTTP/1.1 200 OK\r\nX: a\r\n\tb\r\nContent-Length: 2\r\n\r\nok",
	"bare newlines":          "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"HTTP/1.0 to the end":    "HTTP/1.0 200 OK\r\n\r\nok",
	"to the end":             "HTTP/1.1 200 OK\r\n\r\nok",
	"encoding in capitals":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunk extension":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\n\r\n",
	"trailer":                "HTTP/1.1 200 OK\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n",
	"trailer not announced":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n",
	"interim":                "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"interim of unknown use": "HTTP/1.1 150 Odd\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
}

// responseInPieces starts a target that sends a response in pieces of size bytes after it
// has read the request, and closes the connection.
func responseInPieces(t *testing.T, text string, size int) (addr string) {
	addr, _ = startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		for ; len(text) > size; text = text[size:] {
			_, _ = io.WriteString(c, text[:size])
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(c, text)
	})
	return addr
}

// Guards against a response that breaks the grammar of HTTP and is taken for one, with
// some line of it as a field or with a body that is not the target's.
func TestMalformedResponsesAreRefused(t *testing.T) {
	texts := map[string]string{}
	for name, head := range malformedHeads {
		texts[name] = head + "\r\nok"
	}
	for name, body := range malformedBodies {
		texts[name+", in the body"] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body
	}
	for name, text := range texts {
		for _, size := range []int{len(text), 1} {
			t.Run(fmt.Sprintf("%s, %d bytes at a time", name, size), func(t *testing.T) {
				t.Parallel()
				if got, _, err := sendRequest(t, newTransport(t), responseInPieces(t, text, size), "a", "body"); err == nil {
					t.Errorf("%q: accepted with body %q", text, got)
				}
			})
		}
	}
}

// Guards against a check of responses that refuses well formed ones.
func TestOddResponsesAreAccepted(t *testing.T) {
	for name, text := range oddResponses {
		for _, size := range []int{len(text), 1} {
			t.Run(fmt.Sprintf("%s, %d bytes at a time", name, size), func(t *testing.T) {
				t.Parallel()
				if got, _, err := sendRequest(t, newTransport(t), responseInPieces(t, text, size), "a", "body"); got != "ok" || err != nil {
					t.Errorf("%q: %q, %v", text, got, err)
				}
			})
		}
	}
}

// Guards against a malformed line for whose end the transport waits, although the target
// sends no more.
func TestMalformedLineIsRefusedAtOnce(t *testing.T) {
	for _, text := range []string{"nonsense\r\n", "HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n"} {
		done := make(chan struct{})
		addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(c, text)
			<-done
		})
		start := time.Now()
		_, _, err := sendRequest(t, newTransport(t), addr, "a", "")
		if took := time.Since(start); err == nil || took > 2*time.Second {
			t.Errorf("%q: %v after %v", text, err, took)
		}
		close(done)
	}
}

// ending is how a target ends a connection after a response.
type ending int

const (
	kept            ending = iota // it reads the rest of the request and keeps the connection
	closed                        // it closes its side, reads the rest of the request and closes the connection
	closedUnread                  // it closes its side, and later the connection with the rest of the request unread
	reset                         // it resets the connection
	resetAfterClose               // it closes its side and resets the connection later
	endings         = resetAfterClose + 1
)

func (e ending) String() string {
	return [...]string{"kept", "closed", "closed, request unread", "reset", "reset after close"}[e]
}

// end ends a connection whose unread request follows in r. The bytes that were written
// arrive before.
func (e ending) end(c net.Conn, r io.Reader) {
	time.Sleep(20 * time.Millisecond)
	tcp := c.(*net.TCPConn)
	switch e {
	case kept:
		_, _ = io.Copy(io.Discard, r)
	case closed:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	case closedUnread:
		_ = tcp.CloseWrite()
		time.Sleep(20 * time.Millisecond)
	case reset:
		_ = tcp.SetLinger(0)
	case resetAfterClose:
		_ = tcp.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_ = tcp.SetLinger(0)
	}
}

// Guards against a response that was reset and is taken for a whole one, and against a
// whole one that is refused, however the response says where it ends, however the
// connection ends, and whatever part of the request the target has read by then.
func TestWholeResponses(t *testing.T) {
	const part = "part of the body"
	framings := map[string]struct {
		text  string
		whole func(ending) bool
	}{
		"length":     {"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + part, func(ending) bool { return true }},
		"chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + part + "\r\n0\r\n\r\n", func(ending) bool { return true }},
		"length cut": {"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n" + part, func(ending) bool { return false }},
		"chunks cut": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + part + "\r\n", func(ending) bool { return false }},
		"to the end": {"HTTP/1.1 200 OK\r\n\r\n" + part, func(e ending) bool { return e != reset }},
		"HTTP/1.0":   {"HTTP/1.0 200 OK\r\n\r\n" + part, func(e ending) bool { return e != reset }},
	}
	bodies := map[string]int{"no body": 0, "short body": 100, "long body": 16 << 20}
	for framing, f := range framings {
		for size, bytes := range bodies {
			for _, early := range []bool{false, true} {
				for e := range endings {
					if e == kept && framing != "length" && framing != "chunks" {
						continue // never ends
					}
					t.Run(fmt.Sprintf("%s/%s/early=%v/%v", framing, size, early, e), func(t *testing.T) {
						t.Parallel()
						addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
							req, err := http.ReadRequest(r)
							if err == nil && !early {
								_, err = io.Copy(io.Discard, req.Body)
							}
							if err != nil {
								return
							}
							_, _ = io.WriteString(c, f.text)
							e.end(c, r)
						})
						method := "GET"
						if bytes > 0 {
							method = "POST"
						}
						got, err := readResponse(t, addr, method, bytes)
						if want := f.whole(e); want != (err == nil) || want && got != part {
							t.Errorf("body %q, error %v; want a whole one: %v", got, err, want)
						}
					})
				}
			}
		}
	}
}

// readResponse sends a request with a body of the given length and returns the body of
// the response.
func readResponse(t *testing.T, addr, method string, length int) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr, strings.NewReader(strings.Repeat("x", length)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := newTransport(t).RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against bytes of a body that a response must not have, and that arrive when the
// connection carries the next request.
func TestConnectionIsNotReusedAfterForbiddenBody(t *testing.T) {
	for name, tc := range map[string]struct {
		fields string
		conns  int32
	}{
		"no body":  {"", 1},
		"length 0": {"Content-Length: 0\r\n", 1},
		"length":   {"Content-Length: 2\r\n", 2},
		"chunks":   {"Transfer-Encoding: chunked\r\n", 2},
	} {
		addr, conns := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n"+tc.fields+"\r\n")
			}
		})
		tr := newTransport(t)
		for id := range 2 {
			if text, _, err := sendRequest(t, tr, addr, fmt.Sprint(id), ""); text != "" || err != nil {
				t.Errorf("%s: %q, %v", name, text, err)
			}
		}
		if got := conns.Load(); got != tc.conns {
			t.Errorf("%s: %d connections, want %d", name, got, tc.conns)
		}
	}
}

// Guards against a late response to an earlier request that is skipped although its
// trailers are malformed, so that its end is not known.
func TestMalformedLateResponseIsNotSkipped(t *testing.T) {
	addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		earlier := ""
		for {
			req, _, err := readRequest(r)
			if err != nil {
				return
			}
			if earlier != "" {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: 1\r\n\r\n", earlier)
			}
			earlier = req.Header.Get("Id")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", earlier)
		}
	})
	tr := newTransport(t)
	if text, _, err := sendRequest(t, tr, addr, "a", ""); text != "ok" || err != nil {
		t.Fatalf("%q, %v", text, err)
	}
	if text, _, err := sendRequest(t, tr, addr, "b", ""); err == nil {
		t.Errorf("%q", text)
	}
}
