package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// target is a back end. It follows the users' page on the protocol.
type target struct {
	w       *world
	entry   instance
	work    time.Duration
	leaving atomic.Bool
	running atomic.Int64
	server  *http.Server

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that reached a target and was not refused as another's.
type arrival struct {
	at time.Time
	id string
}

const targetSlots = 7

// startTarget starts a target of a service in a zone and lists it.
func (w *world) startTarget(service string, zoneIndex, number int, work time.Duration) (*target, error) {
	ip := fmt.Sprintf("%s.%d.%d", w.net, 65+zoneIndex, number)
	t := &target{w: w, work: work, entry: instance{
		ID: fmt.Sprintf("i-%s-%d-%d", service, zoneIndex, number), Service: service, Address: fmt.Sprintf("%s:%d", ip, w.targetPort()),
		Zone: zones[zoneIndex].name, Version: "v1", Slots: targetSlots, State: "ready", Born: time.Now().UnixMilli(),
	}}
	if err := t.listen(); err != nil {
		return nil, err
	}
	w.cloud.set(t.entry)
	return t, nil
}

// listen starts to accept connections.
func (t *target) listen() error {
	l, err := net.Listen("tcp", t.entry.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(t.serve)}
	t.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}

// leave announces in the list that the target will stop.
func (t *target) leave() {
	t.leaving.Store(true)
	t.entry.State = "draining"
	t.w.cloud.set(t.entry)
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Backend-Load", fmt.Sprintf("%d,0,%d", t.running.Load(), targetSlots))
	h.Set("Keep-Alive", "timeout=15")
	if t.leaving.Load() {
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", t.entry.ID)
		if t.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != t.entry.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{time.Now(), id})
	t.mu.Unlock()
	if t.running.Add(1) > targetSlots {
		t.running.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	wait := t.work
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Response-Stamp", "stamp."+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// arrivedAfter returns the requests that reached the target after a time.
func (t *target) arrivedAfter(at time.Time) []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []arrival
	for _, a := range t.arrivals {
		if a.at.After(at) {
			out = append(out, a)
		}
	}
	return out
}
