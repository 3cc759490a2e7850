package kit

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Run is a request that a backend began to work on.
type Run struct {
	Backend, Service, AttemptID, Method, Target, Host, BodyHash string
	Body                                                        int
	At                                                          time.Time
}

// Runs collects the runs of all backends.
type Runs struct {
	mu   sync.Mutex
	list []Run
}

// Add adds a run.
func (r *Runs) Add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, run)
}

// All returns the runs so far.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.list...)
}

// Of returns the runs of a client attempt.
func (r *Runs) Of(attemptID string) []Run {
	var out []Run
	for _, run := range r.All() {
		if run.AttemptID == attemptID {
			out = append(out, run)
		}
	}
	return out
}

// Backend is a backend as the users' pages describe it.
type Backend struct {
	ID, Service, Addr, Zone string
	Slots, Queue            int
	Work                    func(r *http.Request) time.Duration
	// Respond replaces the usual answer, if it is set and returns true. It is called
	// after the work is done.
	Respond func(b *Backend, r *http.Request, body []byte, w io.Writer, conn net.Conn) bool
	Runs    *Runs
	// BodyBytes is the size of the answers' bodies.
	BodyBytes int

	lis     net.Listener
	mu      sync.Mutex
	running int
	waiting int
	free    chan struct{}
	conns   map[net.Conn]bool
	stopped bool
}

// Start starts the backend.
func (b *Backend) Start() error {
	lis, err := net.Listen("tcp", b.Addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.lis, b.conns, b.stopped = lis, map[net.Conn]bool{}, false
	b.free = make(chan struct{}, b.Slots)
	b.mu.Unlock()
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			if b.stopped {
				c.Close()
			} else {
				b.conns[c] = true
				go b.serve(c)
			}
			b.mu.Unlock()
		}
	}()
	return nil
}

// Crash ends the backend as a process that is killed: its connections are reset.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	b.lis.Close()
	for c := range b.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	b.conns = map[net.Conn]bool{}
}

// Entry returns the entry of the backend in the platform's list.
func (b *Backend) Entry() ListEntry {
	return ListEntry{ID: b.ID, Service: b.Service, Address: b.Addr, Zone: b.Zone, Version: "v1", Slots: b.Slots, State: "ready", Born: time.Now().UnixMilli()}
}

func (b *Backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", b.running, b.waiting, b.Slots)
}

func (b *Backend) serve(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !b.answer(c, req, body) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (b *Backend) answer(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Attempt-Id")
	if req.Method == http.MethodGet && req.URL.Path == "/health" && id == "" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Backend-Load: %s\r\nContent-Length: 0\r\n\r\n", b.ID, b.load())
		return err == nil
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != b.ID {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", b.ID, id)
		return err == nil
	}
	if !b.takeSlot() {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nX-Backend-Load: %s\r\nContent-Length: 0\r\n\r\n", id, b.load())
		return err == nil
	}
	hash := sha256.Sum256(body)
	b.Runs.Add(Run{
		Backend: b.ID, Service: b.Service, AttemptID: id, Method: req.Method, Target: req.RequestURI, Host: req.Host,
		BodyHash: hex.EncodeToString(hash[:8]), Body: len(body), At: time.Now(),
	})
	if b.Work != nil {
		time.Sleep(b.Work(req))
	}
	b.releaseSlot()
	if b.Respond != nil && b.Respond(b, req, body, c, c) {
		return true
	}
	return b.WriteAnswer(c, id) == nil
}

// WriteAnswer writes the usual answer to a request.
func (b *Backend) WriteAnswer(w io.Writer, id string) error {
	body := AnswerBody(b.Service, id, b.BodyBytes)
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\nX-Backend-Load: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		id, Stamp(b.Service, id), b.load(), len(body), body)
	return err
}

// AnswerBody returns the body of the answer of a service to a request.
func AnswerBody(service, id string, size int) string {
	if size <= 0 {
		size = 64
	}
	text := "answer of " + service + " to " + id + "\n"
	return (strings.Repeat(text, size/len(text)+1))[:size]
}

// Stamp returns the signature of an answer.
func Stamp(service, id string) string {
	sum := sha256.Sum256([]byte(service + "/" + id))
	return hex.EncodeToString(sum[:8])
}

func (b *Backend) takeSlot() bool {
	b.mu.Lock()
	if b.running < b.Slots {
		b.running++
		b.mu.Unlock()
		return true
	}
	if b.waiting >= b.Queue {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	free := b.free
	b.mu.Unlock()
	<-free
	return true
}

func (b *Backend) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting > 0 {
		b.waiting--
		b.free <- struct{}{}
		return
	}
	b.running--
}
