// Package settings reads the static YAML settings of a process.
package settings

import (
	"net"
	"os"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/yamlpos"
)

// Check collects the problems of one settings file.
type Check struct {
	File     *yamlpos.File
	Problems []yamlpos.Problem
}

// Add records a problem with the field at path.
func (c *Check) Add(path []any, format string, args ...any) {
	c.Problems = append(c.Problems, c.File.Problem(path, format, args...))
}

// Require records a problem if value is empty.
func (c *Check) Require(value string, path ...any) {
	if value == "" {
		c.Add(path, "a value is required")
	}
}

// IntRange records a problem if value is outside low to high.
func (c *Check) IntRange(value, low, high int, path ...any) {
	if value < low || value > high {
		c.Add(path, "%d is outside the allowed range %d to %d", value, low, high)
	}
}

// Addr records a problem unless addr is an IP address and port, on loopback
// if that is required.
func (c *Check) Addr(addr string, loopback bool, path ...any) {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	switch {
	case err != nil || ip == nil:
		c.Add(path, "%q is not an address such as \"127.0.0.1:8001\"", addr)
	case loopback && !ip.IsLoopback():
		c.Add(path, "%q must be a loopback address because tls.plaintext_loopback is set", addr)
	}
}

// OptionalAddr is Addr without a loopback rule, for an address that may be empty.
func (c *Check) OptionalAddr(addr string, path ...any) {
	if addr != "" {
		c.Addr(addr, false, path...)
	}
}

// DurationRange records a problem if value is outside low to high.
func (c *Check) DurationRange(value yamlpos.Duration, low, high time.Duration, path ...any) {
	if value.AsDuration() < low || value.AsDuration() > high {
		c.Add(path, "%s is outside the allowed range %s to %s", value.AsDuration(), low, high)
	}
}

// Checked is implemented by settings types; Check fills in defaults and
// records problems.
type Checked interface{ Check(c *Check) }

// Load reads file into out and checks it. The error has kind
// InvalidSettings and lists every problem with file, line and field.
func Load(file string, out Checked) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "read settings")
	}
	f, problems := yamlpos.Parse(file, data, out)
	if len(problems) == 0 {
		c := &Check{File: f}
		out.Check(c)
		problems = c.Problems
	}
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return errkind.New(errkind.InvalidSettings, "%s", strings.Join(lines, "\n"))
}

// TLS names the files for mutual TLS between the system's processes.
type TLS struct {
	CertFile string `yaml:"cert_file,omitempty"`
	KeyFile  string `yaml:"key_file,omitempty"`
	CAFile   string `yaml:"ca_file,omitempty"`
	// PlaintextLoopback allows links without TLS, on loopback addresses only.
	PlaintextLoopback bool `yaml:"plaintext_loopback,omitempty"`
	// PlaintextPrivate allows links without TLS on any address, for a network
	// that only instances of the system reach. Whoever reaches it may act as
	// an instance.
	PlaintextPrivate bool `yaml:"plaintext_private_network,omitempty"`
}

// Plaintext reports whether links between instances use no TLS.
func (t TLS) Plaintext() bool { return t.PlaintextLoopback || t.PlaintextPrivate }

// Check records a problem unless the files or one kind of plaintext are set.
func (t TLS) Check(c *Check, path ...any) {
	if !t.Valid() {
		c.Add(path, TLSChoices)
	}
}

// TLSChoices names the ways to set up links between instances.
const TLSChoices = "set cert_file, key_file and ca_file, or plaintext_loopback: true, or plaintext_private_network: true"

// Valid reports whether exactly one way to set up links is chosen.
func (t TLS) Valid() bool {
	ways := 0
	for _, chosen := range []bool{t.CertFile != "" && t.KeyFile != "" && t.CAFile != "", t.PlaintextLoopback, t.PlaintextPrivate} {
		if chosen {
			ways++
		}
	}
	some := t.CertFile != "" || t.KeyFile != "" || t.CAFile != ""
	return ways == 1 && some != t.Plaintext()
}

// Log configures logging.
type Log struct {
	Level string `yaml:"level,omitempty"` // debug, info, warn or error; info if empty
}

// Check records a problem if the level is not known.
func (l Log) Check(c *Check, path ...any) {
	switch l.Level {
	case "", "debug", "info", "warn", "error":
	default:
		c.Add(append(path, "level"), "%q is not one of debug, info, warn, error", l.Level)
	}
}
