package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// instance is an entry of the platform's list.
type instance struct {
	ID      string  `json:"id"`
	Service string  `json:"service"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Version string  `json:"version"`
	Slots   int     `json:"slots"`
	State   string  `json:"state"`
	ColdMs  float64 `json:"coldRemainingMs"`
	Born    int64   `json:"born"`
}

// cloud is the platform's list of targets.
type cloud struct {
	w    *world
	addr string

	mu    sync.Mutex
	list  map[string]instance
	reads []time.Time // of the first page
}

const pageSize = 50

func startCloud(w *world, addr string) (*cloud, error) {
	c := &cloud{w: w, addr: addr, list: map[string]instance{}}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", c.serve)
	go func() { _ = http.Serve(l, mux) }()
	return c, nil
}

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	if r.URL.Query().Get("pageToken") == "" {
		c.reads = append(c.reads, time.Now())
	}
	var all []instance
	for _, i := range c.list {
		if z := r.URL.Query().Get("zone"); z == "" || z == i.Zone {
			all = append(all, i)
		}
	}
	c.mu.Unlock()
	sort.Slice(all, func(a, b int) bool { return all[a].ID < all[b].ID })
	from := 0
	_, _ = fmt.Sscanf(r.URL.Query().Get("pageToken"), "p-%d", &from)
	all = all[min(from, len(all)):]
	var next *string
	if len(all) > pageSize {
		all = all[:pageSize]
		token := fmt.Sprintf("p-%d", from+pageSize)
		next = &token
	}
	byZone := map[string][]instance{}
	for _, i := range all {
		byZone[i.Zone] = append(byZone[i.Zone], i)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": byZone, "nextToken": next})
}

// set adds an entry to the list or replaces it.
func (c *cloud) set(i instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list[i.ID] = i
}

// readsSince returns how often the list was read since a time, and the longest time
// without a reading until now.
func (c *cloud) readsSince(since time.Time) (n int, longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := since
	for _, at := range c.reads {
		if at.Before(since) {
			continue
		}
		n++
		longest = max(longest, at.Sub(last))
		last = at
	}
	return n, max(longest, time.Since(last))
}
