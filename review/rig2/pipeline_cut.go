package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	largeAnswer   = 100 << 10
	cutAfter      = 80 << 10
	garbleEvery   = 50 // one in so many answers of half of the backends: x = .02
	pipelined     = 4
	pipelineConns = 30
	pipelineTime  = 25 * time.Second
)

// pipelineCut: clients send safe requests behind each other. A faulty backend breaks off
// some answers. Requests behind them have been passed on to a sound backend.
func pipelineCut(s *system, trouble bool) (bool, error) {
	s.service["read"] = &service{name: "read", slots: 5}
	s.addMachine("core", "z1")
	s.addMachine("front", "z1")
	var answered sync.Map // identifiers of requests that a sound backend has answered in full
	for i := range 4 {
		b, err := s.addBackend("read", "z1", 40*time.Millisecond)
		if err != nil {
			return false, err
		}
		faulty := i%2 == 0
		var n atomic.Int64
		b.respond = func(b *backend, c *serverConn, req *http.Request, _ []byte) bool {
			id, size := req.Header.Get("X-Attempt-Id"), 100
			if strings.HasPrefix(req.URL.Path, "/read/large") {
				size = largeAnswer
			}
			if trouble && faulty && n.Add(1)%garbleEvery == 0 {
				s.rec.logf("answer to %s broken off at %s", id, b.id)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", b.answerHeader(id), size, strings.Repeat("x", size*cutAfter/largeAnswer))
				return false
			}
			ok := writeAnswer(c, "200 OK", b.answerHeader(id), strings.Repeat("x", size))
			if !faulty {
				answered.Store(id, true)
			}
			return ok
		}
	}
	if err := s.startAll([]route{{"r-read", "read.example", "/read/", "safe", "read", 4000}}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	end := time.Now().Add(pipelineTime)
	var all sync.WaitGroup
	var sent, lost atomic.Int64
	for range pipelineConns {
		all.Go(func() {
			cl := &client{s: s, m: s.fronts[0]}
			defer cl.close()
			for time.Now().Before(end) {
				ids, whole := cl.pipeline()
				sent.Add(int64(len(ids)))
				time.Sleep(200 * time.Millisecond) // those under way end
				for _, id := range ids[whole:] {
					if _, ok := answered.Load(id); ok {
						lost.Add(1)
						s.rec.logf("LOST: request %s was passed on to a sound backend, which has answered it in full; its connection ended without the answer", id)
					}
				}
			}
		})
	}
	all.Wait()
	s.rec.logf("%d requests, %d lost; the rule allows 3", sent.Load(), lost.Load())
	return lost.Load() > 3, nil
}

// pipeline sends safe requests behind each other on the kept connection, the first one for a
// large answer. It returns their identifiers and how many got their whole answer.
func (c *client) pipeline() (ids []string, whole int) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.m.at(portFront), time.Second)
		if err != nil {
			return nil, 0
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	var w strings.Builder
	for i := range pipelined {
		id, path := newID(), "/read/large"
		if i > 0 {
			path = fmt.Sprintf("/read/%d", i)
		}
		ids = append(ids, id)
		fmt.Fprintf(&w, "GET %s HTTP/1.1\r\nHost: read.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", path, id)
	}
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c.conn, w.String())
	for _, id := range ids {
		r := reply{id: id}
		if r.read(c); r.err != nil {
			c.s.rec.logf("connection ends at the answer to %s: %v", id, r.err)
			c.close()
			return ids, whole
		}
		whole++
	}
	return ids, whole
}
