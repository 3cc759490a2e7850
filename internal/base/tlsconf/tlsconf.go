// Package tlsconf makes TLS configurations from certificate files that may
// change while the process runs. Both sides of a connection show a
// certificate, and the certificate's subject names the role of its holder.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/filewatch"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/sirupsen/logrus"
)

// Role is what the holder of a certificate may act as. It is the
// organizational unit of the certificate's subject.
type Role string

// The roles.
const (
	Instance Role = "instance"
	Operator Role = "operator"
)

// RoleOf returns the role in the subject of a certificate. The role is empty
// if the subject has none, an unknown one or more than one.
func RoleOf(cert *x509.Certificate) Role {
	units := cert.Subject.OrganizationalUnit
	if len(units) != 1 {
		return ""
	}
	if r := Role(units[0]); r == Instance || r == Operator {
		return r
	}
	return ""
}

// material is one consistent set of certificate, key and authorities.
type credentials struct {
	cert   tls.Certificate
	caPool *x509.CertPool
}

// Source gives configurations with the present content of the files. It is
// safe for concurrent use.
type Source struct {
	files settings.TLS
	log   *logrus.Entry

	mu     sync.Mutex
	watch  *filewatch.Watcher
	loaded *credentials
}

// New reads the files. The error has kind InvalidSettings.
func New(files settings.TLS, log *logrus.Entry) (*Source, error) {
	s := &Source{files: files, log: log}
	s.watch = filewatch.New(files.CertFile, files.KeyFile, files.CAFile)
	m, err := loadCredentials(files)
	if err != nil {
		return nil, err
	}
	s.loaded = m
	return s, nil
}

func loadCredentials(files settings.TLS) (*credentials, error) {
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "read certificate %s and key %s", files.CertFile, files.KeyFile)
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "read certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errkind.New(errkind.InvalidSettings, "%s holds no PEM certificate", files.CAFile)
	}
	return &credentials{cert: cert, caPool: pool}, nil
}

// current returns the content of the files. Files that do not fit together,
// as in the middle of their replacement, leave the earlier content in use.
func (s *Source) current() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.watch.Changed(time.Now()) {
		return s.loaded
	}
	m, err := loadCredentials(s.files)
	if err != nil {
		s.log.WithError(err).Error("changed TLS files are not usable, keeping the earlier ones")
		return s.loaded
	}
	s.log.WithField("cert_file", s.files.CertFile).Info("TLS files reloaded")
	s.loaded = m
	return m
}

// Server returns a configuration that accepts peers with one of the roles.
func (s *Source) Server(roles ...Role) *tls.Config {
	m := s.current()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{m.cert},
		ClientCAs:        m.caPool,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		VerifyConnection: func(cs tls.ConnectionState) error { return checkPeerRole(cs, roles) },
		// A resumed session would skip authorities that were replaced.
		SessionTicketsDisabled: true,
	}
}

// Client returns a configuration that accepts only an instance with a
// certificate for serverName.
func (s *Source) Client(serverName string) *tls.Config {
	m := s.current()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{m.cert},
		RootCAs:          m.caPool,
		ServerName:       serverName,
		VerifyConnection: verifyServer,
	}
}

// verifyServer accepts the certificate of an instance.
func verifyServer(cs tls.ConnectionState) error { return checkPeerRole(cs, []Role{Instance}) }

func checkPeerRole(cs tls.ConnectionState, roles []Role) error {
	if len(cs.PeerCertificates) == 0 {
		return errkind.New(errkind.Unauthenticated, "peer shows no certificate")
	}
	leaf := cs.PeerCertificates[0]
	if !slices.Contains(roles, RoleOf(leaf)) {
		return errkind.New(errkind.Forbidden, "certificate of %q has role %q, need one of %q", leaf.Subject.CommonName, RoleOf(leaf), roles)
	}
	return nil
}
