// Package target is a stand-in for the targets of a deployment. One process
// serves many of them. Each answers requests after a service time, sheds
// requests beyond its slots, reports its health and load, and can inject
// faults that are set at run time. A journal records every request.
package target

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// Defaults and limits of the settings. The defaults are the sizes in
// docs/design.md.
const (
	DefaultConnections = 330
	DefaultProbeDelay  = 6 * time.Millisecond
	DefaultWork        = 20 * time.Millisecond
	maxSlots           = 100_000
	maxConnections     = 1_000_000
	maxTime            = time.Hour
)

// Settings lists the targets of a process.
type Settings struct {
	Log     settings.Log `yaml:"log,omitempty"`
	Admin   string       `yaml:"admin,omitempty"`   // address of /metrics, /healthz and /status
	Journal string       `yaml:"journal,omitempty"` // journal file of targets that set none of their own
	Targets []Spec       `yaml:"targets"`
}

// Spec describes one target.
type Spec struct {
	ID          string            `yaml:"id"`
	Listen      string            `yaml:"listen"`
	Service     string            `yaml:"service"`
	DataCentre  string            `yaml:"data_centre"`
	Slots       int               `yaml:"slots"`
	Queue       int               `yaml:"queue,omitempty"` // requests that may wait for a slot; 0: shed at once
	Journal     string            `yaml:"journal,omitempty"`
	Work        document.Duration `yaml:"work,omitempty"`       // median service time
	WorkSigma   float64           `yaml:"work_sigma,omitempty"` // sigma of the log-normal distribution of the service time; 0: constant
	Connections int               `yaml:"connections,omitempty"`
	ColdPenalty document.Duration `yaml:"cold_penalty,omitempty"` // added to the service time right after a cold start
	ColdFor     document.Duration `yaml:"cold_for,omitempty"`     // time in which the penalty falls linearly to zero
	ProbeDelay  document.Duration `yaml:"probe_delay,omitempty"`
	ReportLag   document.Duration `yaml:"report_lag,omitempty"`
}

// Check fills in defaults and records problems.
func (s *Settings) Check(c *settings.Check) {
	s.Log.Check(c, "log")
	if len(s.Targets) == 0 {
		c.Add([]any{"targets"}, "at least one target is required")
	}
	seen := map[string]bool{}
	for i := range s.Targets {
		t := &s.Targets[i]
		t.setDefaults()
		t.check(c, "targets", i)
		if seen[t.ID] {
			c.Add([]any{"targets", i, "id"}, "%q is used twice", t.ID)
		}
		seen[t.ID] = true
	}
}

func (s *Spec) setDefaults() {
	if s.Connections == 0 {
		s.Connections = DefaultConnections
	}
	if s.ProbeDelay == 0 {
		s.ProbeDelay = document.Duration(DefaultProbeDelay)
	}
	if s.Work == 0 {
		s.Work = document.Duration(DefaultWork)
	}
}

func (s *Spec) check(c *settings.Check, at ...any) {
	field := func(name string) []any { return append(append([]any{}, at...), name) }
	c.Require(s.ID, field("id")...)
	c.Require(s.Listen, field("listen")...)
	c.Require(s.Service, field("service")...)
	c.Require(s.DataCentre, field("data_centre")...)
	c.IntRange(s.Slots, 1, maxSlots, field("slots")...)
	c.IntRange(s.Queue, 0, maxConnections, field("queue")...)
	c.IntRange(s.Connections, 1, maxConnections, field("connections")...)
	c.DurationRange(s.Work, 0, maxTime, field("work")...)
	c.DurationRange(s.ColdPenalty, 0, maxTime, field("cold_penalty")...)
	c.DurationRange(s.ColdFor, 0, maxTime, field("cold_for")...)
	c.DurationRange(s.ProbeDelay, 0, maxTime, field("probe_delay")...)
	c.DurationRange(s.ReportLag, 0, maxTime, field("report_lag")...)
	if s.WorkSigma < 0 || s.WorkSigma > 10 {
		c.Add(field("work_sigma"), "%g is outside the allowed range 0 to 10", s.WorkSigma)
	}
}
