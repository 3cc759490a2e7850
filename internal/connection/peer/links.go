// Package peer provides the gRPC and HTTP connections between instances, and from
// operators to control instances. They use mutual TLS. Plaintext must be enabled
// by a setting, either for loopback addresses only or for a private network.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/base/tlsconf"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// flowControlWindow is the window of a stream and of a connection, in bytes.
	// A fixed window disables gRPC's bandwidth estimation, which sends a ping and
	// an acknowledgement for each small message.
	flowControlWindow = 1 << 20

	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// minKeepaliveTime is the shortest interval between pings that servers accept.
	// It must be below keepaliveTime.
	minKeepaliveTime = 5 * time.Second
	backoffBase      = 100 * time.Millisecond
	backoffMax       = time.Second
	connectTimeout   = time.Second
	handshakeTimeout = 3 * time.Second
	// maxMessageSize is the largest message in bytes. A full update at the design
	// scale must fit.
	maxMessageSize = 64 << 20
)

// Links opens and accepts the connections of a process to other instances. It is
// safe for concurrent use.
type Links struct {
	log   *logrus.Entry
	certs *tlsconf.Source // nil in plaintext mode
	creds credentials.TransportCredentials
	// loopbackOnly restricts plaintext mode to loopback addresses.
	loopbackOnly bool

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // made by Dial, by address
}

// NewLinks returns the links for the TLS settings and reads the certificate files
// that they name. The error has kind InvalidSettings.
func NewLinks(t settings.TLS, log *logrus.Entry) (*Links, error) {
	l := &Links{log: log, conns: map[string]*grpc.ClientConn{}}
	switch {
	case !t.Valid():
		return nil, errkind.New(errkind.InvalidSettings, settings.TLSChoices)
	case t.PlaintextLoopback:
		l.loopbackOnly, l.creds = true, newLoopbackCreds(log)
		return l, nil
	case t.PlaintextPrivate:
		log.Warn("links between instances use no TLS: any host on this network can act as an instance")
		l.creds = insecure.NewCredentials()
		return l, nil
	}
	certs, err := tlsconf.New(t, log)
	if err != nil {
		return nil, err
	}
	l.certs, l.creds = certs, &tlsCreds{certs: certs, log: log}
	return l, nil
}

// ServerOptions returns the options of a gRPC server for peers: credentials,
// message and window sizes, keepalive, and the check of the roles of callers.
func (l *Links) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(l.creds),
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.InitialWindowSize(flowControlWindow),
		grpc.InitialConnWindowSize(flowControlWindow),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveTime, PermitWithoutStream: true}),
		grpc.ChainUnaryInterceptor(l.checkUnaryRole),
		grpc.ChainStreamInterceptor(l.checkStreamRole),
	}
}

// Open returns a new, unshared connection to a gRPC address, host:port. It
// connects in the background. The caller must close it.
func (l *Links) Open(addr string) (*grpc.ClientConn, error) {
	if l.loopbackOnly && !isLoopback(addr) {
		return nil, errNotLoopback(addr)
	}
	c, err := grpc.NewClient("passthrough:///"+addr, l.dialOptions()...)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "dial %s", addr)
	}
	return c, nil
}

// Dial returns the shared connection to a gRPC address, host:port. It connects in
// the background. The caller must not close it.
func (l *Links) Dial(addr string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[addr]; c != nil {
		return c, nil
	}
	c, err := l.Open(addr)
	if err != nil {
		return nil, err
	}
	l.conns[addr] = c
	return c, nil
}

func (l *Links) dialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(l.creds),
		grpc.WithNoProxy(),
		grpc.WithInitialWindowSize(flowControlWindow),
		grpc.WithInitialConnWindowSize(flowControlWindow),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: backoffBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: backoffMax},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
	}
}

// Drop closes the connection that Dial made to an address. It is called when the
// address no longer belongs to a peer.
func (l *Links) Drop(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[addr]; c != nil {
		c.Close()
		delete(l.conns, addr)
	}
}

// Close closes every connection made by Dial.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for addr, c := range l.conns {
		c.Close()
		delete(l.conns, addr)
	}
}

// ListenGRPC opens a listener for a gRPC server with ServerOptions. That server does
// the TLS handshake itself.
func (l *Links) ListenGRPC(addr string) (net.Listener, error) {
	if l.loopbackOnly && !isLoopback(addr) {
		return nil, errNotLoopback(addr)
	}
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "listen")
	}
	if l.loopbackOnly && !isLoopback(lis.Addr().String()) {
		lis.Close() // localhost resolved to an address that is not a loopback address
		return nil, errNotLoopback(lis.Addr().String())
	}
	return lis, nil
}

// Listen opens a listener for HTTP from other instances. Accept returns a
// connection after its TLS handshake, so that a rejected peer does not reach the
// HTTP server.
func (l *Links) Listen(addr string) (net.Listener, error) {
	lis, err := l.ListenGRPC(addr)
	if err != nil || l.certs == nil {
		return lis, err
	}
	return newListener(lis, l.certs, l.log), nil
}

// DialHTTP opens a connection for HTTP requests to another instance, with TLS
// unless the links are in plaintext mode.
func (l *Links) DialHTTP(ctx context.Context, network, addr string) (net.Conn, error) {
	if l.loopbackOnly && !isLoopback(addr) {
		return nil, errNotLoopback(addr)
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "address %q", addr)
	}
	d := net.Dialer{Timeout: connectTimeout}
	raw, err := d.DialContext(ctx, network, addr)
	if err != nil || l.certs == nil {
		return raw, err
	}
	conn := tls.Client(raw, l.certs.Client(host))
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		logRefused(l.log, raw.RemoteAddr(), err)
		return nil, err
	}
	return conn, nil
}
