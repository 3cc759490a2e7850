package operator

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/tlsconf"
	"github.com/fescuejunction/fescuejunction/internal/process/control/operatorauth"
	"github.com/integrii/flaggy"
)

const (
	defaultDays     = 30
	maxDays         = 3650
	day             = 24 * time.Hour
	privateFileMode = 0o600
	certDirMode     = 0o755
)

// certsCmd issues certificates for tests and small deployments.
type certsCmd struct {
	dir      string
	instance string
	operator string
	hosts    []string
	days     int
}

func (c *certsCmd) define() *flaggy.Subcommand {
	c.days = defaultDays
	s := newSubcommand("certs", "Creates a test certificate authority and issues certificates for an instance or an operator.",
		"fescuectl certs --dir pki --instance c1 --host 10.0.0.1\n  fescuectl certs --dir pki --operator asha")
	s.String(&c.dir, "", "dir", "Directory for the files; an authority in it is reused.")
	s.String(&c.instance, "", "instance", "Instance to issue a certificate for.")
	s.String(&c.operator, "", "operator", "Operator to issue a certificate for.")
	s.StringSlice(&c.hosts, "", "host", "IP address or host name under which others dial the instance; repeat it for more.")
	s.Int(&c.days, "", "days", "Days until the certificates expire.")
	return s
}

func (c *certsCmd) run(e *env) error {
	if err := c.validate(); err != nil {
		return err
	}
	if err := os.MkdirAll(c.dir, certDirMode); err != nil {
		return exitErrorf(ExitUsage, "create directory: %w", err)
	}
	ca, err := c.loadOrCreateAuthority()
	if err != nil {
		return err
	}
	files := []string{filepath.Join(c.dir, "ca.crt")}
	if c.instance != "" {
		files, err = c.issue(ca, c.instance, tlsconf.Instance, c.hosts, files)
	}
	if err == nil && c.operator != "" {
		files, err = c.issue(ca, c.operator, tlsconf.Operator, nil, files)
	}
	if err != nil {
		return err
	}
	e.print(map[string]any{"files": files}, func(w io.Writer) { fmt.Fprintln(w, strings.Join(files, "\n")) })
	return nil
}

// issue writes a certificate and its key and appends the names of the two files
// to files.
func (c *certsCmd) issue(ca *tlsconf.Authority, name string, role tlsconf.Role, hosts, files []string) ([]string, error) {
	issued, err := ca.IssueFiles(c.dir, name, role, hosts, c.validity())
	return append(files, issued.CertFile, issued.KeyFile), err
}

func (c *certsCmd) validity() time.Duration { return time.Duration(c.days) * day }

func (c *certsCmd) validate() error {
	if c.dir == "" {
		return exitErrorf(ExitUsage, "set --dir")
	}
	if c.days < 1 || c.days > maxDays {
		return exitErrorf(ExitUsage, "--days %d is outside the allowed range 1 to %d", c.days, maxDays)
	}
	if c.instance != "" && len(c.hosts) == 0 {
		return exitErrorf(ExitUsage, "set --host to the address under which others dial instance %q", c.instance)
	}
	for _, name := range []string{c.instance, c.operator} {
		if name != filepath.Base(name) && name != "" || name == ".." || name == "ca" {
			return exitErrorf(ExitUsage, "%q cannot be the name of a certificate file", name)
		}
	}
	return nil
}

// loadOrCreateAuthority reads the authority in the directory and creates one if
// neither its certificate nor its key exists.
func (c *certsCmd) loadOrCreateAuthority() (*tlsconf.Authority, error) {
	cert, certErr := os.ReadFile(filepath.Join(c.dir, "ca.crt"))
	key, keyErr := os.ReadFile(filepath.Join(c.dir, "ca.key"))
	if errors.Is(certErr, fs.ErrNotExist) && errors.Is(keyErr, fs.ErrNotExist) {
		ca, err := tlsconf.NewAuthority("fescuejunction test authority", c.validity())
		if err != nil {
			return nil, err
		}
		return ca, ca.WriteFiles(c.dir)
	}
	if err := errors.Join(certErr, keyErr); err != nil {
		return nil, exitErrorf(ExitUsage, "read authority: %w", err)
	}
	return tlsconf.ParseAuthority(tlsconf.Pair{Cert: cert, Key: key})
}

// keygenCmd generates an operator key.
type keygenCmd struct{ file string }

func (c *keygenCmd) define() *flaggy.Subcommand {
	s := newSubcommand("keygen", "Generates the operator key of --team and prints the entry for the keys file of the control replicas.", "fescuectl keygen --team kerala --out kerala.key\n  (add the printed line to the list \"keys:\" of the keys file)")
	s.String(&c.file, "", "out", "File for the key; it must not exist yet.")
	return s
}

func (c *keygenCmd) run(e *env) error {
	if err := e.requireTeam(); err != nil {
		return err
	}
	if c.file == "" {
		return exitErrorf(ExitUsage, "set --out to the file for the key")
	}
	key, entry, err := operatorauth.NewKey(e.Team)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateFileMode)
	if err != nil {
		return exitErrorf(ExitUsage, "write key: %w", err)
	}
	_, err = fmt.Fprintln(f, key)
	if err := errors.Join(err, f.Close()); err != nil {
		return exitErrorf(ExitUsage, "write key: %w", err)
	}
	fmt.Fprintf(e.stderr, "key written to %s; add this entry to the keys file of the control replicas\n", c.file)
	e.print(map[string]any{"team": entry.Team, "key_sha256": entry.KeySHA256, "key_file": c.file}, func(w io.Writer) {
		fmt.Fprintf(w, "- {team: %s, key_sha256: %q}\n", entry.Team, entry.KeySHA256)
	})
	return nil
}
