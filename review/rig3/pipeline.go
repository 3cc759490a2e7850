package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	pipelineDepth   = 4
	pipelineClients = 12
	pipelineTime    = 45 * time.Second
	answerSize      = 200 << 10
	faultyShare     = 0.02 // of the answers of a faulty target
	mostLost        = 3
)

// pipelineStats counts what became of the requests.
type pipelineStats struct {
	mu       sync.Mutex
	sent     int
	answered int
	cut      int             // answers that ended early
	ran      map[string]bool // on sound targets
	lost     []string        // on kept connections that the entry closed, run by a sound target
}

// runPipeline sends requests one behind the other on kept connections, while some targets
// break off a few of their answers.
func runPipeline(w *world) (bool, error) {
	if err := w.startAll(6, 6); err != nil {
		return false, err
	}
	st := &pipelineStats{ran: map[string]bool{}}
	var targets []*target
	for z := range zones {
		for n := 1; n <= 2; n++ {
			t, err := w.startTarget(service, z, n, 50*time.Millisecond)
			if err != nil {
				return false, err
			}
			t.answerBytes = answerSize
			if n == 2 { // half of the targets
				if w.trouble {
					t.breakShare = faultyShare
				}
			} else {
				t.onRun = func(_ *target, id string, _ []byte) {
					st.mu.Lock()
					defer st.mu.Unlock()
					st.ran[id] = true
				}
			}
			targets = append(targets, t)
		}
	}
	op := newOperator(w)
	if err := op.put(append(baseRoutes(4, 4000), serviceResource(service), limitsResource()), 20*time.Second); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactWindow + 2*time.Second)
	end := time.Now().Add(pipelineTime)
	var wg sync.WaitGroup
	for i := range pipelineClients {
		wg.Go(func() {
			for time.Now().Before(end) {
				st.connection(w, w.fronts[i%len(w.fronts)], end)
			}
		})
	}
	wg.Wait()
	var broken int64
	for _, t := range targets {
		broken += t.broken.Load()
	}
	w.log("requests sent %d, answered %d; answers that targets broke off %d, answers that ended early at a client %d", st.sent, st.answered, broken, st.cut)
	w.log("requests on a kept connection that ran on a sound target, and whose connection was closed without an answer: %d (bound %d)", len(st.lost), mostLost)
	for i, id := range st.lost {
		if i == 10 {
			break
		}
		w.log("  request %s", id)
	}
	return len(st.lost) > mostLost, nil
}

// connection sends requests on one connection until it ends.
func (st *pipelineStats) connection(w *world, m *machine, end time.Time) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, w.frontPort()), time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for served := 0; time.Now().Before(end); {
		var out bytes.Buffer
		var ids []string
		for range pipelineDepth {
			id := fmt.Sprintf("%016x", rand.Uint64())
			ids = append(ids, id)
			fmt.Fprintf(&out, "GET /p1/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nCookie: X-Affinity-Key=%d\r\n\r\n", host, id, rand.IntN(200))
		}
		if _, err := c.Write(out.Bytes()); err != nil {
			return
		}
		st.mu.Lock()
		st.sent += len(ids)
		st.mu.Unlock()
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		for i, id := range ids {
			resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				st.ended(ids[i:], resp != nil, served > 0)
				return
			}
			st.mu.Lock()
			st.answered++
			st.mu.Unlock()
			served++
			if resp.Header.Get("X-Attempt-Id") != id && resp.StatusCode == http.StatusOK {
				w.log("request %s got the answer to %s", id, resp.Header.Get("X-Attempt-Id"))
			}
			if resp.Close {
				return
			}
		}
	}
}

// ended records the requests without an answer on a connection that the entry has closed.
// The first of them may have got the beginning of one.
func (st *pipelineStats) ended(ids []string, begun, kept bool) {
	time.Sleep(300 * time.Millisecond) // a request that was passed on has reached its target by now
	st.mu.Lock()
	defer st.mu.Unlock()
	if begun {
		st.cut++
		ids = ids[1:]
	}
	for _, id := range ids {
		if kept && st.ran[id] {
			st.lost = append(st.lost, id)
		}
	}
}
