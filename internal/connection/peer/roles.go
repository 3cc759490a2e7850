package peer

import (
	"context"
	"strings"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/tlsconf"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	grpcpeer "google.golang.org/grpc/peer"
)

// Identity is the identity of the caller of a gRPC method, taken from its
// certificate.
type Identity struct {
	Name string // common name of the certificate
	Role tlsconf.Role
}

// IdentityOf returns the identity of the caller of a gRPC method. The second result
// is false if the caller presented no certificate, as in plaintext mode.
func IdentityOf(ctx context.Context) (Identity, bool) {
	p, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return Identity{}, false
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return Identity{}, false
	}
	leaf := info.State.PeerCertificates[0]
	return Identity{Name: leaf.Subject.CommonName, Role: tlsconf.RoleOf(leaf)}, true
}

// operatorPrefix is the prefix of the methods that operators may call. All other
// methods are for instances only.
var operatorPrefix = "/" + fescuepb.Operator_ServiceDesc.ServiceName + "/"

// checkRole returns an error, and logs it, if the role in the caller's certificate
// does not allow the method.
func (l *Links) checkRole(ctx context.Context, method string) error {
	if l.certs == nil {
		return nil // there are no certificates in plaintext mode
	}
	id, ok := IdentityOf(ctx)
	if !ok {
		return l.refuse(ctx, errkind.New(errkind.Unauthenticated, "%s: peer presented no certificate", method))
	}
	if id.Role == tlsconf.Instance || (id.Role == tlsconf.Operator && strings.HasPrefix(method, operatorPrefix)) {
		return nil
	}
	return l.refuse(ctx, errkind.New(errkind.Forbidden, "%s: certificate of %q has role %q, the method requires %q", method, id.Name, id.Role, tlsconf.Instance))
}

func (l *Links) refuse(ctx context.Context, err error) error {
	if p, ok := grpcpeer.FromContext(ctx); ok {
		logRefused(l.log, p.Addr, err)
	}
	return errkind.Status(err)
}

func (l *Links) checkUnaryRole(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := l.checkRole(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func (l *Links) checkStreamRole(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := l.checkRole(ss.Context(), info.FullMethod); err != nil {
		return err
	}
	return next(srv, ss)
}
