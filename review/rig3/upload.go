package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryLimit   = 284 << 20 // memoryMb of the settings, in MiB to be on the safe side
	uploadBytes   = 60 << 20  // within maxBodyBytes, which is 64 MiB
	uploadSenders = 2
	uploadTime    = 30 * time.Second
	lookupClients = 24
)

// runUpload sends two large bodies at a time to one entry, beside small requests. The
// platform's stand-in ends a process that uses more than its memory and starts it again.
func runUpload(w *world) (bool, error) {
	if err := w.startAll(6, 6); err != nil {
		return false, err
	}
	st := &pipelineStats{ran: map[string]bool{}}
	for z := range zones {
		for n := 1; n <= 2; n++ {
			t, err := w.startTarget(service, z, n, 200*time.Millisecond)
			if err != nil {
				return false, err
			}
			t.onRun = func(_ *target, id string, _ []byte) {
				st.mu.Lock()
				defer st.mu.Unlock()
				st.ran[id] = true
			}
		}
	}
	op := newOperator(w)
	upload := route{name: "upload", host: host, prefix: "/upload/", kind: "unsafe", service: service, timeoutMs: 20000}
	if err := op.put(append(baseRoutes(4, 4000), upload.resource(), serviceResource(service), limitsResource()), 20*time.Second); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactWindow + 2*time.Second)
	stop := make(chan struct{})
	var kills, peak atomic.Int64
	go w.limitMemory(w.fronts[0], memoryLimit, stop, &kills, &peak)
	end := time.Now().Add(uploadTime)
	var wg sync.WaitGroup
	for range lookupClients {
		wg.Go(func() {
			for time.Now().Before(end) {
				st.lookups(w, w.fronts[0], end)
			}
		})
	}
	var uploads, uploaded atomic.Int64
	size := uploadBytes
	if !w.trouble {
		size = 60 << 10
	}
	body := bytes.Repeat([]byte("x"), size)
	for range uploadSenders {
		wg.Go(func() {
			for time.Now().Before(end) {
				uploads.Add(1)
				if w.upload(w.fronts[0], body) {
					uploaded.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	close(stop)
	w.log("uploads of %d bytes: %d sent, %d answered with success", size, uploads.Load(), uploaded.Load())
	w.log("memory of the entry (anonymous pages): at most %d MiB, limit %d MiB; ended for it %d times", peak.Load()>>20, memoryLimit>>20, kills.Load())
	w.log("small requests sent %d, answered %d", st.sent, st.answered)
	w.log("requests on a kept connection that ran on a sound target, and whose connection was closed without an answer: %d (bound %d)", len(st.lost), mostLost)
	for i, id := range st.lost {
		if i == 10 {
			break
		}
		w.log("  request %s", id)
	}
	return len(st.lost) > mostLost, nil
}

// upload sends a body and reports whether it was answered with success.
func (w *world) upload(m *machine, body []byte) bool {
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/upload/x", m.ip, w.frontPort()), bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	req.Header.Set("X-Deadline-Ms", "15000")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// lookups sends small requests one after the other on one connection until it ends.
func (st *pipelineStats) lookups(w *world, m *machine, end time.Time) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, w.frontPort()), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for served := 0; time.Now().Before(end); {
		id := fmt.Sprintf("%016x", rand.Uint64())
		if _, err := fmt.Fprintf(c, "GET /p1/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nCookie: X-Affinity-Key=%d\r\n\r\n", host, id, rand.IntN(200)); err != nil {
			return
		}
		st.mu.Lock()
		st.sent++
		st.mu.Unlock()
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			st.ended([]string{id}, resp != nil, served > 0)
			return
		}
		st.mu.Lock()
		st.answered++
		st.mu.Unlock()
		if served++; resp.Close {
			return
		}
	}
}

// limitMemory ends the process of a machine when it uses more than the limit, and starts
// it again a moment later, as the platform does.
func (w *world) limitMemory(m *machine, limit int64, stop <-chan struct{}, kills, peak *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := anonymousBytes(m.cmd.Process.Pid)
		if used > peak.Load() {
			peak.Store(used)
		}
		if used <= limit {
			continue
		}
		w.log("%s uses %d MiB and is ended", m.name, used>>20)
		kills.Add(1)
		if err := w.endForMemory(m); err != nil {
			w.log("%v", err)
			return
		}
	}
}

// anonymousBytes returns the resident anonymous memory of a process of this rig.
func anonymousBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}
