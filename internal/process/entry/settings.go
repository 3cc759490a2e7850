// Package entry assembles the fescue-entry process.
package entry

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// Settings are the static settings of fescue-entry.
type Settings struct {
	Instance       string `yaml:"instance"`
	Region         string `yaml:"region"`
	DataCentre     string `yaml:"data_centre"`
	settings.Ports `yaml:",inline"`
	CallerAddr     string `yaml:"caller_addr"` // HTTP for callers
	// OwnHosts are further hosts, without a port, under which callers use the entry itself:
	// for look-ups and for services by name. IP addresses and localhost are such hosts unless
	// NeedHostRoutes is set. Without OwnHosts and host routes, services are named on any host.
	OwnHosts    []string `yaml:"own_hosts,omitempty"`
	HealthAddr  string   `yaml:"health_addr,omitempty"` // HTTP for GET /healthz only
	PeerAddr    string   `yaml:"peer_addr,omitempty"`   // HTTP for other entries
	GRPCAddr    string   `yaml:"grpc_addr,omitempty"`
	AdminAddr   string   `yaml:"admin_addr,omitempty"`
	MetricsAddr string   `yaml:"metrics_addr,omitempty"` // HTTP for /metrics only; if empty, /metrics is served only at admin_addr
	Control     []string `yaml:"control,omitempty"`      // gRPC addresses of the control replicas
	// Seeds are addresses of some control replicas. Their gRPC port is derived
	// from the port range, whatever port an address has. Seeds cannot be combined
	// with Control.
	Seeds []string `yaml:"seeds,omitempty"`
	Peers []string `yaml:"peers,omitempty"` // gRPC addresses of entries in the data centre
	// PlatformURL is the URL of the platform's list of instances. Without it, only
	// services with guarded_slots have targets.
	PlatformURL string `yaml:"platform_url,omitempty"`
	// NeedHostRoutes states that all requests are on host routes. It keeps the entry from
	// serving until the document contains host routes. Before that, the entry could not
	// distinguish an unknown host from a missing document.
	NeedHostRoutes bool   `yaml:"need_host_routes,omitempty"`
	BlocksFile     string `yaml:"blocks,omitempty"` // file with client blocks as text, used until control provides them
	MemoryLimit    int    `yaml:"memory_limit_mib,omitempty"`
	Stop           Stop   `yaml:"stop,omitempty"`
	Retry          *Retry `yaml:"retry,omitempty"`
	// RegionShift is the share of a region's requests, 0 to 1, that may move to
	// other regions, or back, within two seconds. 0 means no limit.
	RegionShift float64      `yaml:"region_shift,omitempty"`
	TLS         settings.TLS `yaml:"tls"`
	Log         settings.Log `yaml:"log,omitempty"`
}

// Retry limits the retries of each service with guarded_slots. The limit applies to
// all entries together and to every period of length Window.
type Retry struct {
	Ratio  float64           `yaml:"ratio"` // retries per request
	Slack  float64           `yaml:"slack"` // retries allowed in addition, whatever the number of requests
	Window document.Duration `yaml:"window"`
}

// Stop holds the times of a graceful stop.
type Stop struct {
	// Linger is how long a stopping entry still accepts requests. Callers use it
	// until their cached look-ups expire.
	Linger document.Duration `yaml:"linger,omitempty"`
	// Grace is the time from the request to stop until the process is killed. If
	// it is 0, the stop may take longer than the longest request that the
	// document allows.
	Grace document.Duration `yaml:"grace,omitempty"`
}

// Limits and defaults of the settings.
const (
	maxMemoryMiB  = 64 << 10
	defaultLinger = 3 * time.Second
	maxStop       = time.Hour
)

// Check sets defaults and records the problems of the settings in c.
func (s *Settings) Check(c *settings.Check) {
	c.Require(s.Instance, "instance")
	c.Require(s.Region, "region")
	c.Require(s.DataCentre, "data_centre")
	s.Ports.Check(c)
	settings.SetDefault(&s.GRPCAddr, s.Ports.GRPC())
	settings.SetDefault(&s.AdminAddr, s.Ports.Admin())
	settings.SetDefault(&s.PeerAddr, s.Ports.Peer())
	s.useSeeds(c)
	if s.PlatformURL == "" && !s.NeedHostRoutes {
		c.Add([]any{"platform_url"}, "a value is required unless need_host_routes is set")
	}
	c.Addr(s.CallerAddr, false, "caller_addr")
	s.checkOwnHosts(c)
	c.OptionalAddr(s.HealthAddr, "health_addr")
	c.Addr(s.PeerAddr, s.TLS.PlaintextLoopback, "peer_addr")
	c.Addr(s.GRPCAddr, s.TLS.PlaintextLoopback, "grpc_addr")
	c.Addr(s.AdminAddr, false, "admin_addr")
	c.OptionalAddr(s.MetricsAddr, "metrics_addr")
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
	if s.Stop.Linger == 0 {
		s.Stop.Linger = document.Duration(defaultLinger)
	}
	c.DurationRange(s.Stop.Linger, 0, maxStop, "stop", "linger")
	c.DurationRange(s.Stop.Grace, 0, maxStop, "stop", "grace")
	if r := s.Retry; r != nil {
		if !(r.Ratio >= 0 && r.Ratio <= 1) || !(r.Slack >= 0) {
			c.Add([]any{"retry"}, "ratio must be 0 to 1 and slack at least 0")
		}
		c.DurationRange(r.Window, time.Second, maxStop, "retry", "window")
	}
	if !(s.RegionShift >= 0 && s.RegionShift <= 1) {
		c.Add([]any{"region_shift"}, "must be 0 to 1")
	}
	s.TLS.Check(c, "tls")
	s.Log.Check(c, "log")
}

// useSeeds derives the gRPC addresses of the control replicas from the seeds.
func (s *Settings) useSeeds(c *settings.Check) {
	if len(s.Seeds) == 0 {
		return
	}
	if len(s.Control) > 0 {
		c.Add([]any{"seeds"}, "seeds cannot be combined with control")
	}
	for _, seed := range s.Seeds {
		addr := s.Ports.GRPCOf(seed)
		if addr == "" {
			c.Add([]any{"seeds"}, "seeds need host and ports")
			return
		}
		s.Control = append(s.Control, addr)
	}
}
