package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// caller sends requests to the entries.
type caller struct {
	w      *world
	client *http.Client
}

func newCaller(w *world) *caller {
	return &caller{w: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, DisableCompression: true}}}
}

// outcome is the answer to a request.
type outcome struct {
	id     string
	status int // 0: none
	body   []byte
	err    error
}

// send sends a request to an entry and waits for the answer.
func (c *caller) send(m *machine, method, host, path, affinity string, deadline time.Duration) outcome {
	o := outcome{id: fmt.Sprintf("%016x", rand.Uint64())}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, c.w.frontPort(), path), nil)
	if err != nil {
		o.err = err
		return o
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", o.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if affinity != "" {
		req.Header.Set("Cookie", "X-Affinity-Key="+affinity)
	}
	client := *c.client
	client.Timeout = deadline
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	o.body, o.err = io.ReadAll(resp.Body)
	return o
}

// traffic sends requests at a rate to the entries in turn until stop is closed.
func (c *caller) traffic(perSecond int, host, path string, stop <-chan struct{}, done func(outcome)) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				done(c.send(c.w.fronts[i%len(c.w.fronts)], "GET", host, path, fmt.Sprint(i%97), 2*time.Second))
			}()
		}
	}()
	return &wg
}

// awaitReady waits until all entries say that they are ready.
func (w *world) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(within)
	for _, m := range w.fronts {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/healthz", m.ip, w.readyPort()))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
