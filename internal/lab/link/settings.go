// Package link is a stand-in for network links: TCP relays with delay,
// jitter and limited bandwidth that can be cut, frozen or reset at run time.
// The relay accepts a connection before the upstream side has accepted it, so
// only the bytes are delayed, not the opening of a connection.
package link

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

const (
	maxDelay     = time.Minute
	maxBandwidth = 1 << 40 // bytes a second
)

// Settings lists the links of a process.
type Settings struct {
	Log     settings.Log `yaml:"log,omitempty"`
	Control string       `yaml:"control"` // address of the HTTP interface
	Seed    uint64       `yaml:"seed,omitempty"`
	Links   []Spec       `yaml:"links"`
}

// Spec describes one link.
type Spec struct {
	ID             string            `yaml:"id"`
	Listen         string            `yaml:"listen"`
	To             string            `yaml:"to"`
	Delay          document.Duration `yaml:"delay,omitempty"`            // one way
	Jitter         document.Duration `yaml:"jitter,omitempty"`           // added to the delay, uniform from zero to this
	BytesPerSecond int64             `yaml:"bytes_per_second,omitempty"` // each way; 0: not limited
}

// Check records problems.
func (s *Settings) Check(c *settings.Check) {
	s.Log.Check(c, "log")
	c.Require(s.Control, "control")
	seen := map[string]bool{}
	for i, l := range s.Links {
		c.Require(l.ID, "links", i, "id")
		c.Require(l.Listen, "links", i, "listen")
		c.Require(l.To, "links", i, "to")
		c.DurationRange(l.Delay, 0, maxDelay, "links", i, "delay")
		c.DurationRange(l.Jitter, 0, maxDelay, "links", i, "jitter")
		if l.BytesPerSecond < 0 || l.BytesPerSecond > maxBandwidth {
			c.Add([]any{"links", i, "bytes_per_second"}, "%d is outside the allowed range 0 to %d", l.BytesPerSecond, int64(maxBandwidth))
		}
		if seen[l.ID] {
			c.Add([]any{"links", i, "id"}, "%q is used twice", l.ID)
		}
		seen[l.ID] = true
	}
}
