package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client is a stand-in for a client, with one kept connection to a front.
type client struct {
	s    *system
	m    *machine
	conn net.Conn
	r    *bufio.Reader
	// onSend is called with the identifier of a request before it is sent; nil if not needed.
	onSend func(id string)
}

// reply is the answer to one request. The status is 0 without a whole answer.
type reply struct {
	id     string
	status int
	stamp  string
	answer string // X-Attempt-Id in the answer
	body   string
	err    error
}

var attempts atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", attempts.Add(1)|uint64(time.Now().UnixNano())<<20) }

// do sends a request and reads its answer.
func (c *client) do(method, host, path, body string, timeout time.Duration) reply {
	out := reply{id: newID()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.m.at(portFront), time.Second)
		if err != nil {
			out.err = err
			return out
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	var w strings.Builder
	fmt.Fprintf(&w, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, out.id, timeout.Milliseconds())
	if method != "GET" {
		fmt.Fprintf(&w, "Content-Length: %d\r\n", len(body))
	}
	w.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if c.onSend != nil {
		c.onSend(out.id)
	}
	if _, out.err = io.WriteString(c.conn, w.String()); out.err == nil {
		out.read(c)
	}
	c.s.rec.logf("request %s: %s %s via %s: status %d, stamp %q, id in the answer %q, body %q, error %v", out.id, method, path, c.m.name, out.status, out.stamp, out.answer, out.body, out.err)
	if out.err != nil {
		c.close()
	}
	return out
}

// read reads the answer.
func (out *reply) read(c *client) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		out.err = err
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		out.err = err
		return
	}
	out.status, out.stamp, out.answer, out.body = resp.StatusCode, resp.Header.Get("X-Response-Stamp"), resp.Header.Get("X-Attempt-Id"), strings.TrimSpace(string(body))
	if resp.Close {
		c.close()
	}
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
