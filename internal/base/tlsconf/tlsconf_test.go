package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"testing"
)

// Guards against a role that is not taken from exactly one organizational unit,
// and against a server that is accepted without the role Instance.
func TestRoleCheck(t *testing.T) {
	for _, tc := range []struct {
		units []string
		role  Role
	}{
		{[]string{"instance"}, Instance},
		{[]string{"operator"}, Operator},
		{[]string{"operator", "instance"}, ""},
		{[]string{"Instance"}, ""},
		{nil, ""},
	} {
		cert := &x509.Certificate{Subject: pkix.Name{CommonName: "instance", OrganizationalUnit: tc.units}}
		if got := RoleOf(cert); got != tc.role {
			t.Errorf("units %q: role %q, want %q", tc.units, got, tc.role)
		}
		state := tls.ConnectionState{PeerCertificates: []*x509.Certificate{cert}}
		if err := verifyServer(state); (err == nil) != (tc.role == Instance) {
			t.Errorf("units %q as a server: %v", tc.units, err)
		}
	}
	if verifyServer(tls.ConnectionState{}) == nil {
		t.Error("a server without a certificate is accepted")
	}
}
