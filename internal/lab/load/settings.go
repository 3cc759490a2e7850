// Package load is the load generator. It looks up entries like a caching
// client, sends requests in an open or closed loop, checks that each answer
// is complete and belongs to its request, retries within a budget, and measures
// latency with HDR histograms corrected for coordinated omission.
package load

import (
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// Mode selects where requests are sent.
type Mode string

// The modes.
const (
	ViaEntries  Mode = "entries" // look up an entry and send to it
	Direct      Mode = "direct"  // send to the targets, round robin
	LookupsOnly Mode = "lookups" // only look up
)

// Defaults and limits of the settings.
const (
	defaultDeadline    = 5 * time.Second
	defaultMaxAttempts = 3
	defaultMaxInFlight = 20_000
	maxRate            = 10_000_000
	maxWorkers         = 100_000
	maxDuration        = 24 * time.Hour
)

// Settings describes a load.
type Settings struct {
	Mode        Mode                `yaml:"mode,omitempty"`
	Seed        uint64              `yaml:"seed,omitempty"`
	Entries     []string            `yaml:"entries,omitempty"` // addresses for look-ups, in order of preference
	Targets     map[string][]string `yaml:"targets,omitempty"` // service to target addresses, for mode direct
	Client      string              `yaml:"client,omitempty"`  // client address named in look-ups
	Rate        float64             `yaml:"rate,omitempty"`    // requests a second in an open loop
	Workers     int                 `yaml:"workers,omitempty"` // workers of a closed loop, instead of a rate
	Duration    document.Duration   `yaml:"duration,omitempty"`
	Warmup      document.Duration   `yaml:"warmup,omitempty"` // time at the start that the summary leaves out
	MaxInFlight int                 `yaml:"max_in_flight,omitempty"`
	MaxAttempts int                 `yaml:"tries,omitempty"` // maximum number of attempts of one call
	Journal     string              `yaml:"journal,omitempty"`
	Shifts      []Shift             `yaml:"shifts,omitempty"`
	Routes      []Route             `yaml:"routes,omitempty"`
}

// Shift is a customer and its share of the load.
type Shift struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share,omitempty"`
}

// Route is one kind of request and its share of the load.
type Route struct {
	Name        string            `yaml:"name"`
	Service     string            `yaml:"service"`
	Method      string            `yaml:"method,omitempty"`
	Path        string            `yaml:"path"`
	Share       float64           `yaml:"share,omitempty"`
	Work        document.Duration `yaml:"work,omitempty"`  // median service time; 0: the target's own
	Sigma       float64           `yaml:"sigma,omitempty"` // sigma of the log-normal distribution of the service time; 0: constant
	Stragglers  *Stragglers       `yaml:"stragglers,omitempty"`
	AnswerBytes int               `yaml:"size,omitempty"` // bytes of the answer; 0: the target's own
	BodyBytes   int               `yaml:"body,omitempty"` // bytes of the request body
	Deadline    document.Duration `yaml:"deadline,omitempty"`
	AtMostOnce  bool              `yaml:"once,omitempty"`              // at-most-once route: requests carry an Idempotency-Key
	Duplicates  float64           `yaml:"duplicate_percent,omitempty"` // percentage of at-most-once calls that are sent twice concurrently
}

// Stragglers describes the small percentage of requests of a route that run
// much longer than the others.
type Stragglers struct {
	Percent float64           `yaml:"percent"`
	Work    document.Duration `yaml:"work"`
}

// Check fills in defaults and records problems.
func (s *Settings) Check(c *settings.Check) {
	s.setDefaults()
	switch s.Mode {
	case ViaEntries, LookupsOnly:
		if len(s.Entries) == 0 {
			c.Add([]any{"entries"}, "at least one address is required in mode %s", s.Mode)
		}
	case Direct:
	default:
		c.Add([]any{"mode"}, "%q is not one of entries, direct, lookups", s.Mode)
	}
	if (s.Rate > 0) == (s.Workers > 0) {
		c.Add([]any{"rate"}, "set either rate or workers")
	}
	if s.Rate < 0 || s.Rate > maxRate {
		c.Add([]any{"rate"}, "%g is outside the allowed range 0 to %d", s.Rate, maxRate)
	}
	c.IntRange(s.Workers, 0, maxWorkers, "workers")
	c.IntRange(s.MaxAttempts, 1, 100, "tries")
	c.DurationRange(s.Duration, time.Millisecond, maxDuration, "duration")
	c.DurationRange(s.Warmup, 0, s.Duration.AsDuration(), "warmup")
	if len(s.Routes) == 0 {
		c.Add([]any{"routes"}, "at least one route is required")
	}
	for i := range s.Routes {
		s.checkRoute(c, i)
	}
}

func (s *Settings) setDefaults() {
	if s.Mode == "" {
		s.Mode = ViaEntries
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = defaultMaxAttempts
	}
	if s.MaxInFlight == 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if len(s.Shifts) == 0 {
		s.Shifts = []Shift{{Name: "default"}}
	}
	for i := range s.Shifts {
		if s.Shifts[i].Share == 0 {
			s.Shifts[i].Share = 1
		}
	}
	for i := range s.Routes {
		s.Routes[i].setDefaults()
	}
}

func (r *Route) setDefaults() {
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	if r.Share == 0 {
		r.Share = 1
	}
	if r.Deadline == 0 {
		r.Deadline = document.Duration(defaultDeadline)
	}
	if r.Name == "" {
		r.Name = r.Service + r.Path
	}
}

func (s *Settings) checkRoute(c *settings.Check, i int) {
	r := s.Routes[i]
	c.Require(r.Service, "routes", i, "service")
	if len(r.Path) == 0 || r.Path[0] != '/' {
		c.Add([]any{"routes", i, "path"}, "%q does not start with /", r.Path)
	}
	if r.Share < 0 {
		c.Add([]any{"routes", i, "share"}, "%g is negative", r.Share)
	}
	c.DurationRange(r.Deadline, time.Millisecond, maxDuration, "routes", i, "deadline")
	if s.Mode == Direct && len(s.Targets[r.Service]) == 0 {
		c.Add([]any{"targets"}, "service %q has no targets", r.Service)
	}
}
