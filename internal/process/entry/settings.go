// Package entry assembles the fescue-entry process.
package entry

import (
	"github.com/fescuejunction/fescuejunction/internal/process/settings"
)

// Settings are the static settings of fescue-entry.
type Settings struct {
	Instance    string       `yaml:"instance"`
	Region      string       `yaml:"region"`
	DataCentre  string       `yaml:"data_centre"`
	CallerAddr  string       `yaml:"caller_addr"` // HTTP for callers
	PeerAddr    string       `yaml:"peer_addr"`   // HTTP for other entries
	GRPCAddr    string       `yaml:"grpc_addr"`
	AdminAddr   string       `yaml:"admin_addr"`
	Control     []string     `yaml:"control"`          // gRPC addresses of the control replicas
	Peers       []string     `yaml:"peers,omitempty"`  // gRPC addresses of entries in the data centre
	PlatformURL string       `yaml:"platform_url"`     // the platform's list of instances
	BlocksFile  string       `yaml:"blocks,omitempty"` // client blocks as text, until control provides them
	MemoryLimit int          `yaml:"memory_limit_mib,omitempty"`
	TLS         settings.TLS `yaml:"tls"`
	Log         settings.Log `yaml:"log,omitempty"`
}

// Bounds of the settings.
const (
	maxMemoryMiB = 64 << 10
)

// Check records problems with the settings.
func (s *Settings) Check(c *settings.Check) {
	c.Require(s.Instance, "instance")
	c.Require(s.Region, "region")
	c.Require(s.DataCentre, "data_centre")
	c.Require(s.PlatformURL, "platform_url")
	c.Addr(s.CallerAddr, false, "caller_addr")
	c.Addr(s.PeerAddr, s.TLS.PlaintextLoopback, "peer_addr")
	c.Addr(s.GRPCAddr, s.TLS.PlaintextLoopback, "grpc_addr")
	c.Addr(s.AdminAddr, false, "admin_addr")
	if len(s.Control) == 0 {
		c.Add([]any{"control"}, "at least one address is required")
	}
	for i, a := range s.Control {
		c.Addr(a, s.TLS.PlaintextLoopback, "control", i)
	}
	for i, a := range s.Peers {
		c.Addr(a, s.TLS.PlaintextLoopback, "peers", i)
	}
	c.IntRange(s.MemoryLimit, 0, maxMemoryMiB, "memory_limit_mib")
	s.TLS.Check(c, "tls")
	s.Log.Check(c, "log")
}
