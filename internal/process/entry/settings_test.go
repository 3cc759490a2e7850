package entry

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
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
