package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in for a backend. It serves one request at a time on a connection.
type backend struct {
	s                       *system
	id, service, zone, addr string
	slots                   int
	listed                  bool
	startedAt               time.Time
	lis                     net.Listener
	work                    time.Duration
	cold                    *coldState // nil: never cold
	// respond writes the answer to a request that has run, if it is set. It reports
	// whether the connection stays open.
	respond func(b *backend, c *serverConn, req *http.Request, body []byte) bool

	mu      sync.Mutex
	running int
	conns   map[net.Conn]bool
}

// serverConn is a connection that a backend has accepted.
type serverConn struct {
	net.Conn
	r *bufio.Reader
	n int // requests so far
}

// addBackend starts a backend.
func (s *system) addBackend(svc, zone string, work time.Duration) (*backend, error) {
	return s.addColdBackend(svc, zone, work, nil)
}

// addColdBackend starts a backend that is cold at times.
func (s *system) addColdBackend(svc, zone string, work time.Duration, cold *coldState) (*backend, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.backends)
	b := &backend{s: s, id: fmt.Sprintf("i-%08x", 0x5a00+n), service: svc, zone: zone, addr: s.addr(firstBackendHost+n, portBackend), slots: s.service[svc].slots, listed: true, startedAt: time.Now(), work: work, cold: cold, conns: map[net.Conn]bool{}}
	var err error
	if b.lis, err = net.Listen("tcp", b.addr); err != nil {
		return nil, err
	}
	s.backends = append(s.backends, b)
	go b.serve()
	return b, nil
}

func (b *backend) serve() {
	for {
		c, err := b.lis.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go func() {
			b.serveConn(&serverConn{Conn: c, r: bufio.NewReader(c)})
			c.Close()
			b.mu.Lock()
			delete(b.conns, c)
			b.mu.Unlock()
		}()
	}
}

func (b *backend) close() {
	b.lis.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

func (b *backend) serveConn(c *serverConn) {
	for {
		req, err := http.ReadRequest(c.r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !b.handle(c, req, body) {
			return
		}
		c.n++
	}
}

// handle answers a request. It reports whether the connection stays open.
func (b *backend) handle(c *serverConn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Attempt-Id")
	if req.URL.Path == "/health" {
		return writeAnswer(c, "200 OK", fmt.Sprintf("X-Instance-Id: %s\r\nX-Backend-Load: %s\r\nX-Cold-Ms: %d\r\n", b.id, b.load(), b.coldMs(time.Now())), "")
	}
	switch want := req.Header.Get("X-Expect-Instance"); {
	case want != "" && want != b.id:
		return writeAnswer(c, "421 Misdirected Request", "X-Instance-Id: "+b.id+"\r\nX-Attempt-Id: "+id+"\r\n", "")
	case id == "":
		return writeAnswer(c, "400 Bad Request", "X-Not-Executed: 1\r\n", "")
	}
	if b.cold != nil && b.cold.arrives(id, time.Now()) {
		b.crash(req)
		return false
	}
	b.mu.Lock()
	if b.running >= b.slots {
		b.mu.Unlock()
		return writeAnswer(c, "503 Service Unavailable", "X-Not-Executed: 1\r\nX-Attempt-Id: "+id+"\r\nX-Backend-Load: "+b.load()+"\r\n", "")
	}
	b.running++
	b.mu.Unlock()
	b.s.rec.ran(id, b, req, body)
	time.Sleep(b.work)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	if b.respond != nil {
		return b.respond(b, c, req, body)
	}
	return b.answer(c, id)
}

// answer writes the whole answer to a request that has run.
func (b *backend) answer(c net.Conn, id string) bool {
	return writeAnswer(c, "200 OK", b.answerHeader(id), "answer to "+id+"\n")
}

func (b *backend) answerHeader(id string) string {
	return "X-Attempt-Id: " + id + "\r\nX-Response-Stamp: " + b.id + "." + id + "\r\nX-Backend-Load: " + b.load() + "\r\n"
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", b.running, b.slots)
}

// writeAnswer writes an answer with a length.
func writeAnswer(c net.Conn, status, header, body string) bool {
	var w strings.Builder
	fmt.Fprintf(&w, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	_, err := io.WriteString(c, w.String())
	return err == nil
}
