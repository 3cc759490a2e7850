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

// Identity is who is at the other end of a gRPC call.
type Identity struct {
	Name string // common name of the certificate; empty in plaintext mode
	Role tlsconf.Role
}

// IdentityOf returns the identity of the caller of a gRPC method, and false
// if the connection has no certificate, as in plaintext mode.
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

// operatorPrefix starts the methods that operators may call. All others are
// for instances only.
var operatorPrefix = "/" + fescuepb.Operator_ServiceDesc.ServiceName + "/"

// checkRole refuses a caller whose certificate has the wrong role.
func (l *Links) checkRole(ctx context.Context, method string) error {
	if l.certs == nil {
		return nil // plaintext has no certificates
	}
	id, ok := IdentityOf(ctx)
	if !ok {
		return l.refuse(ctx, errkind.New(errkind.Unauthenticated, "%s: peer shows no certificate", method))
	}
	if id.Role == tlsconf.Instance || (id.Role == tlsconf.Operator && strings.HasPrefix(method, operatorPrefix)) {
		return nil
	}
	return l.refuse(ctx, errkind.New(errkind.Forbidden, "%s: certificate of %q has role %q, need %q", method, id.Name, id.Role, tlsconf.Instance))
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
