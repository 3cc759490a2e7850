package main

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	payClients = 12
	payTime    = 25 * time.Second
	extraEvery = 34 // one in so many answers of three of the five backends: x = .03
)

// extraBytes: backends send additional bytes after a complete answer, late, at the point
// where the next answer is expected. They are no answer of a backend: neither an identifier
// nor a stamp is in them.
func extraBytes(s *system, trouble bool) (bool, error) {
	s.service["pay"] = &service{name: "pay", slots: 4}
	s.addMachine("core", "z1")
	s.addMachine("front", "z1")
	for i := range 5 {
		b, err := s.addBackend("pay", "z1", 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		var n atomic.Int64
		b.respond = func(b *backend, c *serverConn, req *http.Request, _ []byte) bool {
			id := req.Header.Get("X-Attempt-Id")
			ok := b.answer(c, id)
			if trouble && i%2 == 0 && n.Add(1)%extraEvery == 0 {
				// The additional bytes follow when the next request has begun to arrive.
				if _, err := c.r.Peek(1); err != nil {
					return false
				}
				s.rec.logf("additional bytes from %s after the answer to %s", b.id, id)
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			}
			return ok
		}
	}
	if err := s.startAll([]route{{"r-pay", "pay.example", "/pay/", "unsafe", "pay", 4000}}); err != nil {
		return false, err
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	end := time.Now().Add(payTime)
	for range payClients {
		all.Go(func() {
			cl := &client{s: s, m: s.fronts[0]}
			defer cl.close()
			for time.Now().Before(end) {
				r := cl.do("POST", "pay.example", "/pay/1", "amount=1", 4*time.Second)
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	all.Wait()
	time.Sleep(time.Second) // what runs later
	refused := 0
	for _, r := range replies {
		if (r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421) && len(s.rec.runsOf(r.id)) > 0 {
			s.rec.logf("REFUSED: request %s was answered %d and has run", r.id, r.status)
			refused++
		}
	}
	s.rec.logf("%d requests, %d answered with an untrue refusal", len(replies), refused)
	return refused > 0, nil
}
