package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

const (
	serialBits = 120
	// backdate is how far the validity starts in the past, so that a peer whose
	// clock is behind accepts a new certificate.
	backdate        = time.Hour
	privateFileMode = 0o600
	publicFileMode  = 0o644
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// Authority is a certificate authority for a test deployment.
type Authority struct {
	Pair
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority whose certificate is valid for the duration.
func NewAuthority(name string, validity time.Duration) (*Authority, error) {
	tmpl := newTemplate(name, "", validity)
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	tmpl.ExtKeyUsage = nil
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "generate key")
	}
	pair, err := sign(tmpl, tmpl, key, key)
	if err != nil {
		return nil, err
	}
	return ParseAuthority(pair)
}

// ParseAuthority parses the certificate and key of an authority that NewAuthority
// created. Its errors have kind BadRequest.
func ParseAuthority(p Pair) (*Authority, error) {
	certBlock, _ := pem.Decode(p.Cert)
	keyBlock, _ := pem.Decode(p.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, errkind.New(errkind.BadRequest, "certificate or key of the authority is not PEM")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "parse certificate of the authority")
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "parse key of the authority")
	}
	return &Authority{Pair: p, cert: cert, key: key}, nil
}

// Issue issues a certificate for name in the role. The hosts are the IP addresses
// and host names under which peers dial the holder.
func (a *Authority) Issue(name string, role Role, hosts []string, validity time.Duration) (Pair, error) {
	tmpl := newTemplate(name, role, validity)
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			tmpl.IPAddresses = append(tmpl.IPAddresses, ip)
		} else {
			tmpl.DNSNames = append(tmpl.DNSNames, h)
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errkind.Wrap(errkind.Internal, err, "generate key")
	}
	return sign(tmpl, a.cert, key, a.key)
}

// IssueFiles issues a certificate like Issue and writes it to dir as name.crt and
// name.key, with the certificate of the authority as ca.crt. Each file is replaced
// atomically, so that no reader sees part of it.
func (a *Authority) IssueFiles(dir, name string, role Role, hosts []string, validity time.Duration) (settings.TLS, error) {
	files := settings.TLS{
		CertFile: filepath.Join(dir, name+".crt"),
		KeyFile:  filepath.Join(dir, name+".key"),
		CAFile:   filepath.Join(dir, "ca.crt"),
	}
	pair, err := a.Issue(name, role, hosts, validity)
	if err != nil {
		return files, err
	}
	return files, errors.Join(
		writeFileAtomic(files.KeyFile, pair.Key, privateFileMode),
		writeFileAtomic(files.CertFile, pair.Cert, publicFileMode),
		writeFileAtomic(files.CAFile, a.Cert, publicFileMode))
}

// WriteFiles writes the certificate and key of the authority to dir as ca.crt and
// ca.key.
func (a *Authority) WriteFiles(dir string) error {
	return errors.Join(
		writeFileAtomic(filepath.Join(dir, "ca.key"), a.Key, privateFileMode),
		writeFileAtomic(filepath.Join(dir, "ca.crt"), a.Cert, publicFileMode))
}

// writeFileAtomic writes data to a temporary file and renames it to name.
func writeFileAtomic(name string, data []byte, mode fs.FileMode) error {
	tmp := name + ".tmp"
	if err := os.WriteFile(tmp, data, mode); err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "write file")
	}
	if err := os.Rename(tmp, name); err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "write file")
	}
	return nil
}

// newTemplate returns a template for a certificate of name, which can serve TLS if
// the role is Instance.
func newTemplate(name string, role Role, validity time.Duration) *x509.Certificate {
	t := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		NotBefore:   time.Now().Add(-backdate),
		NotAfter:    time.Now().Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	if role != "" {
		t.Subject.OrganizationalUnit = []string{string(role)}
	}
	if role == Instance {
		t.ExtKeyUsage = append(t.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	return t
}

// sign signs a certificate for key with the key of the parent.
func sign(tmpl, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Pair{}, errkind.Wrap(errkind.Internal, err, "generate serial number")
	}
	tmpl.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, errkind.Wrap(errkind.Internal, err, "sign certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, errkind.Wrap(errkind.Internal, err, "encode key")
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
	}, nil
}
