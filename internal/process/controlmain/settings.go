// Package controlmain assembles the fescue-control process.
package controlmain

import (
	"net"

	"github.com/fescuejunction/fescuejunction/internal/process/settings"
)

// Settings are the static settings of fescue-control.
type Settings struct {
	Instance        string       `yaml:"instance"`
	Region          string       `yaml:"region"`
	DataCentre      string       `yaml:"data_centre"`
	GRPCAddr        string       `yaml:"grpc_addr"`
	AdminAddr       string       `yaml:"admin_addr"`
	DataDir         string       `yaml:"data_dir"`
	Replicas        []Replica    `yaml:"replicas,omitempty"` // the initial replicas, this one included
	Bootstrap       bool         `yaml:"bootstrap,omitempty"`
	Join            bool         `yaml:"join,omitempty"` // enter a running cluster as a learner
	InitialDocument []string     `yaml:"initial_document,omitempty"`
	TLS             settings.TLS `yaml:"tls"`
	Log             settings.Log `yaml:"log,omitempty"`
}

// Replica is a control replica.
type Replica struct {
	Instance string `yaml:"instance"`
	Addr     string `yaml:"addr"` // gRPC
}

// Check records problems with the settings.
func (s *Settings) Check(c *settings.Check) {
	c.Require(s.Instance, "instance")
	c.Require(s.Region, "region")
	c.Require(s.DataCentre, "data_centre")
	c.Require(s.DataDir, "data_dir")
	checkAddr(c, s.GRPCAddr, s.TLS.PlaintextLoopback, "grpc_addr")
	checkAddr(c, s.AdminAddr, false, "admin_addr")
	for i, r := range s.Replicas {
		c.Require(r.Instance, "replicas", i, "instance")
		checkAddr(c, r.Addr, s.TLS.PlaintextLoopback, "replicas", i, "addr")
	}
	if s.Bootstrap && s.Join {
		c.Add([]any{"join"}, "a replica either bootstraps a cluster or joins one")
	}
	s.TLS.Check(c, "tls")
	s.Log.Check(c, "log")
}

// checkAddr records a problem unless addr is an IP address and port, on
// loopback if that is required.
func checkAddr(c *settings.Check, addr string, loopback bool, path ...any) {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	switch {
	case err != nil || ip == nil:
		c.Add(path, "%q is not an address such as \"127.0.0.1:7001\"", addr)
	case loopback && !ip.IsLoopback():
		c.Add(path, "%q must be a loopback address because tls.plaintext_loopback is set", addr)
	}
}
