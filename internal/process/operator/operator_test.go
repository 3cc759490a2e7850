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

// runExpect runs fescuectl, checks the exit code and that the output contains the
// substrings, and returns the standard output.
func (h *harness) runExpect(code int, args []string, substrings ...string) string {
	h.t.Helper()
	got, stdout, stderr := h.run(args...)
	if got != code {
		h.t.Errorf("%q: exit code %d, want %d\n%s%s", args, got, code, stdout, stderr)
	}
	for _, p := range substrings {
		if !strings.Contains(stdout+stderr, p) {
			h.t.Errorf("%q: no %q in\n%s%s", args, p, stdout, stderr)
		}
	}
	return stdout
}

func argList(values ...string) []string { return values }

// Guards against an apply that overwrites another operator's change, and against
// a conflict error that does not name the change that was accepted first.
func TestApplyConflict(t *testing.T) {
	h := newHarness(t)
	file := h.write("new.yaml", strings.Replace(keralaYAML, "cap: 40", "cap: 50", 1))
	h.runExpect(ExitConflict, argList("apply", file, "--expect-revision", "0"), "revision 1", `"asha"`, "k1")
	h.runExpect(ExitOK, argList("apply", file, "--expect-revision", "1"), "revision 2")
	h.runExpect(ExitConflict, argList("apply", file, "--expect-revision", "1", "--output", "json"), `"exit_code": 3`)
	h.runExpect(ExitInvalid, argList("apply", h.write("bad.yaml", "team: kerala\nservicez: []\n")), "bad.yaml:2", "servicez")
	if h.applied != 1 {
		t.Errorf("%d changes applied, want 1", h.applied)
	}
}

// Guards against a change that is applied twice because its reply was lost, and
// against an error that does not tell the operator how to repeat the change.
func TestApplyAfterLostReply(t *testing.T) {
	h := newHarness(t)
	file := h.write("new.yaml", keralaYAML)
	h.lostReplies = 1
	h.runExpect(ExitOK, argList("apply", file), "had been accepted before", "revision 2", "change id ")
	h.lostReplies, h.noLeader = 1, true
	h.runExpect(ExitUnreachable, argList("apply", file, "--change-id", "x9", "--expect-revision", "2"), "outcome is unknown", "--change-id x9 --expect-revision 2")
	h.noLeader = false
	h.runExpect(ExitOK, argList("apply", file, "--change-id", "x9", "--expect-revision", "2"), "revision 3")
	h.runExpect(ExitOK, argList("apply", file, "--change-id", "x9", "--expect-revision", "2"), "had been accepted before", "revision 3")
	if h.applied != 2 {
		t.Errorf("%d changes applied, want 2", h.applied)
	}
}

// Guards against --wait succeeding while a live instance acts on an old version,
// and against --wait failing because of an instance that is not alive.
func TestApplyWait(t *testing.T) {
	h := newHarness(t)
	file := h.write("new.yaml", keralaYAML)
	h.versionsBehind["kochi-1b"] = 1 // not alive
	h.runExpect(ExitOK, argList("apply", file, "--wait"), "in force at all live instances")
	h.versionsBehind["leh-1a"] = 1
	h.runExpect(ExitNotInForce, argList("apply", file, "--wait", "--wait-limit", "300ms"), "not in force", "leh-1a")
	out := h.runExpect(ExitNotInForce, argList("apply", file, "--wait", "--wait-limit", "300ms", "--output", "json"), `"leh-1a"`, `"exit_code": 4`)
	if strings.Count(out, "exit_code") != 1 {
		t.Errorf("more than one JSON document: %s", out)
	}
	h.statusLag = 1 // the server does not know the version of the change yet
	h.runExpect(ExitNotInForce, argList("apply", file, "--wait", "--wait-limit", "300ms"), "status is of version")
}

// Guards against --wait ignoring the entries that were connected to a control
// replica that has just stopped answering, and against --wait never succeeding because an
// entry is down.
func TestApplyWaitForEntriesWithoutReport(t *testing.T) {
	h := newHarness(t)
	file := h.write("new.yaml", keralaYAML)
	h.replicaSilent = true
	h.runExpect(ExitNotInForce, argList("apply", file, "--wait", "--wait-limit", "300ms"), "missing: kochi-1b, kochi-2b, leh-1b")
	h.runExpect(ExitOK, argList("apply", file, "--wait", "--wait-limit", "5s"), "in force at all live instances")
}

