package operator

import (
	"os"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

const (
	defaultTimeout = 10 * time.Second
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = 10 * time.Minute
)

// Config holds the settings of fescuectl. Arguments take precedence over the
// settings file.
type Config struct {
	Servers []string          `yaml:"servers,omitempty"` // host:port, tried in order
	Team    string            `yaml:"team,omitempty"`
	KeyFile string            `yaml:"key_file,omitempty"` // holds the operator key
	TLS     settings.TLS      `yaml:"tls,omitempty"`
	Timeout document.Duration `yaml:"timeout,omitempty"` // bounds each call, with all its attempts
}

// Check records problems of the settings file. resolve fills in the defaults
// after the arguments have been applied.
func (c *Config) Check(check *settings.Check) {
	if c.Timeout != 0 {
		check.DurationRange(c.Timeout, minTimeout, maxTimeout, "timeout")
	}
}

// globalFlags are the flags that every command accepts.
type globalFlags struct {
	config  string
	servers []string
	team    string
	keyFile string
	tls     settings.TLS
	timeout time.Duration
	output  string
}

// resolve merges the settings file with the arguments, fills in defaults and
// checks the result.
func (f *globalFlags) resolve() (Config, error) {
	var c Config
	if f.config != "" {
		if err := settings.Load(f.config, &c); err != nil {
			return c, exitErrorf(ExitUsage, "%w", err)
		}
	}
	if len(f.servers) > 0 {
		c.Servers = f.servers
	}
	overrideIfSet(&c.Team, f.team)
	overrideIfSet(&c.KeyFile, f.keyFile)
	overrideIfSet(&c.TLS.CertFile, f.tls.CertFile)
	overrideIfSet(&c.TLS.KeyFile, f.tls.KeyFile)
	overrideIfSet(&c.TLS.CAFile, f.tls.CAFile)
	c.TLS.PlaintextLoopback = c.TLS.PlaintextLoopback || f.tls.PlaintextLoopback
	if f.timeout > 0 {
		c.Timeout = document.Duration(f.timeout)
	}
	if c.Timeout == 0 {
		c.Timeout = document.Duration(defaultTimeout)
	}
	if c.Timeout.AsDuration() < minTimeout || c.Timeout.AsDuration() > maxTimeout {
		return c, exitErrorf(ExitUsage, "--timeout %s is outside the allowed range %s to %s", c.Timeout.AsDuration(), minTimeout, maxTimeout)
	}
	if f.output != "text" && f.output != "json" {
		return c, exitErrorf(ExitUsage, "--output %q is not one of text, json", f.output)
	}
	return c, nil
}

// overrideIfSet sets field to value unless value is empty.
func overrideIfSet(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// readKey reads the operator key. Its errors never contain the key. Without a
// key file it returns an empty key if the team is set and the links use no TLS;
// a control replica without a keys file then accepts the team's name on loopback.
func (c Config) readKey() (string, error) {
	if c.KeyFile == "" && c.TLS.Plaintext() && c.Team != "" {
		return "", nil
	}
	if c.KeyFile == "" {
		return "", exitErrorf(ExitUsage, "set the operator key with --key-file or key_file in the settings")
	}
	data, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return "", exitErrorf(ExitUsage, "read operator key: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
