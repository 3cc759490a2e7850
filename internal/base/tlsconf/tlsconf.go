// Package tlsconf provides mutual TLS configurations from certificate files that
// may change while the process runs. The subject of a certificate names the role
// of its holder. The package also issues certificates for test deployments.
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

// Role is the role in which the holder of a certificate may act. It is the
// organizational unit in the subject of the certificate.
type Role string

// Roles of certificate holders.
const (
	Instance Role = "instance"
	Operator Role = "operator"
)

// RoleOf returns the role in the subject of a certificate. It returns "" if the
// subject has no organizational unit, an unknown one or more than one.
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

// credentials are a certificate with its key, and the certificate authorities that
// were read together with it.
type credentials struct {
	cert   tls.Certificate
	caPool *x509.CertPool
}

// Source provides configurations with the current content of the files. It is safe
// for concurrent use.
type Source struct {
	files settings.TLS
	log   *logrus.Entry

	mu      sync.Mutex
	watcher *filewatch.Watcher
	loaded  *credentials
}

// New reads the files and returns a source for them. Its errors have kind
// InvalidSettings.
func New(files settings.TLS, log *logrus.Entry) (*Source, error) {
	s := &Source{files: files, log: log}
	s.watcher = filewatch.New(files.CertFile, files.KeyFile, files.CAFile)
	creds, err := loadCredentials(files)
	if err != nil {
		return nil, err
	}
	s.loaded = creds
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
		return nil, errkind.New(errkind.InvalidSettings, "%s contains no PEM certificate", files.CAFile)
	}
	return &credentials{cert: cert, caPool: pool}, nil
}

// current returns the credentials, which it reads again if the files have changed.
// If the files are unusable or do not match, as they may be while they are being
// replaced, the earlier credentials stay in use.
func (s *Source) current() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.watcher.Changed(time.Now()) {
		return s.loaded
	}
	creds, err := loadCredentials(s.files)
	if err != nil {
		s.log.WithError(err).Error("TLS files changed but cannot be used; keeping the earlier ones")
		return s.loaded
	}
	s.log.WithField("cert_file", s.files.CertFile).Info("TLS files reloaded")
	s.loaded = creds
	return creds
}

// Server returns a configuration that accepts peers whose certificate has one of
// the roles.
func (s *Source) Server(roles ...Role) *tls.Config {
	creds := s.current()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{creds.cert},
		ClientCAs:        creds.caPool,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		VerifyConnection: func(cs tls.ConnectionState) error { return checkPeerRole(cs, roles) },
		// A resumed session would not be verified against authorities that
		// have replaced the earlier ones.
		SessionTicketsDisabled: true,
	}
}

// Client returns a configuration that accepts only a server whose certificate has
// the role Instance and is valid for serverName.
func (s *Source) Client(serverName string) *tls.Config {
	creds := s.current()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{creds.cert},
		RootCAs:          creds.caPool,
		ServerName:       serverName,
		VerifyConnection: verifyServer,
	}
}

// verifyServer returns an error unless the server has the role Instance.
func verifyServer(cs tls.ConnectionState) error { return checkPeerRole(cs, []Role{Instance}) }

// checkPeerRole returns an error unless the certificate of the peer has one of the
// roles.
func checkPeerRole(cs tls.ConnectionState, roles []Role) error {
	if len(cs.PeerCertificates) == 0 {
		return errkind.New(errkind.Unauthenticated, "peer sent no certificate")
	}
	leaf := cs.PeerCertificates[0]
	if !slices.Contains(roles, RoleOf(leaf)) {
		return errkind.New(errkind.Forbidden, "certificate of %q has role %q, want one of %q", leaf.Subject.CommonName, RoleOf(leaf), roles)
	}
	return nil
}
