// Package platform is a stand-in for the platform's list of instances. It
// serves GET /instances with a lag: a change becomes visible only some time
// after it was made.
package platform

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/lab/serve"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// The status of an instance.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Instance is one entry of the list.
type Instance struct {
	ID         string `json:"id" yaml:"id"`
	Role       string `json:"role" yaml:"role"` // entry or target
	Service    string `json:"service,omitempty" yaml:"service,omitempty"`
	DataCentre string `json:"data_centre" yaml:"data_centre"`
	Region     string `json:"region" yaml:"region"`
	Address    string `json:"address" yaml:"address"`
	Slots      int    `json:"slots,omitempty" yaml:"slots,omitempty"`
	Status     string `json:"status" yaml:"status,omitempty"`
}

// Settings describes the list and its lag.
type Settings struct {
	Log       settings.Log      `yaml:"log,omitempty"`
	Listen    string            `yaml:"listen"`
	Lag       document.Duration `yaml:"lag,omitempty"`
	Instances []Instance        `yaml:"instances"`
}

// Check fills in defaults and records problems.
func (s *Settings) Check(c *settings.Check) {
	s.Log.Check(c, "log")
	c.Require(s.Listen, "listen")
	c.DurationRange(s.Lag, 0, time.Hour, "lag")
	seen := map[string]bool{}
	for i := range s.Instances {
		in := &s.Instances[i]
		if in.Status == "" {
			in.Status = Live
		}
		if msg := in.problem(); msg != "" {
			c.Add([]any{"instances", i}, "%s", msg)
		}
		if seen[in.ID] {
			c.Add([]any{"instances", i, "id"}, "%q is used twice", in.ID)
		}
		seen[in.ID] = true
	}
}

func (in Instance) problem() string {
	switch {
	case in.ID == "" || in.DataCentre == "" || in.Address == "":
		return "id, data_centre and address are required"
	case in.Role != "entry" && in.Role != "target":
		return "role must be entry or target"
	case in.Status != Live && in.Status != Leaving:
		return "status must be live or leaving"
	}
	return ""
}

// listState is the list as it is from a point in time on.
type listState struct {
	since     time.Time
	instances []Instance
}

// Platform serves the list of instances.
type Platform struct {
	mu     sync.Mutex
	lag    time.Duration
	states []listState // oldest first; never empty
	down   bool
}

// New returns a platform whose first list is visible at once.
func New(s Settings) *Platform {
	return &Platform{lag: s.Lag.AsDuration(), states: []listState{{instances: s.Instances}}}
}

// control is the body of POST /control. Its fields apply in this order.
type control struct {
	Add    *Instance `json:"add"`     // add an instance, or replace the one with this id
	Leave  string    `json:"leave"`   // mark this instance leaving
	Remove string    `json:"remove"`  // remove this instance
	LagMs  *int64    `json:"lag_ms"`  // change the lag
	Down   *bool     `json:"is_down"` // answer 503 while true
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	mux.HandleFunc("POST /control", p.control)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	instances, down := p.visible(time.Now())
	if down {
		http.Error(w, "the platform list is down", http.StatusServiceUnavailable)
		return
	}
	serve.JSON(w, http.StatusOK, map[string]any{"instances": instances})
}

// visible returns the latest list that is at least as old as the lag, and
// whether the list is set to be unavailable.
func (p *Platform) visible(now time.Time) ([]Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.states) > 1 && !p.states[1].since.After(now.Add(-p.lag)) {
		p.states = p.states[1:]
	}
	return p.states[0].instances, p.down
}

func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	var c control
	if !serve.Decode(w, r, &c) {
		return
	}
	if c.Add != nil {
		if c.Add.Status == "" {
			c.Add.Status = Live
		}
		if msg := c.Add.problem(); msg != "" {
			http.Error(w, msg, http.StatusBadRequest)
			return
		}
	}
	if !p.apply(c, time.Now()) {
		http.Error(w, "no such instance", http.StatusNotFound)
		return
	}
	serve.JSON(w, http.StatusOK, map[string]bool{"ok": true})
}

// apply makes the change and reports whether the instances that it names
// exist. If one does not, the list stays unchanged.
func (p *Platform) apply(c control, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := slices.Clone(p.states[len(p.states)-1].instances)
	if c.Add != nil {
		next = slices.DeleteFunc(next, func(in Instance) bool { return in.ID == c.Add.ID })
		next = append(next, *c.Add)
	}
	if c.Leave != "" {
		i := indexOf(next, c.Leave)
		if i < 0 {
			return false
		}
		next[i].Status = Leaving
	}
	if c.Remove != "" {
		i := indexOf(next, c.Remove)
		if i < 0 {
			return false
		}
		next = slices.Delete(next, i, i+1)
	}
	if c.LagMs != nil {
		p.lag = time.Duration(*c.LagMs) * time.Millisecond
	}
	if c.Down != nil {
		p.down = *c.Down
	}
	p.states = append(p.states, listState{since: now, instances: next})
	return true
}

func indexOf(list []Instance, id string) int {
	return slices.IndexFunc(list, func(in Instance) bool { return in.ID == id })
}
