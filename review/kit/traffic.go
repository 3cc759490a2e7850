package kit

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// Kind is a kind of request.
type Kind struct {
	Name, Method, Host string
	Safe               bool
	Deadline           time.Duration
	// Target returns path and query of the next request, and the key of its object.
	Target func() (target, key string)
	Body   func() []byte // nil: no body
}

// Attempt is a client attempt with its answer.
type Attempt struct {
	Kind             *Kind
	ID, Target       string
	Front            string
	Retry            bool // a retry of a request that was refused
	Kept             bool // not the first request on its connection
	SentAt, AnswerAt time.Time
	Answer           Answer
}

// Traffic collects the attempts of all clients.
type Traffic struct {
	Case *Case

	mu       sync.Mutex
	attempts []*Attempt
	wg       sync.WaitGroup
}

// All returns the attempts so far.
func (t *Traffic) All() []*Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*Attempt(nil), t.attempts...)
}

// Wait waits until all requests have ended.
func (t *Traffic) Wait() { t.wg.Wait() }

// Open sends requests of a kind at a rate until end, each from a client of its own in
// the zones by turns, on a connection of its own.
func (t *Traffic) Open(k *Kind, perSecond float64, end time.Time) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		gap := time.Duration(float64(time.Second) / perSecond)
		tick := time.NewTicker(gap)
		defer tick.Stop()
		for time.Now().Before(end) {
			<-tick.C
			t.wg.Add(1)
			go func() {
				defer t.wg.Done()
				t.request(k)
			}()
		}
	}()
}

// request sends a request and, if it is refused with a promise, once more when the
// client was asked to come back, but after a third of the time left at most.
func (t *Traffic) request(k *Kind) {
	deadline := time.Now().Add(k.Deadline)
	a := t.attempt(k, deadline, false)
	if a.Answer.Status != 429 && a.Answer.Status != 503 {
		return
	}
	wait := time.Until(deadline) / 3
	if after, err := strconv.ParseFloat(a.Answer.Header.Get("Retry-After"), 64); err == nil {
		wait = min(wait, time.Duration(after*float64(time.Second)))
	}
	time.Sleep(wait)
	t.attempt(k, deadline, true)
}

func (t *Traffic) attempt(k *Kind, deadline time.Time, retry bool) *Attempt {
	d := t.Case.D
	front := d.Fronts[rand.N(len(d.Fronts))]
	target, key := k.Target()
	a := &Attempt{Kind: k, ID: NewAttemptID(), Target: target, Front: front.Name, Retry: retry}
	var body []byte
	if k.Body != nil {
		body = k.Body()
	}
	a.SentAt = time.Now()
	a.Answer = Do(front.Addr(d.Ports.Front), k.Method, k.Host, a.Target, key, a.ID, time.Until(deadline), body)
	a.AnswerAt = time.Now()
	t.Note(a)
	return a
}

// Note records an attempt that has ended.
func (t *Traffic) Note(a *Attempt) {
	t.mu.Lock()
	t.attempts = append(t.attempts, a)
	t.mu.Unlock()
	t.Case.Record.Printf("%s %s: %s %s to %s, sent %.3f s before: %d %s", a.Kind.Name, a.ID, a.Kind.Method, a.Target, a.Front,
		a.AnswerAt.Sub(a.SentAt).Seconds(), a.Answer.Status, errText(a.Answer.Err))
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}

// RecordRuns writes all runs to the record.
func (c *Case) RecordRuns() {
	for _, r := range c.Runs.All() {
		c.Record.Printf("run at %s (%s): %s %s %s, body of %d bytes, %.3f s after the start", r.Backend, r.Service, r.AttemptID, r.Method, r.Target, r.Body,
			r.At.Sub(c.Record.start).Seconds())
	}
}

// Conn is a kept connection of a client.
type Conn struct {
	net.Conn
	r    *bufio.Reader
	used int
}

// Dial opens a connection to a front.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, r: bufio.NewReader(c)}, nil
}

// Do sends a request on the connection and reads its answer.
func (c *Conn) Do(k *Kind, target, key, id string, body []byte) (a Answer, kept bool) {
	kept = c.used > 0
	c.used++
	_ = c.SetDeadline(time.Now().Add(k.Deadline + 500*time.Millisecond))
	if err := WriteRequest(c, k.Method, k.Host, target, key, id, k.Deadline, body); err != nil {
		return Answer{Err: fmt.Errorf("write: %w", err)}, kept
	}
	return ReadAnswer(c.r, k.Method), kept
}
