// Package controlmain assembles the fescue-control process.
package controlmain

import (
	"net/url"
	"slices"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
)

// Settings are the static settings of fescue-control.
type Settings struct {
	Instance       string `yaml:"instance"`
	Region         string `yaml:"region"`
	DataCentre     string `yaml:"data_centre"`
	settings.Ports `yaml:",inline"`
	GRPCAddr       string `yaml:"grpc_addr,omitempty"`
	AdminAddr      string `yaml:"admin_addr,omitempty"`
	MetricsAddr    string `yaml:"metrics_addr,omitempty"` // serves /metrics only; if empty, /metrics is served at admin_addr only
	DataDir        string `yaml:"data_dir"`
	// Seeds are addresses of some control replicas, each with any of the replica's
	// ports. They replace replicas and join. A replica that is one of them and starts
	// with bootstrap takes them as the initial voters; every other replica joins the
	// cluster through them.
	Seeds []string `yaml:"seeds,omitempty"`
	// Replicas are the gRPC addresses of the initial replicas, including this one.
	// If it is empty, this replica is the only one.
	Replicas []string `yaml:"replicas,omitempty"`
	// Bootstrap lets a replica with an empty data directory become an initial voter.
	// It must be unset after the first start, because a replica that has lost its
	// data must join the cluster under a new identity.
	Bootstrap bool `yaml:"bootstrap,omitempty"`
	// Join lists the addresses of running replicas through which this one joins the
	// cluster.
	Join []string `yaml:"join,omitempty"`
	// DataCentres maps each data centre to its region. The section of the platform
	// team is created from it if that section does not exist yet.
	DataCentres map[string]string `yaml:"data_centres,omitempty"`
	// OperatorAddr and DirectoryAddr are the addresses of the HTTP listeners for the
	// interfaces that a program adds to the replica; see Extension.
	OperatorAddr  string `yaml:"operator_addr,omitempty"`
	DirectoryAddr string `yaml:"directory_addr,omitempty"`
	// TargetsAddr is the address of the platform's list of targets. It is used by
	// programs that set Extension.Targets.
	TargetsAddr string `yaml:"targets_addr,omitempty"`
	// TargetsCallsPerSecond is the platform's rate limit for calls that read its list,
	// for all instances together.
	TargetsCallsPerSecond float64 `yaml:"targets_calls_per_second,omitempty"`
	// InitialDocument lists section files that are loaded into an empty state.
	InitialDocument []string `yaml:"initial_document,omitempty"`
	// PlatformURL is the URL of the platform's list of instances. Without it, entries
	// whose instance no longer exists remain members and keep their shares of the
	// caps.
	PlatformURL  string       `yaml:"platform_url,omitempty"`
	OperatorKeys string       `yaml:"operator_keys,omitempty"` // keys file of the teams
	TLS          settings.TLS `yaml:"tls"`
	Log          settings.Log `yaml:"log,omitempty"`
}

// Check records the problems of the settings in c and sets the defaults of
// addresses that are empty.
func (s *Settings) Check(c *settings.Check) {
	c.Require(s.Instance, "instance")
	c.Require(s.Region, "region")
	c.Require(s.DataCentre, "data_centre")
	c.Require(s.DataDir, "data_dir")
	s.Ports.Check(c)
	settings.SetDefault(&s.GRPCAddr, s.Ports.GRPC())
	settings.SetDefault(&s.AdminAddr, s.Ports.Admin())
	for field, addr := range map[string]string{"operator_addr": s.OperatorAddr, "directory_addr": s.DirectoryAddr, "targets_addr": s.TargetsAddr} {
		if addr != "" {
			c.Addr(addr, false, field)
		}
	}
	c.Addr(s.GRPCAddr, s.TLS.PlaintextLoopback, "grpc_addr")
	c.Addr(s.AdminAddr, false, "admin_addr")
	c.OptionalAddr(s.MetricsAddr, "metrics_addr")
	s.checkReplicas(c)
	checkURL(c, s.PlatformURL, "platform_url")
	if s.OperatorKeys == "" && !s.TLS.PlaintextLoopback && s.OperatorAddr == "" {
		c.Add([]any{"operator_keys"}, "a value is required unless tls.plaintext_loopback or operator_addr is set")
	}
	s.TLS.Check(c, "tls")
	s.Log.Check(c, "log")
}

func (s *Settings) checkReplicas(c *settings.Check) {
	if len(s.Seeds) > 0 {
		s.checkSeeds(c)
		return
	}
	for i, addr := range s.Replicas {
		c.Addr(addr, s.TLS.PlaintextLoopback, "replicas", i)
	}
	for i, addr := range s.Join {
		c.Addr(addr, s.TLS.PlaintextLoopback, "join", i)
	}
	if s.Bootstrap && len(s.Join) > 0 {
		c.Add([]any{"join"}, "a replica either bootstraps a cluster or joins one")
	}
	if s.Bootstrap && len(s.Replicas) > 0 && !slices.Contains(s.Replicas, s.GRPCAddr) {
		c.Add([]any{"replicas"}, "grpc_addr %q of this replica must be one of them", s.GRPCAddr)
	}
	if !s.Bootstrap && len(s.Join) == 0 && len(s.Replicas) == 0 {
		c.Add([]any{"bootstrap"}, "set bootstrap for the first start of a cluster, or replicas, or join")
	}
}

// checkSeeds checks the seeds and sets Replicas or Join to their addresses.
func (s *Settings) checkSeeds(c *settings.Check) {
	if len(s.Replicas) > 0 || len(s.Join) > 0 {
		c.Add([]any{"seeds"}, "seeds replace replicas and join")
		return
	}
	var addrs []string
	for i, seed := range s.Seeds {
		addr := s.Ports.GRPCOf(seed)
		if addr == "" {
			c.Add([]any{"seeds"}, "seeds need host and ports")
			return
		}
		c.Addr(addr, s.TLS.PlaintextLoopback, "seeds", i)
		addrs = append(addrs, addr)
	}
	if s.Bootstrap && slices.Contains(addrs, s.GRPCAddr) {
		s.Replicas = addrs
		return
	}
	s.Bootstrap, s.Join = false, addrs
}

// checkURL records a problem unless text is empty or an HTTP or HTTPS URL.
func checkURL(c *settings.Check, text string, path ...any) {
	u, err := url.Parse(text)
	if text != "" && (err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https") {
		c.Add(path, "%q is not a URL such as \"http://127.0.0.1:7001/instances\"", text)
	}
}
