package example_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/lab/example"
	"github.com/fescuejunction/fescuejunction/internal/lab/platform"
	"github.com/fescuejunction/fescuejunction/internal/lab/target"
	"github.com/fescuejunction/fescuejunction/internal/process/control/controlmain"
	"github.com/fescuejunction/fescuejunction/internal/process/entry"
	"github.com/fescuejunction/fescuejunction/internal/process/operator"
)

const committed = "../../../examples"

func load[T any, P interface {
	*T
	settings.Checker
}](t *testing.T, d example.Deployment, name string) T {
	t.Helper()
	var out T
	if err := settings.Load(filepath.Join(committed, d.Name, name), P(&out)); err != nil {
		t.Error(err)
	}
	return out
}

// Guards against committed examples that differ from what the program writes.
func TestCommittedFilesMatchGenerated(t *testing.T) {
	for _, d := range example.All() {
		want, err := d.Files()
		if err != nil {
			t.Fatal(err)
		}
		found, err := os.ReadDir(filepath.Join(committed, d.Name))
		if err != nil {
			t.Fatal(err)
		}
		if len(found) != len(want) {
			t.Errorf("%s: %d files, want %d; run fescue-lab examples", d.Name, len(found), len(want))
		}
		for name, text := range want {
			got, err := os.ReadFile(filepath.Join(committed, d.Name, name))
			if err != nil || string(got) != text {
				t.Errorf("%s/%s is not what fescue-lab examples writes (error %v)", d.Name, name, err)
			}
		}
	}
}

// Guards against sections that fescuectl rejects as invalid.
func TestSectionsValid(t *testing.T) {
	for _, d := range example.All() {
		dir := filepath.Join(committed, d.Name)
		var out bytes.Buffer
		app := operator.App{Stdout: &out, Stderr: &out}
		args := []string{"validate", "--local", "--file", filepath.Join(dir, "platform.section.yaml"),
			"--file", filepath.Join(dir, d.Team+".section.yaml")}
		if code := app.Run(args); code != operator.ExitOK {
			t.Errorf("%s: exit code %d: %s", d.Name, code, out.String())
		}
	}
}

// Guards against settings that a program rejects as invalid, and against two
// listeners on one address.
func TestSettingsLoad(t *testing.T) {
	listeners := map[string]string{}
	listen := func(who string, addrs ...string) {
		for _, a := range addrs {
			if other := listeners[a]; other != "" {
				t.Errorf("%s and %s both listen on %s", who, other, a)
			}
			listeners[a] = who
		}
	}
	for _, d := range example.All() {
		regions := map[string]bool{}
		for _, c := range d.Control() {
			s := load[controlmain.Settings](t, d, c.ID+".yaml")
			listen(c.ID, s.GRPCAddr, s.AdminAddr)
			regions[s.Region] = true
			if s.Instance != c.ID || len(s.Replicas) != 3 {
				t.Errorf("%s: control replica %q has replicas %q", d.Name, s.Instance, s.Replicas)
			}
		}
		if len(regions) != 3 {
			t.Errorf("%s: control replicas in %d regions, want 3", d.Name, len(regions))
		}
		for _, e := range d.Entries() {
			s := load[entry.Settings](t, d, "entry-"+e.ID+".yaml")
			listen(e.ID, s.CallerAddr, s.PeerAddr, s.GRPCAddr, s.AdminAddr)
		}
		load[operator.Config](t, d, "operator.yaml")
		listed := load[platform.Settings](t, d, "platform.yaml")
		targets := load[target.Settings](t, d, "targets.yaml")
		listen(d.Name+" platform", listed.Listen)
		for _, s := range targets.Targets {
			listen(s.ID, s.Listen)
		}
		checkSizes(t, d, listed, targets)
	}
}

// checkSizes compares a deployment with the sizes in section 1.6 of
// docs/design.md.
func checkSizes(t *testing.T, d example.Deployment, listed platform.Settings, targets target.Settings) {
	t.Helper()
	slots := map[string]int{"rota": 7, "swaps": 5, "handover": 3, "history": 7, "limits": 3, "samples": 3, "billing": 3, "archive": 3}
	entries, perPlace := map[string]int{}, map[string]int{}
	known := map[string]string{}
	for _, in := range listed.Instances {
		if in.Role == "entry" {
			entries[in.DataCentre]++
			continue
		}
		perPlace[in.Service+" "+in.DataCentre]++
		known[in.ID] = fmt.Sprint(in.Service, in.DataCentre, in.Address, in.Slots)
		if in.Slots != slots[in.Service] {
			t.Errorf("%s: %s has %d slots, want %d", d.Name, in.ID, in.Slots, slots[in.Service])
		}
	}
	counts := map[int]int{}
	for _, n := range entries {
		counts[n]++
	}
	if len(entries) != 6 || counts[1] != 3 || counts[2] != 3 {
		t.Errorf("%s: entries by data centre %v, want three with one and three with two", d.Name, entries)
	}
	if len(perPlace) != 4*6 || len(known) != 4*12 || len(targets.Targets) != 4*12 {
		t.Errorf("%s: %d places, %d targets listed, %d run; want 24, 48 and 48", d.Name, len(perPlace), len(known), len(targets.Targets))
	}
	for place, n := range perPlace {
		if n != 2 {
			t.Errorf("%s: %d targets at %s, want 2", d.Name, n, place)
		}
	}
	for _, s := range targets.Targets {
		if s.Connections != target.DefaultConnections || known[s.ID] != fmt.Sprint(s.Service, s.DataCentre, s.Listen, s.Slots) {
			t.Errorf("%s: target %+v differs from the platform's list: %s", d.Name, s, known[s.ID])
		}
	}
	section, err := os.ReadFile(filepath.Join(committed, d.Name, "platform.section.yaml"))
	if err != nil || strings.Count(string(section), "bytes_per_second: 500000000") != 6 {
		t.Errorf("%s: want six links of 500000000 bytes/s (error %v)", d.Name, err)
	}
}
