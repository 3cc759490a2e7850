package platform

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// serveOnce answers the first connection with the bytes and ends it, by a reset if reset
// is set. It returns the URL of the list.
func serveOnce(t *testing.T, text string, reset bool) (url string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, text)
		time.Sleep(20 * time.Millisecond) // lets the bytes arrive
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	return "http://" + lis.Addr().String()
}

// Guards against a list that is cut or malformed and replaces the last one: targets that
// it does not name would be removed.
func TestListNeedsWholeResponse(t *testing.T) {
	const ok, body = "HTTP/1.1 200 OK\r\n", `{"instances":[]}`
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	longer := fmt.Sprintf("Content-Length: %d\r\n", len(body)+1)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	for name, tc := range map[string]struct {
		text  string
		reset bool
		whole bool
	}{
		"length":             {text: ok + length + "\r\n" + body, whole: true},
		"to the end":         {text: ok + "\r\n" + body, whole: true},
		"chunks":             {text: ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n", whole: true},
		"length, cut":        {text: ok + longer + "\r\n" + body},
		"chunks, cut":        {text: ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk},
		"to the end, reset":  {text: ok + "\r\n" + body, reset: true},
		"status 000":         {text: "HTTP/1.1 000 Trouble\r\n" + length + "\r\n" + body},
		"status 206":         {text: "HTTP/1.1 206 Partial\r\n" + length + "\r\n" + body},
		"blank after length": {text: ok + "Content-Length : 16\r\n\r\n" + body},
		"blank in a name":    {text: ok + "X Y: 1\r\n" + length + "\r\n" + body},
		"chunks in HTTP/1.0": {text: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"},
	} {
		c := &Client{URL: serveOnce(t, tc.text, tc.reset), HTTP: NewHTTPClient()}
		if _, err := c.Fetch(t.Context()); (err == nil) != tc.whole {
			t.Errorf("%s: %v", name, err)
		}
	}
}
