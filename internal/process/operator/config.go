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

// Config is the content of the settings file. Arguments take precedence.
type Config struct {
	Servers []string          `yaml:"servers,omitempty"` // host:port, tried in order
	Team    string            `yaml:"team,omitempty"`
	KeyFile string            `yaml:"key_file,omitempty"` // holds the operator key
	TLS     settings.TLS      `yaml:"tls,omitempty"`
	Timeout document.Duration `yaml:"timeout,omitempty"` // of one command's calls
}

// Check records problems and fills in defaults.
func (c *Config) Check(check *settings.Check) {
	if c.Timeout != 0 {
		check.DurationRange(c.Timeout, minTimeout, maxTimeout, "timeout")
	}
}

// globals are the arguments that every command takes.
type globals struct {
	config  string
	servers []string
	team    string
	keyFile string
	tls     settings.TLS
	timeout time.Duration
	output  string
}

// resolve merges the settings file and the arguments.
func (g *globals) resolve() (Config, error) {
	var c Config
	if g.config != "" {
		if err := settings.Load(g.config, &c); err != nil {
			return c, fail(ExitUsage, "%w", err)
		}
	}
	if len(g.servers) > 0 {
		c.Servers = g.servers
	}
	override(&c.Team, g.team)
	override(&c.KeyFile, g.keyFile)
	override(&c.TLS.CertFile, g.tls.CertFile)
	override(&c.TLS.KeyFile, g.tls.KeyFile)
	override(&c.TLS.CAFile, g.tls.CAFile)
	c.TLS.PlaintextLoopback = c.TLS.PlaintextLoopback || g.tls.PlaintextLoopback
	if g.timeout > 0 {
		c.Timeout = document.Duration(g.timeout)
	}
	if c.Timeout == 0 {
		c.Timeout = document.Duration(defaultTimeout)
	}
	if c.Timeout.AsDuration() < minTimeout || c.Timeout.AsDuration() > maxTimeout {
		return c, fail(ExitUsage, "--timeout %s is outside the allowed range %s to %s", c.Timeout.AsDuration(), minTimeout, maxTimeout)
	}
	if g.output != "text" && g.output != "json" {
		return c, fail(ExitUsage, "--output %q is not one of text, json", g.output)
	}
	return c, nil
}

func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// key reads the operator key. The error does not contain it. Without a key
// file, the team is enough on plaintext loopback links.
func (c Config) key() (string, error) {
	if c.KeyFile == "" && c.TLS.Plaintext() && c.Team != "" {
		return "", nil
	}
	if c.KeyFile == "" {
		return "", fail(ExitUsage, "set the operator key with --key-file or key_file in the settings")
	}
	data, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return "", fail(ExitUsage, "read operator key: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
