package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// endlessHeads holds heads that never end: what they begin with, and the text that is
// repeated without end, with the number of the repetition.
var endlessHeads = map[string]struct {
	begin  string
	repeat func(i int) string
}{
	"status line":      {"", func(int) string { return "bytes that are no response " }},
	"one field":        {"HTTP/1.1 200 OK\r\nField: ", func(int) string { return "value value value value" }},
	"one field name":   {"HTTP/1.1 200 OK\r\n", func(int) string { return "name-name-name-name" }},
	"folded field":     {"HTTP/1.1 200 OK\r\nField: 1\r\n", func(int) string { return " 2\r\n" }},
	"different fields": {"HTTP/1.1 200 OK\r\n", func(i int) string { return fmt.Sprintf("%x:\n", i) }},
	"equal fields":     {"HTTP/1.1 200 OK\r\n", func(int) string { return "a:\n" }},
	"empty interim":    {"", func(int) string { return "HTTP/1.1 103 Early Hints\r\n\r\n" }},
	"interim": {"", func(i int) string {
		return fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nLink: %d\r\n\r\n", i)
	}},
}

// withinLimits returns the text of maxHeadLines lines at most and fills it up to
// maxHeadBytes with one long field.
func withinLimits(text string) string {
	lines := strings.SplitAfterN(text, "\n", maxHeadLines-1)
	text = strings.Join(lines[:len(lines)-1], "")
	const field = "Long: "
	if !strings.HasPrefix(text, "HTTP") || len(text)+len(field) >= maxHeadBytes-1 {
		return text
	}
	return text + field + strings.Repeat("x", maxHeadBytes-1-len(text)-len(field))
}

// longHead returns the first n bytes of an endless head.
func longHead(begin string, repeat func(int) string, n int) string {
	var b strings.Builder
	b.WriteString(begin)
	for i := 0; b.Len() < n; i++ {
		b.WriteString(repeat(i))
	}
	return b.String()[:n]
}

// countingTransport returns a transport that adds the bytes that it reads to read.
func countingTransport(t *testing.T, read *atomic.Int64) *Transport {
	tr := newTransport(t)
	tr.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{c, read}, nil
	}
	return tr
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a response head without end that is read until the deadline.
func TestEndlessHeadIsRefused(t *testing.T) {
	for name, head := range endlessHeads {
		closed := make(chan struct{})
		addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			defer close(closed)
			if _, _, err := readRequest(r); err != nil {
				return
			}
			text := longHead(head.begin, head.repeat, 1<<20)
			_, err := io.WriteString(c, text)
			for err == nil {
				_, err = io.WriteString(c, text[len(head.begin):])
			}
		})
		var read atomic.Int64
		start := time.Now()
		_, wrote, err := sendRequest(t, countingTransport(t, &read), addr, "a", "")
		if !errors.Is(err, errHeadTooLong) || !wrote {
			t.Errorf("%s: error %.200v, request written %v", name, err, wrote)
		}
		if got := read.Load(); got > maxHeadBytes {
			t.Errorf("%s: %d bytes of the head were read, limit %d", name, got, maxHeadBytes)
		}
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			t.Errorf("%s: the connection is still open", name)
		}
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("%s: refused after %v", name, took)
		}
	}
}

// heapInUse returns the bytes of the objects on the heap after a collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // the second one frees what finalizers and pools kept
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a target that sends many short fields and then nothing: a parsed field
// takes 80 bytes of memory, many times its length, until the deadline of the request.
func TestMemoryOfUnfinishedHeads(t *testing.T) {
	const (
		requests = 16
		// limit is the memory of a request, in bytes. 300 such requests leave an entry
		// of 184 MB some room.
		limit = 512 << 10
	)
	for name, head := range endlessHeads {
		text := longHead(head.begin, head.repeat, maxHeadBytes-1)
		for _, text := range []string{text, withinLimits(text)} {
			before := heapInUse()
			stop := holdHeads(t, text, requests)
			got := (heapInUse() - before) / requests
			t.Logf("%s: head of %d bytes, %d KiB of memory for each request", name, len(text), got>>10)
			if got > limit {
				t.Errorf("%s: %d KiB of memory for each request, limit %d KiB", name, got>>10, limit>>10)
			}
			stop()
		}
	}
}

// holdHeads sends requests to a target that sends the text of an unfinished head and
// then nothing. It returns when each of them has read the text or has failed. The
// returned function ends the requests.
func holdHeads(t *testing.T, text string, requests int) (stop func()) {
	addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, text)
			_, _ = io.Copy(io.Discard, r)
		}
	})
	var read, done atomic.Int64
	tr := countingTransport(t, &read)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			defer done.Add(1)
			req, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr, nil)
			if err != nil {
				t.Error(err)
				return
			}
			req.Header.Set("Id", fmt.Sprint(i))
			if resp, err := tr.RoundTrip(req); err == nil {
				t.Errorf("response with status %s to an unfinished head", resp.Status)
			}
		})
	}
	end := time.Now().Add(10 * time.Second)
	for read.Load() < int64(requests*len(text)) && done.Load() < int64(requests) && time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
	return func() { cancel(); wg.Wait() }
}

// Guards against refusing the head of a response that has many long fields, or that
// follows interim responses, and against counting the lines of a body.
func TestLargeHeadIsAccepted(t *testing.T) {
	for name, head := range map[string]string{
		"many fields":  "HTTP/1.1 200 OK\r\n" + strings.Repeat("Set-Cookie: "+strings.Repeat("x", 80)+"\r\n", 500),
		"long field":   "HTTP/1.1 200 OK\r\nField: " + strings.Repeat("x", 48<<10) + "\r\n",
		"interim":      strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\n",
		"small fields": "HTTP/1.1 200 OK\r\n",
	} {
		body := strings.Repeat("\n", 3*maxHeadLines)
		addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err == nil {
				_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			}
		})
		if text, _, err := sendRequest(t, newTransport(t), addr, "a", ""); text != body || err != nil {
			t.Errorf("%s: body of %d bytes, error %v", name, len(text), err)
		}
	}
}

// Guards against an error that repeats the bytes of a target, which the entry writes to
// its log and into the answer to the caller: a line of 64 KiB took up to 260 KB in each.
func TestErrorOfMalformedHeadIsShort(t *testing.T) {
	long := strings.Repeat("\x01", maxHeadBytes-1<<10)
	for name, text := range map[string]string{
		"status line":    long + "\r\n\r\n",
		"status":         "HTTP/1.1 " + long + "\r\n\r\n",
		"version":        "HTTP/" + long + " 200 OK\r\n\r\n",
		"field":          "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"value":          "HTTP/1.1 200 OK\r\nField: " + long + "\r\n\r\n",
		"length":         "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("x", len(long)) + "\r\n\r\n",
		"encoding":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("x", len(long)) + "\r\n\r\n",
		"different ones": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: " + strings.Repeat("2", len(long)) + "\r\n\r\n",
	} {
		addr, _ := startScriptedTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(c, text)
			}
		})
		_, _, err := sendRequest(t, newTransport(t), addr, "a", "")
		if err == nil {
			t.Errorf("%s: no error", name)
			continue
		}
		if n := len(err.Error()); n > 2*maxHeadErrorBytes {
			t.Errorf("%s: error of %d bytes: %.60s", name, n, err)
		}
	}
}