// Guards against changes by an operator of another team and calls without a valid
// key.
func TestUnauthorizedOperator(t *testing.T) {
	h := newHarness(t)
	file := h.write("new.yaml", keralaYAML)
	h.args[len(h.args)-1] = h.path("cascadia.key")
	h.runExpect(ExitRefused, argList("apply", file), "may not change the section")
	h.args[len(h.args)-1] = h.write("bad.key", "nonsense")
	h.runExpect(ExitRefused, argList("get"), "unauthenticated")
	h.args[len(h.args)-1] = h.path("absent")
	h.runExpect(ExitUsage, argList("get"), "absent")
}

// Guards against a drain command that drops comments or other parts of the
// section, or that reports a drain that was not applied.
func TestDrain(t *testing.T) {
	h := newHarness(t)
	drain := argList("drain", "--service", "rota", "--data-centre", "kochi-1")
	h.runExpect(ExitOK, append(drain, "--wait"), "revision 2", "in force")
	text := h.runExpect(ExitOK, argList("get"), "# chairs of the coast", "# the coast", "data_centre: kochi-1")
	if !strings.Contains(text, "drains:") {
		t.Errorf("no drain in %s", text)
	}
	h.runExpect(ExitInvalid, drain, "already")
	h.runExpect(ExitOK, argList("explain", "--service", "rota", "--shift", "coast", "--data-centre", "kochi-1"),
		"1. kochi-1 (same data centre): drained", "goes to dispatcher kochi-2a", "kochi-2b (not heard)")
	h.runExpect(ExitOK, append(drain, "--remove"), "revision 3")
	h.runExpect(ExitInvalid, append(drain, "--remove"), "no such drain")
	h.runExpect(ExitOK, argList("explain", "--service", "rota", "--shift", "coast", "--data-centre", "kochi-1"), "goes to dispatcher kochi-1a")
	h.runExpect(ExitUsage, argList("drain"))
	h.runExpect(ExitUsage, argList("drain", "--target", "rota-1"), "--service")
}

// Guards against a status without the pending caps, without a warning that the
// leader did not answer, without drained instances, or without the age of the
// last report of each instance.
func TestStatus(t *testing.T) {
	h := newHarness(t)
	h.runExpect(ExitOK, argList("status"), "the leader did not answer", "1.5s ago", "never")
	h.mu.Lock()
	h.pending = []*fescuepb.PendingCap{
		{Shift: "coast", OldCap: 40, NewCap: 8, Missing: []string{"leh-1a", "leh-1b"}}, {Shift: "hills", OldCap: 9, NewCap: 3},
	}
	h.sections["platform"].Yaml = []byte(platformYAML + "drains: [{instance: kochi-2a}]\n")
	h.mu.Unlock()
	text := h.runExpect(ExitOK, argList("status"), "shift coast from 40 to 8: not acknowledged by leh-1a, leh-1b", "shift hills from 9 to 3: every holder", "drained")
	if strings.Contains(text, "did not answer") {
		t.Error(text)
	}
	h.runExpect(ExitOK, argList("status", "--output", "json"), `"new_cap": 8`, `"leh-1b"`, `"missing": []`, `"last_heard_ms": null`, `"drained": true`)
}

// Guards against quarantined requests that operators do not see or cannot release.
func TestRelease(t *testing.T) {
	h := newHarness(t)
	h.suspects = []*fescuepb.Suspect{
		{Id: "0000000000000001", Crashes: []string{"a/1", "b/1", "c/1"}, Trials: 2}, {Id: "0000000000000002", Crashes: []string{"a/1"}},
	}
	h.runExpect(ExitOK, argList("status"), "quarantined request 0000000000000001: 3 targets crashed, 2 trials", "suspect request 0000000000000002: 1 targets")
	h.runExpect(ExitOK, argList("status", "--output", "json"), `"quarantined": true`, `"b/1"`)
	h.runExpect(ExitUsage, argList("release"), "--fingerprint")
	h.runExpect(ExitOK, argList("release", "--fingerprint", "0000000000000001"), "version 9")
	h.runExpect(ExitInvalid, argList("release", "--fingerprint", "0000000000000001"), "is no suspect")
	if text := h.runExpect(ExitOK, argList("status")); strings.Contains(text, "quarantined") {
		t.Error(text)
	}
}

