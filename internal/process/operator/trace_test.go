package operator

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a trace that misses lines of an instance, shows lines of another
// request, or is not in order of time.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a := write("a.log", `  1.20 a {"msg":"request forwarded","request_id":"r1","instance":"a","to_instance":"b","time":"2026-01-01T00:00:00.1Z"}
  1.21 a {"msg":"request forwarded","request_id":"r10","instance":"a","time":"2026-01-01T00:00:00.1Z"}
  1.30 a {"msg":"request refused or failed","request_id":"r1","instance":"a","kind":"target_failed","did_run":"unknown","error":"reset","time":"2026-01-01T00:00:00.4Z"}
panic: not a line of the log r1
`)
	b := write("b.log", `{"msg":"request dispatched","request_id":"r1","instance":"b","target":"t7","time":"2026-01-01T00:00:00.2Z"}
{"msg":"request refused or failed","request_id":"r1","instance":"b","kind":"no_target","did_run":"no","error":"none","time":"2026-01-01T00:00:00.9Z"}
`)
	var out, notes bytes.Buffer
	app := &App{Stdout: &out, Stderr: &notes}
	if code := app.Run([]string{"trace", "--id", "r1", "--file", a, "--file", b}); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, notes.String())
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{"request forwarded  to_instance=b", "+   100.0 ms  b  request dispatched  target=t7", "kind=target_failed", "kind=no_target", "outcome: a answered target_failed: reset (did it run: unknown)"}
	if len(lines) != len(want) {
		t.Fatalf("%d lines:\n%s", len(lines), out.String())
	}
	for i := range want {
		if !strings.Contains(lines[i], want[i]) {
			t.Errorf("line %d: %q lacks %q", i, lines[i], want[i])
		}
	}
	if code := app.Run([]string{"trace", "--id", "r2", "--file", a}); code != ExitUsage {
		t.Errorf("exit code %d for an unknown request", code)
	}
}
