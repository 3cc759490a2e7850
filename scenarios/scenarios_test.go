// Package scenarios runs the acceptance scripts in scripts/ against the real
// binaries. Each script starts its own processes on loopback ports.
package scenarios

import (
	"cmp"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// parallelScripts bounds the scripts that run at once, so that the load of
// one does not disturb the times of another.
const parallelScripts = "3"

// binDir holds the binaries that TestMain built.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	if !flagSet("test.parallel") {
		_ = flag.Set("test.parallel", parallelScripts)
	}
	os.Exit(runTests(m))
}

func flagSet(name string) bool {
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	return set
}

func runTests(m *testing.M) int {
	if testing.Short() {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "fescue-scenarios")
	if err == nil {
		defer os.RemoveAll(dir)
		binDir = dir
		err = build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "scenarios:", err)
		return 1
	}
	return m.Run()
}

// build compiles every program of the repository once.
func build(dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if os.Getenv("SCENARIO_RACE") != "" {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/...")...)
	cmd.Dir = ".."
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return cmd.Run()
}

// TestScenarios guards the guarantees of the design page, each script the
// ones that its first comment names.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios start real processes")
	}
	statSources(t)
	run(t, "scripts")
}

// TestExperiments runs the measurements of docs/MEASUREMENTS.md. They take
// minutes and want a quiet machine, so they run only on request.
func TestExperiments(t *testing.T) {
	if os.Getenv("FESCUE_EXPERIMENTS") == "" {
		t.Skip("set FESCUE_EXPERIMENTS=1 to run the measurements")
	}
	run(t, "experiments")
}

func run(t *testing.T, dir string) {
	testscript.Run(t, testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               setup,
		Cmds:                commands,
		Condition:           condition,
	})
}

// statSources calls Stat on the sources of the programs, so that go test runs
// the scenarios again after a change to them. Its result cache tracks only the
// files that the test process itself accesses.
func statSources(t *testing.T) {
	for _, dir := range []string{"../api", "../cmd", "../internal"} {
		err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err == nil {
				_, err = os.Stat(path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// condition knows [program:NAME], true if the repository has that program.
func condition(name string) (bool, error) {
	var program string
	if _, err := fmt.Sscanf(name, "program:%s", &program); err != nil {
		return false, fmt.Errorf("unknown condition %q", name)
	}
	_, err := os.Stat(filepath.Join(binDir, program))
	return err == nil, nil
}

func setup(env *testscript.Env) error {
	env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Setenv("RESTARTS", cmp.Or(os.Getenv("RESTARTS"), "200"))
	env.Setenv("RESTART_PAUSE", cmp.Or(os.Getenv("RESTART_PAUSE"), "0s"))
	procs := &processes{byName: map[string]*process{}, raw: map[string]*rawExchange{}}
	env.Values[processesKey{}] = procs
	env.Defer(procs.killAll)
	return nil
}
