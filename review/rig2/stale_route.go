package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	freezeTime    = 3500 * time.Millisecond
	configApplyMs = 2500 * time.Millisecond
	lateRequests  = 20
)

// staleRoute: a front freezes while an unsafe route is added below a safe one. Requests of
// the new route that clients send long after its acknowledgement wait in the front's
// connections until it wakes. Backends lose some answers.
func staleRoute(s *system, trouble bool) (bool, error) {
	freeze, lose := trouble && os.Getenv("FREEZE") != "0", trouble && os.Getenv("LOSE") != "0"
	s.service["shop"] = &service{name: "shop", slots: 8}
	for _, z := range []string{"z1", "z2", "z3"} {
		s.addMachine("core", z)
	}
	s.addMachine("front", "z1")
	s.addMachine("front", "z2")
	var orders atomic.Int64
	for i, z := range []string{"z1", "z1", "z1", "z2", "z2"} {
		b, err := s.addBackend("shop", z, 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		b.respond = func(b *backend, c *serverConn, req *http.Request, _ []byte) bool {
			id := req.Header.Get("X-Attempt-Id")
			// Three of the five backends lose two of five of their answers: the connection is
			// reset in their place.
			if i%2 == 1 || !lose || req.Method != "POST" {
				return b.answer(c, id)
			}
			if n := orders.Add(1) % 5; n == 3 || n == 0 {
				s.rec.logf("answer to %s lost at %s", id, b.id)
				if t, ok := c.Conn.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				return false
			}
			return b.answer(c, id)
		}
	}
	reads := route{"r-shop", "shop.example", "/", "safe", "shop", 8000}
	if err := s.startAll([]route{reads}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the core is stable and the machines are in touch
	front := s.fronts[0]
	var clients []*client
	for range lateRequests { // kept connections of clients that have read before
		cl := &client{s: s, m: front}
		if r := cl.do("GET", "shop.example", "/list", "", 4*time.Second); r.status != 200 {
			s.rec.logf("the first request of a client got %d", r.status)
		}
		clients = append(clients, cl)
	}
	if freeze {
		front.signal(syscall.SIGSTOP)
	}
	frozen := time.Now()
	if err := s.put([]route{reads, {"r-orders", "shop.example", "/orders/", "unsafe", "shop", 8000}}, 10); err != nil {
		return false, err
	}
	s.rec.logf("configuration %d, with the unsafe route /orders/, acknowledged", s.version)
	time.Sleep(configApplyMs + 100*time.Millisecond)
	if time.Since(frozen) > freezeTime-100*time.Millisecond {
		return false, fmt.Errorf("the configuration was acknowledged too late")
	}
	var all sync.WaitGroup
	ids := make([]string, len(clients))
	for i, cl := range clients {
		all.Go(func() { ids[i] = cl.do("POST", "shop.example", "/orders/1", "chair=7", 2500*time.Millisecond).id })
	}
	if freeze {
		time.Sleep(time.Until(frozen.Add(freezeTime)))
		front.signal(syscall.SIGCONT)
	}
	all.Wait()
	time.Sleep(time.Second)
	broken := false
	for _, id := range ids {
		if n := len(s.rec.runsOf(id)); n > 1 {
			s.rec.logf("TWICE: the unsafe request %s ran %d times", id, n)
			broken = true
		}
	}
	return broken, nil
}