// Guards against read-only commands whose output differs from the document on the
// server, and against wrong exit codes of these commands.
func TestReadOnlyCommands(t *testing.T) {
	h := newHarness(t)
	changed := h.write("new.yaml", strings.Replace(keralaYAML, "cap: 40", "cap: 50", 1))
	wrong := h.write("wrong.yaml", strings.Replace(keralaYAML, "kochi-1]", "goa-1]", 1))
	for _, tc := range []struct {
		code       int
		args       []string
		substrings []string
	}{
		{ExitOK, argList("validate", changed), argList("valid")},
		{ExitInvalid, argList("validate", wrong), argList("wrong.yaml:5", "services[0].data_centres[2]", "goa-1")},
		{ExitInvalid, argList("validate", changed, "--local"), argList("kochi-1")},
		{ExitOK, argList("validate", "--local", "--file", changed, "--file", h.write("p.yaml", platformYAML)), argList("valid")},
		{ExitOK, argList("diff", changed), argList("-shifts: [{name: coast, cap: 40}]", "+shifts: [{name: coast, cap: 50}]", " services:")},
		{ExitOK, argList("diff", h.write("same.yaml", keralaYAML)), argList("no difference from revision 1")},
		{ExitOK, argList("get", "--all", "--output", "json"), argList(`"version": 2`, `"team": "platform"`)},
		{ExitOK, argList("history"), argList("revision 1 by asha")},
		{ExitOK, argList("status"), argList("version 2", "kochi-1a", "not heard")},
		{ExitOK, argList("status", "--output", "json"), argList(`"instance": "leh-1b"`, `"alive": false`)},
		{ExitOK, argList("explain", "--service", "rota", "--method", "POST", "--path", "/swaps/1", "--shift", "coast", "--data-centre", "leh-1"),
			argList("route /swaps", "at most once true", "goes to dispatcher leh-1a in leh-1")},
		{ExitOK, argList("explain", "--service", "rota", "--shift", "moon", "--data-centre", "leh-1"), argList(`rejected: shift "moon"`)},
		{ExitUsage, argList("status", "--output", "xml"), argList("xml")},
		{ExitUsage, argList("status", "--bogus"), nil},
		{ExitUsage, argList("apply"), nil},
	} {
		h.runExpect(tc.code, tc.args, tc.substrings...)
	}
	h.noLeader = true
	h.runExpect(ExitUnreachable, argList("get", "--timeout", "300ms"), "no server of")
}

// Guards against exit codes that differ from the documented ones, which scripts
// rely on.
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

// Guards against certificates and keys that the servers reject, and against
// secrets that other users can read or that are printed.
func TestCertsAndKeygen(t *testing.T) {
	h := &harness{t: t, dir: t.TempDir()}
	dir, key := h.path("pki"), h.path("kerala.key")
	h.runExpect(ExitOK, argList("certs", "--dir", dir))
	h.runExpect(ExitOK, argList("certs", "--dir", dir, "--instance", "c1", "--host", "127.0.0.1"), "c1.key")
	h.runExpect(ExitOK, argList("certs", "--dir", dir, "--operator", "asha"), "asha.crt")
	h.runExpect(ExitUsage, argList("certs", "--dir", dir, "--instance", "c2"), "--host")
	h.runExpect(ExitUsage, argList("certs", "--dir", dir, "--operator", "../x"))
	entry := h.runExpect(ExitOK, argList("keygen", "--team", "kerala", "--out", key))
	h.runExpect(ExitUsage, argList("keygen", "--team", "kerala", "--out", key), "exists")
	h.write("keys.yaml", "keys:\n"+entry)
	if _, err := operatorauth.New(h.path("keys.yaml"), logging.Discard()); err != nil {
		t.Error(err)
	}
	secret, err := os.ReadFile(key)
	if err != nil || strings.Contains(entry, strings.TrimSpace(string(secret))) {
		t.Errorf("the key was printed or could not be read: %v", err)
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
	h := newHarness(t)
	h.args = argList("--config", h.write("ctl.yaml", "servers: [a]\nserver: b\n"))
	h.runExpect(ExitUsage, argList("status"), "ctl.yaml:2", "server")
}
