// Package peer holds the gRPC and HTTP links between instances, and from
// operators to control instances. Links use mutual TLS; plaintext needs an
// explicit setting, which allows either loopback addresses only or a private
// network.
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
	// flowWindow of a stream and of a connection, in bytes. A fixed window turns
	// the estimate of the bandwidth off, which costs a ping and its answer for
	// each small message.
	flowControlWindow = 1 << 20

	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// keepaliveMin is what servers tolerate, below keepaliveTime.
	minKeepaliveTime = 5 * time.Second
	backoffBase      = 100 * time.Millisecond
	backoffMax       = time.Second
	connectTimeout   = time.Second
	handshakeTimeout = 3 * time.Second
	// maxMessage holds a full update at the design scale, in bytes.
	maxMessageSize = 64 << 20
)

// Links makes and accepts the connections of a process. It is safe for
// concurrent use.
type Links struct {
	log   *logrus.Entry
	certs *tlsconf.Source // nil: plaintext
	creds credentials.TransportCredentials
	// loopbackOnly refuses addresses that are not loopback, in plaintext mode.
	loopbackOnly bool

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewLinks reads the certificate files. The error has kind InvalidSettings.
func NewLinks(t settings.TLS, log *logrus.Entry) (*Links, error) {
	l := &Links{log: log, conns: map[string]*grpc.ClientConn{}}
	switch {
	case !t.Valid():
		return nil, errkind.New(errkind.InvalidSettings, settings.TLSChoices)
	case t.PlaintextLoopback:
		l.loopbackOnly, l.creds = true, newLoopbackCreds(log)
		return l, nil
	case t.PlaintextPrivate:
		log.Warn("links between instances use no TLS: whoever reaches this network may act as an instance")
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
// keepalive and the check of roles.
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

// Open returns a connection of the caller's own to a gRPC address, host:port.
// It connects in the background; the caller closes it.
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

// Dial returns the shared connection to a gRPC address, host:port. It
// connects in the background; don't close it.
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

// Drop closes the connection to an address that is no longer a peer.
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

// ListenGRPC listens for a gRPC server with ServerOptions, which does the TLS
// handshake itself.
func (l *Links) ListenGRPC(addr string) (net.Listener, error) {
	if l.loopbackOnly && !isLoopback(addr) {
		return nil, errNotLoopback(addr)
	}
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "listen")
	}
	if l.loopbackOnly && !isLoopback(lis.Addr().String()) {
		lis.Close() // localhost does not resolve to a loopback address here
		return nil, errNotLoopback(lis.Addr().String())
	}
	return lis, nil
}

// Listen listens for HTTP from other instances. Accept returns connections
// after their handshake, so that a peer that is refused never reaches the
// HTTP server.
func (l *Links) Listen(addr string) (net.Listener, error) {
	lis, err := l.ListenGRPC(addr)
	if err != nil || l.certs == nil {
		return lis, err
	}
	return newListener(lis, l.certs, l.log), nil
}

// DialHTTP opens a connection for HTTP requests to another instance, with TLS
// unless the links are in plaintext.
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
