package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	slowBodyBytes    = 8 << 20 // within maxBodyBytes
	slowBodyRate     = 1 << 20 // bytes a second, about 8 Mbit/s
	slowBodySenders  = 6
	slowBodyDeadline = 15 * time.Second
	slowBodyTime     = 45 * time.Second
	starvedShare     = 0.25 // of the share of all requests that is served
)

// runSlowBody sends bodies over a link of 8 Mbit/s beside small requests.
func runSlowBody(w *world) (bool, error) {
	if err := w.startAll(6, 6); err != nil {
		return false, err
	}
	for z := range zones {
		for n := 1; n <= 2; n++ {
			if _, err := w.startTarget(service, z, n, 200*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	op := newOperator(w)
	upload := route{name: "upload", host: host, prefix: "/upload/", kind: "unsafe", service: service, timeoutMs: int(slowBodyDeadline.Milliseconds())}
	if err := op.put(append(baseRoutes(4, 4000), upload.resource(), serviceResource(service), limitsResource()), 20*time.Second); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactWindow + 2*time.Second)
	rate := slowBodyRate
	if !w.trouble {
		rate = 64 * slowBodyRate
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	small, uploads := map[int]int{}, map[int]int{}
	c := newCaller(w)
	wg := c.traffic(20, host, "/p1/x", stop, func(o outcome) {
		mu.Lock()
		defer mu.Unlock()
		small[o.status]++
	})
	end := time.Now().Add(slowBodyTime)
	var senders sync.WaitGroup
	for i := range slowBodySenders {
		senders.Go(func() {
			for time.Now().Before(end) {
				started := time.Now()
				status := w.slowUpload(w.fronts[i%len(w.fronts)], rate)
				w.log("upload to %s: status %d after %s", w.fronts[i%len(w.fronts)].name, status, time.Since(started).Round(10*time.Millisecond))
				mu.Lock()
				uploads[status]++
				mu.Unlock()
				time.Sleep(time.Second)
			}
		})
	}
	senders.Wait()
	close(stop)
	wg.Wait()
	ofUploads, sent := share(uploads)
	ofSmall, sentSmall := share(small)
	all := (ofUploads*float64(sent) + ofSmall*float64(sentSmall)) / float64(sent+sentSmall)
	w.log("small requests by status %v, uploads by status %v", small, uploads)
	w.log("share served: uploads %.3f, all requests %.3f (bound for each kind %.3f)", ofUploads, all, starvedShare*all)
	return ofUploads < starvedShare*all, nil
}

// share returns the share of answers with status 200, and the number of all.
func share(statuses map[int]int) (served float64, all int) {
	for _, n := range statuses {
		all += n
	}
	return float64(statuses[http.StatusOK]) / float64(max(all, 1)), all
}

// slowUpload sends a body at a rate and returns the status of the answer, 0 without one.
func (w *world) slowUpload(m *machine, rate int) int {
	client := &http.Client{Timeout: slowBodyDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	body := &pacedReader{Reader: bytes.NewReader(make([]byte, slowBodyBytes)), rate: rate, started: time.Now()}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/upload/x", m.ip, w.frontPort()), body)
	if err != nil {
		return 0
	}
	req.ContentLength = slowBodyBytes
	req.Host = host
	req.Header.Set("X-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(slowBodyDeadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// pacedReader reads at a rate of bytes a second, as a link of that rate sends them.
type pacedReader struct {
	io.Reader
	rate    int
	read    int
	started time.Time
}

func (r *pacedReader) Read(p []byte) (int, error) {
	due := r.started.Add(time.Duration(float64(r.read) / float64(r.rate) * float64(time.Second)))
	time.Sleep(time.Until(due))
	n, err := r.Reader.Read(p[:min(len(p), 16<<10)])
	r.read += n
	return n, err
}
