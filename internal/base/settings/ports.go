package settings

import (
	"net"
	"strconv"
)

// Ports assigns the listeners for links between instances to ports of one host, as
// an alternative to setting each address. Every instance of a deployment uses the
// same ports, so an instance derives the addresses of another one from its host.
type Ports struct {
	Host  string `yaml:"host,omitempty"`       // IP address of this instance
	Range []int  `yaml:"ports,omitempty,flow"` // first and last port that may be used
}

// Listeners use the first ports of the range in this order.
const (
	grpcPort = iota
	adminPort
	peerPort
	portsNeeded
)

const maxPort = 65535

// Check records a problem if only one of host and range is set, the host is not an
// IP address, or the range is too small.
func (p Ports) Check(c *Check) {
	if p.Host == "" && len(p.Range) == 0 {
		return
	}
	if net.ParseIP(p.Host) == nil {
		c.Add([]any{"host"}, "%q is not an IP address", p.Host)
	}
	if len(p.Range) != 2 || p.Range[0] < 1 || p.Range[1] > maxPort || p.Range[1]-p.Range[0]+1 < portsNeeded {
		c.Add([]any{"ports"}, "the first and the last of at least %d ports are required", portsNeeded)
	}
}

// GRPC returns the address of the gRPC listener, or "" without a range.
func (p Ports) GRPC() string { return p.at(p.Host, grpcPort) }

// Admin returns the address of the admin listener, or "" without a range.
func (p Ports) Admin() string { return p.at(p.Host, adminPort) }

// Peer returns the address of the listener for HTTP between entries, or "" without
// a range.
func (p Ports) Peer() string { return p.at(p.Host, peerPort) }

// GRPCOf returns the gRPC address of another instance. addr is any address of that
// instance, with or without a port.
func (p Ports) GRPCOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	return p.at(host, grpcPort)
}

func (p Ports) at(host string, offset int) string {
	if host == "" || len(p.Range) == 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(p.Range[0]+offset))
}

// SetDefault sets addr to value if it is empty.
func SetDefault(addr *string, value string) {
	if *addr == "" {
		*addr = value
	}
}
