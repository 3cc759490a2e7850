package peer

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/base/tlsconf"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

func newAuthority(t *testing.T) *tlsconf.Authority {
	t.Helper()
	a, err := tlsconf.NewAuthority("test", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// writeCertificate issues a certificate with a, writes it to dir and returns the
// settings that name its files.
func writeCertificate(t *testing.T, dir string, a *tlsconf.Authority, role tlsconf.Role) settings.TLS {
	t.Helper()
	set, err := a.IssueFiles(dir, "x", role, []string{"127.0.0.1"}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func openLinks(t *testing.T, set settings.TLS) *Links {
	t.Helper()
	l, err := NewLinks(set, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func serveGRPC(t *testing.T, l *Links) string {
	t.Helper()
	lis, err := l.ListenGRPC("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer(l.ServerOptions()...)
	fescuepb.RegisterBudgetServer(srv, fescuepb.UnimplementedBudgetServer{})
	fescuepb.RegisterOperatorServer(srv, fescuepb.UnimplementedOperatorServer{})
	fescuepb.RegisterFollowServer(srv, fescuepb.UnimplementedFollowServer{})
	go srv.Serve(lis)
	t.Cleanup(srv.Stop)
	return lis.Addr().String()
}

// callMethods calls a unary method for instances, a streaming method for instances
// and a method for operators, and returns their codes. Unimplemented means that
// the call reached the handler.
func callMethods(t *testing.T, l *Links, addr string) [3]codes.Code {
	t.Helper()
	conn, err := l.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, lease := fescuepb.NewBudgetClient(conn).Lease(ctx, &fescuepb.LeaseRequest{})
	watch, stream := fescuepb.NewFollowClient(conn).Watch(ctx)
	if stream == nil {
		_, stream = watch.Recv()
	}
	_, get := fescuepb.NewOperatorClient(conn).Get(ctx, &fescuepb.GetRequest{})
	return [3]codes.Code{status.Code(lease), status.Code(stream), status.Code(get)}
}

// Guards against accepting as an instance a peer with an operator certificate,
// with one of another authority, with one without a role, or without any.
func TestRolesOverGRPC(t *testing.T) {
	ca := newAuthority(t)
	server := openLinks(t, writeCertificate(t, t.TempDir(), ca, tlsconf.Instance))
	log := logtest.NewLocal(server.log.Logger)
	server.log.Logger.SetLevel(logrus.WarnLevel)
	addr := serveGRPC(t, server)
	foreign := writeCertificate(t, t.TempDir(), newAuthority(t), tlsconf.Instance)
	if err := os.WriteFile(foreign.CAFile, ca.Cert, 0o600); err != nil {
		t.Fatal(err)
	}
	reached, refused, closed := codes.Unimplemented, codes.PermissionDenied, codes.Unavailable
	for name, c := range map[string]struct {
		set  settings.TLS
		want [3]codes.Code
	}{
		"instance":        {writeCertificate(t, t.TempDir(), ca, tlsconf.Instance), [3]codes.Code{reached, reached, reached}},
		"operator":        {writeCertificate(t, t.TempDir(), ca, tlsconf.Operator), [3]codes.Code{refused, refused, reached}},
		"no role":         {writeCertificate(t, t.TempDir(), ca, ""), [3]codes.Code{closed, closed, closed}},
		"foreign client":  {foreign, [3]codes.Code{closed, closed, closed}},
		"other authority": {writeCertificate(t, t.TempDir(), newAuthority(t), tlsconf.Instance), [3]codes.Code{closed, closed, closed}},
		"plaintext":       {settings.TLS{PlaintextLoopback: true}, [3]codes.Code{closed, closed, closed}},
	} {
		if got := callMethods(t, openLinks(t, c.set), addr); got != c.want {
			t.Errorf("%s: codes %v, want %v", name, got, c.want)
		}
	}
	// The server may log a failed handshake after the call has failed at the client.
	refusals := 0
	for end := time.Now().Add(2 * time.Second); refusals < 6 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		refusals = 0
		for _, e := range log.AllEntries() {
			if e.Message == "peer refused" && e.Data["peer"] != nil {
				refusals++
			}
		}
	}
	if refusals < 6 { // two calls of the operator, and at least one of each of the other four
		t.Errorf("%d rejected peers in the log, want at least 6", refusals)
	}
}

// Guards against an instance that connects to a server whose certificate does not
// have the instance role.
func TestServerMustBeInstance(t *testing.T) {
	ca := newAuthority(t)
	addr := serveGRPC(t, openLinks(t, writeCertificate(t, t.TempDir(), ca, tlsconf.Operator)))
	got := callMethods(t, openLinks(t, writeCertificate(t, t.TempDir(), ca, tlsconf.Instance)), addr)
	if got[0] != codes.Unavailable {
		t.Errorf("code %v, want %v", got[0], codes.Unavailable)
	}
}

// Guards against replaced certificate files that take effect only after a restart,
// and against an outage while only some of the files are replaced.
func TestReload(t *testing.T) {
	old, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	set := writeCertificate(t, dir, old, tlsconf.Instance)
	addr := serveGRPC(t, openLinks(t, set))
	if err := os.WriteFile(set.KeyFile, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1100 * time.Millisecond)
	oldSet, nextSet := writeCertificate(t, t.TempDir(), old, tlsconf.Instance), writeCertificate(t, t.TempDir(), next, tlsconf.Instance)
	if got := callMethods(t, openLinks(t, oldSet), addr); got[0] != codes.Unimplemented {
		t.Errorf("invalid key file during a replacement: code %v", got[0])
	}
	writeCertificate(t, dir, next, tlsconf.Instance)
	time.Sleep(1100 * time.Millisecond)
	if got := callMethods(t, openLinks(t, nextSet), addr); got[0] != codes.Unimplemented {
		t.Errorf("new authority: code %v", got[0])
	}
	if got := callMethods(t, openLinks(t, oldSet), addr); got[0] != codes.Unavailable {
		t.Errorf("old authority after the change: code %v", got[0])
	}
}

// Guards against plaintext connections beyond the local machine, and against
// settings that enable neither TLS nor plaintext, or both.
func TestPlaintextOnLoopbackOnly(t *testing.T) {
	l := openLinks(t, settings.TLS{PlaintextLoopback: true})
	for _, addr := range []string{"0.0.0.0:0", ":0", "192.0.2.1:80", "example.org:80", "[::]:0"} {
		if lis, err := l.Listen(addr); err == nil {
			lis.Close()
			t.Errorf("plaintext listener on %s", addr)
		}
		if _, err := l.Dial(addr); err == nil {
			t.Errorf("plaintext link to %s", addr)
		}
		if _, err := l.DialHTTP(t.Context(), "tcp", addr); err == nil || !strings.Contains(err.Error(), "loopback") {
			t.Errorf("HTTP to %s: %v", addr, err)
		}
	}
	if got := callMethods(t, l, serveGRPC(t, l)); got[0] != codes.Unimplemented {
		t.Errorf("plaintext on loopback: code %v", got[0])
	}
	both := writeCertificate(t, t.TempDir(), newAuthority(t), tlsconf.Instance)
	both.PlaintextLoopback = true
	for _, set := range []settings.TLS{{}, both} {
		if _, err := NewLinks(set, logging.Discard()); err == nil {
			t.Errorf("NewLinks accepted the contradictory or empty settings %+v", set)
		}
	}
}

// Guards against accepting operators on the HTTP listener for instances, and
// against a connection without a handshake that blocks the others.
func TestHTTPBetweenInstances(t *testing.T) {
	ca := newAuthority(t)
	server := openLinks(t, writeCertificate(t, t.TempDir(), ca, tlsconf.Instance))
	lis, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {})}
	go srv.Serve(lis)
	t.Cleanup(func() { srv.Close() })
	get := func(set settings.TLS) error {
		l := openLinks(t, set)
		client := &http.Client{Transport: &http.Transport{DialContext: l.DialHTTP}, Timeout: 2 * time.Second}
		resp, err := client.Get("http://" + lis.Addr().String())
		if err == nil {
			resp.Body.Close()
		}
		client.CloseIdleConnections()
		return err
	}
	silent, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if err := get(writeCertificate(t, t.TempDir(), ca, tlsconf.Instance)); err != nil {
		t.Errorf("instance: %v", err)
	}
	if err := get(writeCertificate(t, t.TempDir(), ca, tlsconf.Operator)); err == nil {
		t.Error("an operator certificate was accepted as an instance")
	}
}
