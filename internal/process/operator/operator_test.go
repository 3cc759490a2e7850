package operator

import (
	"os"
	"strings"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/connection/peer"
	"github.com/fescuejunction/fescuejunction/internal/process/control/operatorauth"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// expect runs fescuectl and checks the exit code and parts of the output.
func (r *rig) expect(code int, args []string, parts ...string) string {
	r.t.Helper()
	got, stdout, stderr := r.ctl(args...)
	if got != code {
		r.t.Errorf("%q: exit code %d, want %d\n%s%s", args, got, code, stdout, stderr)
	}
	for _, p := range parts {
		if !strings.Contains(stdout+stderr, p) {
			r.t.Errorf("%q: no %q in\n%s%s", args, p, stdout, stderr)
		}
	}
	return stdout
}

func args(a ...string) []string { return a }

// Guards against an apply that overwrites another operator's change, and
// against a refusal that does not name the winner.
func TestApplyConflict(t *testing.T) {
	r := newRig(t)
	file := r.write("new.yaml", strings.Replace(keralaYAML, "cap: 40", "cap: 50", 1))
	r.expect(ExitConflict, args("apply", file, "--expect-revision", "0"), "revision 1", `"asha"`, "k1")
	r.expect(ExitOK, args("apply", file, "--expect-revision", "1"), "revision 2")
	r.expect(ExitConflict, args("apply", file, "--expect-revision", "1", "--output", "json"), `"exit_code": 3`)
	r.expect(ExitInvalid, args("apply", r.write("bad.yaml", "team: kerala\nservicez: []\n")), "bad.yaml:2", "servicez")
	if r.applied != 1 {
		t.Errorf("%d changes applied, want 1", r.applied)
	}
}

// Guards against a change that is made twice after its answer was lost, and
// against a lost answer that leaves the operator without the identifier.
func TestLostAnswer(t *testing.T) {
	r := newRig(t)
	file := r.write("new.yaml", keralaYAML)
	r.lose = 1
	r.expect(ExitOK, args("apply", file), "had been accepted before", "revision 2", "change id ")
	r.lose, r.down = 1, true
	r.expect(ExitUnreachable, args("apply", file, "--change-id", "x9", "--expect-revision", "2"), "outcome is unknown", "--change-id x9 --expect-revision 2")
	r.down = false
	r.expect(ExitOK, args("apply", file, "--change-id", "x9", "--expect-revision", "2"), "revision 3")
	r.expect(ExitOK, args("apply", file, "--change-id", "x9", "--expect-revision", "2"), "had been accepted before", "revision 3")
	if r.applied != 2 {
		t.Errorf("%d changes applied, want 2", r.applied)
	}
}

// Guards against a wait that succeeds while a live instance acts on an old
// version, or that fails because of one that is not alive.
func TestWait(t *testing.T) {
	r := newRig(t)
	file := r.write("new.yaml", keralaYAML)
	r.behind["kochi-1b"] = 1 // not alive
	r.expect(ExitOK, args("apply", file, "--wait"), "in force at all live instances")
	r.behind["leh-1a"] = 1
	r.expect(ExitNotInForce, args("apply", file, "--wait", "--wait-limit", "300ms"), "not in force", "leh-1a")
	out := r.expect(ExitNotInForce, args("apply", file, "--wait", "--wait-limit", "300ms", "--output", "json"), `"leh-1a"`, `"exit_code": 4`)
	if strings.Count(out, "exit_code") != 1 {
		t.Errorf("more than one JSON document: %s", out)
	}
	r.lag = 1 // a server that has not heard of the change
	r.expect(ExitNotInForce, args("apply", file, "--wait", "--wait-limit", "300ms"), "status is of version")
}

// Guards against a wait that passes over the entries that followed a control
// replica which has just stopped answering, and against one that never ends
// for an entry that is gone.
func TestWaitForUnheard(t *testing.T) {
	r := newRig(t)
	file := r.write("new.yaml", keralaYAML)
	r.silent = true
	r.expect(ExitNotInForce, args("apply", file, "--wait", "--wait-limit", "300ms"), "missing: kochi-1b, kochi-2b, leh-1b")
	r.expect(ExitOK, args("apply", file, "--wait", "--wait-limit", "5s"), "in force at all live instances")
}

// Guards against operators who act for another team or without a valid key.
func TestRefused(t *testing.T) {
	r := newRig(t)
	file := r.write("new.yaml", keralaYAML)
	r.args[len(r.args)-1] = r.path("cascadia.key")
	r.expect(ExitRefused, args("apply", file), "may not change the section")
	r.args[len(r.args)-1] = r.write("bad.key", "nonsense")
	r.expect(ExitRefused, args("get"), "unauthenticated")
	r.args[len(r.args)-1] = r.path("absent")
	r.expect(ExitUsage, args("get"), "absent")
}

// Guards against a drain that loses other parts of the section, and against
// one that is reported as done without being applied.
func TestDrain(t *testing.T) {
	r := newRig(t)
	drain := args("drain", "--service", "rota", "--data-centre", "kochi-1")
	r.expect(ExitOK, append(drain, "--wait"), "revision 2", "in force")
	text := r.expect(ExitOK, args("get"), "# chairs of the coast", "# the coast", "data_centre: kochi-1")
	if !strings.Contains(text, "drains:") {
		t.Errorf("no drain in %s", text)
	}
	r.expect(ExitInvalid, drain, "already")
	r.expect(ExitOK, args("explain", "--service", "rota", "--shift", "coast", "--data-centre", "kochi-1"),
		"1. kochi-1 (same data centre): drained", "goes to dispatcher kochi-2a", "kochi-2b (not heard)")
	r.expect(ExitOK, append(drain, "--remove"), "revision 3")
	r.expect(ExitInvalid, append(drain, "--remove"), "no such drain")
	r.expect(ExitOK, args("explain", "--service", "rota", "--shift", "coast", "--data-centre", "kochi-1"), "goes to dispatcher kochi-1a")
	r.expect(ExitUsage, args("drain"))
	r.expect(ExitUsage, args("drain", "--target", "rota-1"), "--service")
}

// Guards against a status that hides pending caps, a leader that did not tell
// them, drained instances, or how long ago an instance was heard.
func TestStatus(t *testing.T) {
	r := newRig(t)
	r.expect(ExitOK, args("status"), "the leader did not answer", "1.5s ago", "never")
	r.mu.Lock()
	r.pending = []*fescuepb.PendingCap{
		{Shift: "coast", OldCap: 40, NewCap: 8, Missing: []string{"leh-1a", "leh-1b"}}, {Shift: "hills", OldCap: 9, NewCap: 3},
	}
	r.sections["platform"].Yaml = []byte(platformYAML + "drains: [{instance: kochi-2a}]\n")
	r.mu.Unlock()
	text := r.expect(ExitOK, args("status"), "shift coast from 40 to 8: not acknowledged by leh-1a, leh-1b", "shift hills from 9 to 3: every holder", "drained")
	if strings.Contains(text, "did not answer") {
		t.Error(text)
	}
	r.expect(ExitOK, args("status", "--output", "json"), `"new_cap": 8`, `"leh-1b"`, `"missing": []`, `"last_heard_ms": null`, `"drained": true`)
}

// Guards against commands that disagree with the document at the server.
func TestReadingCommands(t *testing.T) {
	r := newRig(t)
	changed := r.write("new.yaml", strings.Replace(keralaYAML, "cap: 40", "cap: 50", 1))
	wrong := r.write("wrong.yaml", strings.Replace(keralaYAML, "kochi-1]", "goa-1]", 1))
	for _, tc := range []struct {
		code  int
		args  []string
		parts []string
	}{
		{ExitOK, args("validate", changed), args("valid")},
		{ExitInvalid, args("validate", wrong), args("wrong.yaml:5", "services[0].data_centres[2]", "goa-1")},
		{ExitInvalid, args("validate", changed, "--local"), args("kochi-1")},
		{ExitOK, args("validate", "--local", "--file", changed, "--file", r.write("p.yaml", platformYAML)), args("valid")},
		{ExitOK, args("diff", changed), args("-shifts: [{name: coast, cap: 40}]", "+shifts: [{name: coast, cap: 50}]", " services:")},
		{ExitOK, args("diff", r.write("same.yaml", keralaYAML)), args("no difference from revision 1")},
		{ExitOK, args("get", "--all", "--output", "json"), args(`"version": 2`, `"team": "platform"`)},
		{ExitOK, args("history"), args("revision 1 by asha")},
		{ExitOK, args("status"), args("version 2", "kochi-1a", "not heard")},
		{ExitOK, args("status", "--output", "json"), args(`"instance": "leh-1b"`, `"alive": false`)},
		{ExitOK, args("explain", "--service", "rota", "--method", "POST", "--path", "/swaps/1", "--shift", "coast", "--data-centre", "leh-1"),
			args("route /swaps", "at most once true", "goes to dispatcher leh-1a in leh-1")},
		{ExitOK, args("explain", "--service", "rota", "--shift", "moon", "--data-centre", "leh-1"), args(`rejected: shift "moon"`)},
		{ExitUsage, args("status", "--output", "xml"), args("xml")},
		{ExitUsage, args("status", "--bogus"), nil},
		{ExitUsage, args("apply"), nil},
	} {
		r.expect(tc.code, tc.args, tc.parts...)
	}
	r.down = true
	r.expect(ExitUnreachable, args("get", "--timeout", "300ms"), "no server of")
}

// Guards against scripts that see another exit code than the documented one.
func TestExitCodes(t *testing.T) {
	for code, want := range map[codes.Code]int{
		codes.InvalidArgument: ExitInvalid, codes.NotFound: ExitInvalid, codes.Aborted: ExitConflict,
		codes.Unavailable: ExitUnreachable, codes.DeadlineExceeded: ExitUnreachable,
		codes.Unauthenticated: ExitRefused, codes.PermissionDenied: ExitRefused, codes.Internal: ExitRefused,
	} {
		if got := exitCode(status.Error(code, "")); got != want {
			t.Errorf("%v: exit code %d, want %d", code, got, want)
		}
	}
}

// Guards against certificates and keys that the servers don't accept, and
// against secrets that others can read or that are printed.
func TestCertsAndKeygen(t *testing.T) {
	r := &rig{t: t, dir: t.TempDir()}
	dir, key := r.path("pki"), r.path("kerala.key")
	r.expect(ExitOK, args("certs", "--dir", dir))
	r.expect(ExitOK, args("certs", "--dir", dir, "--instance", "c1", "--host", "127.0.0.1"), "c1.key")
	r.expect(ExitOK, args("certs", "--dir", dir, "--operator", "asha"), "asha.crt")
	r.expect(ExitUsage, args("certs", "--dir", dir, "--instance", "c2"), "--host")
	r.expect(ExitUsage, args("certs", "--dir", dir, "--operator", "../x"))
	entry := r.expect(ExitOK, args("keygen", "--team", "kerala", "--out", key))
	r.expect(ExitUsage, args("keygen", "--team", "kerala", "--out", key), "exists")
	r.write("keys.yaml", "keys:\n"+entry)
	if _, err := operatorauth.New(r.path("keys.yaml"), logging.Discard()); err != nil {
		t.Error(err)
	}
	secret, err := os.ReadFile(key)
	if err != nil || strings.Contains(entry, strings.TrimSpace(string(secret))) {
		t.Errorf("the key is printed, or not readable: %v", err)
	}
	for _, f := range []string{key, dir + "/ca.key", dir + "/c1.key"} {
		if info, err := os.Stat(f); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: %v %v", f, info, err)
		}
	}
	for _, name := range []string{"c1", "asha"} {
		set := settings.TLS{CertFile: dir + "/" + name + ".crt", KeyFile: dir + "/" + name + ".key", CAFile: dir + "/ca.crt"}
		if _, err := peer.NewLinks(set, logging.Discard()); err != nil {
			t.Error(err)
		}
	}
}

// Guards against settings errors that do not name the file and line.
func TestSettingsFile(t *testing.T) {
	r := newRig(t)
	r.args = args("--config", r.write("ctl.yaml", "servers: [a]\nserver: b\n"))
	r.expect(ExitUsage, args("status"), "ctl.yaml:2", "server")
}
