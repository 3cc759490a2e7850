package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listLag is how far the list lags, as lagMs in the settings.
const listLag = 800 * time.Millisecond

// ListEntry is an entry of the platform's list.
type ListEntry struct {
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

// Cloud is the platform's list of backends.
type Cloud struct {
	Addr string

	srv     *http.Server
	mu      sync.Mutex
	entries map[string]ListEntry
	shown   map[string]ListEntry
}

// NewCloud returns an empty list.
func NewCloud(addr string) *Cloud {
	return &Cloud{Addr: addr, entries: map[string]ListEntry{}, shown: map[string]ListEntry{}}
}

// Start serves the list.
func (c *Cloud) Start() error {
	lis, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", c.list)
	c.srv = &http.Server{Handler: mux}
	go c.srv.Serve(lis)
	return nil
}

// Stop ends the list.
func (c *Cloud) Stop() { c.srv.Close() }

// Set adds or replaces an entry; the list shows it after its lag.
func (c *Cloud) Set(e ListEntry) { c.change(func(m map[string]ListEntry) { m[e.ID] = e }) }

// SetNow adds or replaces an entry at once, as before the start of the system.
func (c *Cloud) SetNow(e ListEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shown[e.ID] = e
}

// Remove removes an entry; the list shows it after its lag.
func (c *Cloud) Remove(id string) { c.change(func(m map[string]ListEntry) { delete(m, id) }) }

func (c *Cloud) change(f func(map[string]ListEntry)) {
	time.AfterFunc(listLag, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		f(c.shown)
	})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	zone := r.URL.Query().Get("zone")
	byZone := map[string][]ListEntry{}
	for _, e := range c.shown {
		if zone == "" || zone == e.Zone {
			byZone[e.Zone] = append(byZone[e.Zone], e)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": byZone, "nextToken": nil})
}
