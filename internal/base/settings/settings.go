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

// Check collects the problems found in a settings file.
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

// IntRange records a problem if value is less than low or greater than high.
func (c *Check) IntRange(value, low, high int, path ...any) {
	if value < low || value > high {
		c.Add(path, "%d is outside the allowed range %d to %d", value, low, high)
	}
}

// Addr records a problem unless addr is an IP address with a port, and a loopback
// address if loopback is set.
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

// OptionalAddr records a problem if addr is neither empty nor an IP address with a
// port.
func (c *Check) OptionalAddr(addr string, path ...any) {
	if addr != "" {
		c.Addr(addr, false, path...)
	}
}

// DurationRange records a problem if value is less than low or greater than high.
func (c *Check) DurationRange(value yamlpos.Duration, low, high time.Duration, path ...any) {
	if value.AsDuration() < low || value.AsDuration() > high {
		c.Add(path, "%s is outside the allowed range %s to %s", value.AsDuration(), low, high)
	}
}

// Checker is implemented by settings types. Its method Check fills in defaults and
// records problems.
type Checker interface{ Check(c *Check) }

// Load reads the file into out and checks the settings. Its errors have kind
// InvalidSettings and list every problem with file, line and field.
func Load(file string, out Checker) error {
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

// TLS configures the links between the processes of the system: either the files
// for mutual TLS or one of the ways to use plaintext.
type TLS struct {
	CertFile string `yaml:"cert_file,omitempty"`
	KeyFile  string `yaml:"key_file,omitempty"`
	CAFile   string `yaml:"ca_file,omitempty"`
	// PlaintextLoopback allows links without TLS, on loopback addresses only.
	PlaintextLoopback bool `yaml:"plaintext_loopback,omitempty"`
	// PlaintextPrivate allows links without TLS on any address, for a network that
	// only instances of the system can reach. Anyone who can reach that network can
	// act as an instance.
	PlaintextPrivate bool `yaml:"plaintext_private_network,omitempty"`
}

// Plaintext reports whether links between instances use no TLS.
func (t TLS) Plaintext() bool { return t.PlaintextLoopback || t.PlaintextPrivate }

// Check records a problem unless exactly one way to set up links is chosen.
func (t TLS) Check(c *Check, path ...any) {
	if !t.Valid() {
		c.Add(path, TLSChoices)
	}
}

// TLSChoices is the message about the ways to set up links between instances.
const TLSChoices = "set cert_file, key_file and ca_file, or plaintext_loopback: true, or plaintext_private_network: true"

// Valid reports whether exactly one way to set up links is chosen: all three files,
// PlaintextLoopback or PlaintextPrivate. Plaintext excludes even a single file.
func (t TLS) Valid() bool {
	modes := 0
	for _, chosen := range []bool{t.CertFile != "" && t.KeyFile != "" && t.CAFile != "", t.PlaintextLoopback, t.PlaintextPrivate} {
		if chosen {
			modes++
		}
	}
	anyFile := t.CertFile != "" || t.KeyFile != "" || t.CAFile != ""
	return modes == 1 && anyFile != t.Plaintext()
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
