package entry

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Guards against hosts in own_hosts that no request can have.
func TestOwnHostsAreChecked(t *testing.T) {
	const rest = "instance: e1\nregion: north\ndata_centre: n1\ncaller_addr: 127.0.0.1:8110\npeer_addr: 127.0.0.1:8111\ngrpc_addr: 127.0.0.1:8112\n" +
		"admin_addr: 127.0.0.1:8113\ncontrol: [\"127.0.0.1:8100\"]\nplatform_url: http://127.0.0.1:8090/instances\ntls: {plaintext_loopback: true}\n"
	file := filepath.Join(t.TempDir(), "entry.yaml")
	load := func(hosts string) error {
		if err := os.WriteFile(file, []byte("own_hosts: ["+hosts+"]\n"+rest), 0o600); err != nil {
			t.Fatal(err)
		}
		return settings.Load(file, new(Settings))
	}
	if err := load(`entry.example, 10.1.0.13, "[fd00::13]", Entry`); err != nil {
		t.Error(err)
	}
	for _, bad := range []string{`""`, `"entry.example:8110"`, `"[fd00::13]:8110"`} {
		if err := load(bad); err == nil || !strings.Contains(err.Error(), "entry.yaml:1") || !strings.Contains(err.Error(), "own_hosts") {
			t.Errorf("own_hosts: [%s]: %v, want an error with file, line and field", bad, err)
		}
	}
}

// Guards against the loss of services that callers name on a host of any name, in a
// deployment without host routes, and against such names on a host that may have routes.
func TestHostsOnWhichServicesAreNamed(t *testing.T) {
	build := func(hosts ...string) *snapshot.Snapshot {
		snap, err := snapshot.Build(1, []*fescuepb.Section{{Team: "platform", Yaml: []byte(routedDocument(hosts...))}}, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		return snap
	}
	without, with := build(), build(nearHost)
	for _, tc := range []struct {
		settings          Settings
		snap              *snapshot.Snapshot
		name, own, listed bool // a DNS name, an address, a name in own_hosts
	}{
		{Settings{}, without, true, true, true},
		{Settings{}, with, false, true, false},
		{Settings{OwnHosts: []string{"Entry.example"}}, without, false, true, true},
		{Settings{OwnHosts: []string{"Entry.example"}}, with, false, true, true},
		{Settings{NeedHostRoutes: true}, without, false, false, false},
		{Settings{NeedHostRoutes: true}, with, false, false, false},
		{Settings{NeedHostRoutes: true, OwnHosts: []string{"Entry.example"}}, with, false, false, true},
	} {
		for host, want := range map[string]bool{"other.example": tc.name, "10.1.0.13": tc.own, "localhost": tc.own, "[::1]": tc.own, "entry.example": tc.listed} {
			if got := tc.settings.namesServices(host, tc.snap); got != want {
				t.Errorf("%+v, host routes %v: services are named on %s: %v, want %v", tc.settings.OwnHosts, tc.snap.HasHostRoutes(), host, got, want)
			}
		}
	}
}
