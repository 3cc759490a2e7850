package operatorauth

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/grpc/metadata"
)

func writeKeys(t *testing.T, file string, entries ...KeyEntry) {
	t.Helper()
	out := "keys:\n"
	for _, e := range entries {
		out += fmt.Sprintf("- {team: %s, key_sha256: %q}\n", e.Team, e.KeySHA256)
	}
	if err := os.WriteFile(file, []byte(out), 0o600); err != nil {
		t.Fatal(err)
	}
}

func callWith(values ...string) context.Context {
	md := metadata.MD{}
	md.Append(authorizationKey, values...)
	return metadata.NewIncomingContext(context.Background(), md)
}

func newKey(t *testing.T, team string) (string, KeyEntry) {
	t.Helper()
	key, e, err := NewKey(team)
	if err != nil {
		t.Fatal(err)
	}
	return key, e
}

// Guards against a key that is accepted for a different team, against stored hashes
// that are accepted as keys, and against keys that appear in the log.
func TestTeam(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.yaml")
	kerala, k := newKey(t, "kerala")
	cascadia, c := newKey(t, "cascadia")
	stranger, _ := newKey(t, "kerala")
	writeKeys(t, file, k, c)
	var log bytes.Buffer
	a, err := New(file, logging.New(&log, "debug", "test", "i"))
	if err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct {
		values []string
		team   string
	}{
		"kerala":     {[]string{bearerPrefix + kerala}, "kerala"},
		"cascadia":   {[]string{bearerPrefix + cascadia}, "cascadia"},
		"stranger":   {[]string{bearerPrefix + stranger}, ""},
		"hash":       {[]string{bearerPrefix + k.KeySHA256}, ""},
		"prefix":     {[]string{bearerPrefix + kerala[:40]}, ""},
		"no scheme":  {[]string{kerala}, ""},
		"empty":      {[]string{bearerPrefix}, ""},
		"two keys":   {[]string{bearerPrefix + kerala, bearerPrefix + cascadia}, ""},
		"no key":     {nil, ""},
		"key in url": {[]string{"Basic " + kerala}, ""},
	} {
		team, err := a.Team(callWith(tc.values...))
		if team != tc.team || (err == nil) != (tc.team != "") {
			t.Errorf("%s: team %q, error %v", name, team, err)
		}
		if err != nil && (errkind.Of(err) != errkind.Unauthenticated || strings.Contains(err.Error(), kerala[:40])) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if strings.Contains(log.String()+fmt.Sprintf("%v %+v %#v", CallCredentials{Key: kerala}, CallCredentials{Key: kerala}, CallCredentials{Key: kerala}), kerala) {
		t.Error("the key appears in the log or in formatted credentials")
	}
	if CheckSectionOwner("kerala", "cascadia") == nil || CheckSectionOwner("kerala", "kerala") != nil || CheckPlatformTeam("kerala") == nil {
		t.Error("a team may change the section of another team or act as the platform team")
	}
}

// Guards against a removed key that is still accepted, and against an invalid keys
// file that locks out all operators.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.yaml")
	old, o := newKey(t, "kerala")
	next, n := newKey(t, "kerala")
	writeKeys(t, file, o)
	a, err := New(file, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte("keys: [{team: kerala, key_sha256: ab}]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1100 * time.Millisecond)
	if _, err := a.Team(callWith(bearerPrefix + old)); err != nil {
		t.Errorf("earlier key with an invalid file: %v", err)
	}
	writeKeys(t, file, n)
	time.Sleep(1100 * time.Millisecond)
	if _, err := a.Team(callWith(bearerPrefix + next)); err != nil {
		t.Errorf("new key: %v", err)
	}
	if _, err := a.Team(callWith(bearerPrefix + old)); err == nil {
		t.Error("the removed key is still accepted")
	}
}

// Guards against a keys file in which two teams have the same key.
func TestSharedKeyIsRefused(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.yaml")
	_, e := newKey(t, "kerala")
	writeKeys(t, file, e, KeyEntry{Team: "cascadia", KeySHA256: e.KeySHA256})
	if _, err := New(file, logging.Discard()); errkind.Of(err) != errkind.InvalidSettings {
		t.Errorf("error %v, want invalid settings", err)
	}
}
