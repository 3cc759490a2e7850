package peer

import (
	"context"
	"net"

	"github.com/fescuejunction/fescuejunction/internal/base/tlsconf"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// tlsCreds are gRPC transport credentials that use the current certificate files
// for each handshake.
type tlsCreds struct {
	certs *tlsconf.Source
	log   *logrus.Entry
}

func (c *tlsCreds) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := credentials.NewTLS(c.certs.Client("")).ClientHandshake(ctx, authority, raw)
	if err != nil {
		logRefused(c.log, raw.RemoteAddr(), err)
	}
	return conn, info, err
}

func (c *tlsCreds) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	cfg := c.certs.Server(tlsconf.Instance, tlsconf.Operator)
	conn, info, err := credentials.NewTLS(cfg).ServerHandshake(raw)
	if err != nil {
		logRefused(c.log, raw.RemoteAddr(), err)
	}
	return conn, info, err
}

func (c *tlsCreds) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

func (c *tlsCreds) Clone() credentials.TransportCredentials { return c }

func (c *tlsCreds) OverrideServerName(string) error { return nil }

// loopbackCreds are plaintext credentials that reject every connection that is
// not between loopback addresses.
type loopbackCreds struct {
	credentials.TransportCredentials
	log *logrus.Entry
}

func newLoopbackCreds(log *logrus.Entry) *loopbackCreds {
	return &loopbackCreds{TransportCredentials: insecure.NewCredentials(), log: log}
}

func (c *loopbackCreds) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	if err := c.check(raw); err != nil {
		return nil, nil, err
	}
	return c.TransportCredentials.ClientHandshake(ctx, authority, raw)
}

func (c *loopbackCreds) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	if err := c.check(raw); err != nil {
		return nil, nil, err
	}
	return c.TransportCredentials.ServerHandshake(raw)
}

func (c *loopbackCreds) Clone() credentials.TransportCredentials {
	return &loopbackCreds{TransportCredentials: c.TransportCredentials.Clone(), log: c.log}
}

func (c *loopbackCreds) check(raw net.Conn) error {
	for _, addr := range []net.Addr{raw.LocalAddr(), raw.RemoteAddr()} {
		if !isLoopback(addr.String()) {
			err := errNotLoopback(addr.String())
			logRefused(c.log, raw.RemoteAddr(), err)
			return err
		}
	}
	return nil
}

// errNotLoopback returns the error for a plaintext connection or listener on an
// address that is not a loopback address.
func errNotLoopback(addr string) error {
	return errkind.New(errkind.Forbidden, "tls.plaintext_loopback allows loopback addresses only, not %s", addr)
}

// isLoopback reports whether addr, host:port, is a loopback address. The only host
// name that counts as one is localhost; other names are not resolved.
func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	if host == "localhost" {
		return true
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func logRefused(log *logrus.Entry, addr net.Addr, err error) {
	log.WithError(err).WithField("peer", addr.String()).Warn("peer refused")
}
