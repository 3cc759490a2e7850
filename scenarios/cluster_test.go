package scenarios

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Names in the system with three control replicas: c1 to c3, the entries e1
// and e2 in data centre n1, and the targets of templates/. The operators of
// the teams use ctl-platform.yaml and ctl-shore.yaml.
var (
	replicaNames = []string{"c1", "c2", "c3"}
	clusterPorts = []string{
		"C1", "C1_ADMIN", "C2", "C2_ADMIN", "C3", "C3_ADMIN", "PLATFORM", "T_ADMIN", "T1", "T2", "T3", "T4",
		"E1", "E1_PEER", "E1_GRPC", "E1_ADMIN", "E2", "E2_PEER", "E2_GRPC", "E2_ADMIN",
	}
	clusterFiles = []string{
		"c1.yaml", "c2.yaml", "c3.yaml", "e1.yaml", "e2.yaml", "platform.yaml", "targets.yaml",
		"section-platform.yaml", "section-shore.yaml", "ctl-platform.yaml", "ctl-shore.yaml",
	}
	teams = []string{"platform", "shore"}
)

// electionLimit bounds the wait for a leader. An election takes about 1 s.
const electionLimit = 20 * time.Second

func init() {
	commands["cluster"] = cmdCluster
	commands["leader"] = cmdLeader
	commands["source"] = cmdSource
	commands["exits"] = cmdExits
	commands["race"] = cmdRace
	commands["change"] = cmdChange
	commands["first"] = cmdFirst
	commands["monotonic"] = cmdMonotonic
	commands["damage"] = cmdDamage
}

// cluster [ENTRY...] starts three control replicas, and the platform, the
// targets and the entries if any are named, and waits until they are ready.
func cmdCluster(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg, "cluster [ENTRY...]")
	ts.Setenv("TARGETS", "4")
	cmdPorts(ts, false, clusterPorts)
	ts.Setenv("CONTROL", fmt.Sprintf("%q, %q, %q", ts.Getenv("C1"), ts.Getenv("C2"), ts.Getenv("C3")))
	cmdExpand(ts, false, clusterFiles)
	makeKeys(ts)
	for _, name := range replicaNames {
		cmdStart(ts, false, []string{name, "fescue-control", "-c", name + ".yaml"})
	}
	for _, name := range replicaNames {
		cmdWaitHTTP(ts, false, []string{"http://" + ts.Getenv(strings.ToUpper(name)+"_ADMIN") + "/healthz"})
	}
	waitSections(ts)
	if len(args) == 0 {
		return
	}
	cmdStart(ts, false, []string{"platform", "fescue-lab", "platform", "-c", "platform.yaml"})
	cmdStart(ts, false, []string{"targets", "fescue-lab", "target", "-c", "targets.yaml"})
	for _, name := range args {
		cmdStart(ts, false, []string{name, "fescue-entry", "-c", name + ".yaml"})
	}
	cmdWaitEntry(ts, false, args)
}

// makeKeys makes the operator key TEAM.key of each team and keys.yaml.
func makeKeys(ts *testscript.TestScript) {
	keys := []byte("keys:\n")
	for _, team := range teams {
		out, code := runProgram(ts, "fescuectl", "keygen", "--team", team, "--out", team+".key")
		if code != 0 {
			ts.Fatalf("keygen: exit code %d: %s", code, out.combined())
		}
		keys = append(keys, out.stdout.Bytes()...)
	}
	ts.Check(os.WriteFile(ts.MkAbs("keys.yaml"), keys, 0o644))
}

// waitSections waits until the initial document is loaded.
func waitSections(ts *testscript.TestScript) {
	var last string
	if !poll(defaultWait, func() bool {
		// The section of shore is loaded after that of the platform.
		out, code := runProgram(ts, "fescuectl", "--config", "ctl-shore.yaml", "get")
		last = out.combined()
		return code == 0 && strings.Contains(last, "team shore revision 1 ")
	}) {
		failWithLogs(ts, "initial document not loaded within %s; last: %s", defaultWait, last)
	}
}

// output is what a program printed.
type output struct{ stdout, stderr bytes.Buffer }

func (o *output) combined() string { return o.stdout.String() + o.stderr.String() }

// runProgram runs a program to its end and returns its output and exit code.
func runProgram(ts *testscript.TestScript, name string, args ...string) (*output, int) {
	cmd := exec.Command(filepath.Join(binDir, name), args...)
	cmd.Dir = ts.MkAbs(".")
	out := &output{}
	cmd.Stdout, cmd.Stderr = &out.stdout, &out.stderr
	err := cmd.Run()
	var ended *exec.ExitError
	if err != nil && !errors.As(err, &ended) {
		ts.Fatalf("%s: %v", name, err)
	}
	return out, cmd.ProcessState.ExitCode()
}

// exits CODE PROGRAM ARGS... runs a program that must end with the code.
func cmdExits(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 2, "exits CODE PROGRAM ARGS...")
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	out, code := runProgram(ts, args[1], args[2:]...)
	_, _ = ts.Stdout().Write(out.stdout.Bytes())
	_, _ = ts.Stderr().Write(out.stderr.Bytes())
	if code != want {
		failWithLogs(ts, "%s: exit code %d, want %d; output: %s", strings.Join(args[1:], " "), code, want, out.combined())
	}
}

// leader sets LEADER and FOLLOWER to the names of the leader and of another
// replica that runs, and LEADER_ADDR, LEADER_ADMIN, FOLLOWER_ADDR and
// FOLLOWER_ADMIN to their addresses.
func cmdLeader(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 0, "leader")
	leader := ""
	if !poll(electionLimit, func() bool {
		leader = findLeader(ts)
		return leader != "" && !findProcess(ts, leader).ended()
	}) {
		failWithLogs(ts, "no leader within %s", electionLimit)
	}
	follower := slices.IndexFunc(replicaNames, func(name string) bool {
		return name != leader && !findProcess(ts, name).ended()
	})
	if follower < 0 {
		failWithLogs(ts, "no follower runs beside the leader %s", leader)
	}
	for role, name := range map[string]string{"LEADER": leader, "FOLLOWER": replicaNames[follower]} {
		ts.Setenv(role, name)
		ts.Setenv(role+"_ADDR", ts.Getenv(strings.ToUpper(name)))
		ts.Setenv(role+"_ADMIN", ts.Getenv(strings.ToUpper(name)+"_ADMIN"))
	}
}

// findLeader returns the leader that a healthy replica names, or "".
func findLeader(ts *testscript.TestScript) string {
	for _, name := range replicaNames {
		admin := "http://" + ts.Getenv(strings.ToUpper(name)+"_ADMIN")
		var st struct{ Leader string }
		if !getJSON(admin+"/healthz", nil) || !getJSON(admin+"/status", &st) {
			continue
		}
		if leader := replicaNameAt(ts, st.Leader); leader != "" {
			return leader
		}
	}
	return ""
}

func replicaNameAt(ts *testscript.TestScript, addr string) string {
	for _, name := range replicaNames {
		if ts.Getenv(strings.ToUpper(name)) == addr {
			return name
		}
	}
	return ""
}

// getJSON reports whether a GET answers 200, with a body for out unless that
// is nil.
func getJSON(url string, out any) bool {
	resp, err := shortClient.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && (out == nil || json.NewDecoder(resp.Body).Decode(out) == nil)
}

// source ENTRY sets SOURCE to the control replica that an entry follows.
func cmdSource(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 1, "source ENTRY")
	name := replicaNameAt(ts, lastFollowedSource(ts, args[0]))
	if name == "" {
		failWithLogs(ts, "%s follows no control replica", args[0])
	}
	ts.Setenv("SOURCE", name)
}

func lastFollowedSource(ts *testscript.TestScript, entry string) string {
	source := ""
	for _, line := range logLines(ts, entry, "following source") {
		source = line.Source
	}
	return source
}

// logLine is the part of a log line that the commands read.
type logLine struct {
	Msg     string
	Source  string
	Version uint64
}

func logLines(ts *testscript.TestScript, process, msg string) []logLine {
	data, err := os.ReadFile(ts.MkAbs(process + ".log"))
	ts.Check(err)
	var out []logLine
	for line := range bytes.Lines(data) {
		var l logLine
		if json.Unmarshal(line, &l) == nil && l.Msg == msg {
			out = append(out, l)
		}
	}
	return out
}

// race ARGS... runs fescuectl apply for a.yaml and b.yaml with the arguments
// at the same time. Exactly one must be accepted and the other end with exit
// code 3. It sets WINNER and LOSER to the files and prints the loser's output.
func cmdRace(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg, "race ARGS...")
	files := []string{"a.yaml", "b.yaml"}
	outs, codes := make([]*output, 2), make([]int, 2)
	var wg sync.WaitGroup
	for i, file := range files {
		wg.Go(func() {
			line := append([]string{"--config", "ctl-shore.yaml", "apply", file}, args...)
			outs[i], codes[i] = runProgram(ts, "fescuectl", line...)
		})
	}
	wg.Wait()
	winner := slices.Index(codes, 0)
	if winner < 0 || codes[1-winner] != 3 {
		failWithLogs(ts, "exit codes %v, want one 0 and one 3; output: %s%s", codes, outs[0].combined(), outs[1].combined())
	}
	ts.Setenv("WINNER", files[winner])
	ts.Setenv("LOSER", files[1-winner])
	_, _ = ts.Stdout().Write([]byte(outs[1-winner].combined()))
}

var capRE = regexp.MustCompile(`north-guards, cap: \d+`)

// change CAP [-n COUNT] [-w LIMIT] [ENTRY...] sets the cap of a shift to CAP,
// CAP+1 and so on, COUNT times, by fescuectl. With a limit, each change must be
// in force at all live instances within it, as fescuectl and then the entries
// themselves say. It sets VERSION and REVISION to those of the last change.
func cmdChange(ts *testscript.TestScript, neg bool, args []string) {
	const text = "change CAP [-n COUNT] [-w LIMIT] [ENTRY...]"
	usage(ts, !neg && len(args) >= 1, text)
	first, err := strconv.Atoi(args[0])
	ts.Check(err)
	count, limit := 1, ""
	rest := args[1:]
	for len(rest) >= 2 && strings.HasPrefix(rest[0], "-") {
		switch rest[0] {
		case "-n":
			count, err = strconv.Atoi(rest[1])
			ts.Check(err)
		case "-w":
			limit = rest[1]
		default:
			usage(ts, false, text)
		}
		rest = rest[2:]
	}
	for i := range count {
		applyCap(ts, first+i, limit, rest)
	}
}

func applyCap(ts *testscript.TestScript, limitCap int, limit string, entries []string) {
	section := capRE.ReplaceAllString(ts.ReadFile("section-shore.yaml"), fmt.Sprintf("north-guards, cap: %d", limitCap))
	ts.Check(os.WriteFile(ts.MkAbs("changed.yaml"), []byte(section), 0o644))
	line := []string{"--config", "ctl-shore.yaml", "--output", "json", "apply", "changed.yaml"}
	if limit != "" {
		line = append(line, "--wait", "--wait-limit", limit)
	}
	out, code := runProgram(ts, "fescuectl", line...)
	var result struct{ Version, Revision uint64 }
	if code != 0 || json.Unmarshal(out.stdout.Bytes(), &result) != nil {
		failWithLogs(ts, "change to cap %d: exit code %d: %s", limitCap, code, out.combined())
	}
	ts.Setenv("VERSION", strconv.FormatUint(result.Version, 10))
	ts.Setenv("REVISION", strconv.FormatUint(result.Revision, 10))
	for _, name := range entries {
		var st struct{ Version uint64 }
		if !getJSON("http://"+ts.Getenv(strings.ToUpper(name)+"_ADMIN")+"/status", &st) || st.Version < result.Version {
			failWithLogs(ts, "%s acts on version %d after version %d was reported in force", name, st.Version, result.Version)
		}
	}
}

// first NAME... checks that the versions that a process put in force are not
// older than VERSION and never go back.
func cmdFirst(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) > 0, "first NAME...")
	version, err := strconv.ParseUint(ts.Getenv("VERSION"), 10, 64)
	ts.Check(err)
	checkVersions(ts, version, args)
}

// monotonic NAME... checks that the versions that a process put in force never
// go back.
func cmdMonotonic(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) > 0, "monotonic NAME...")
	checkVersions(ts, 0, args)
}

func checkVersions(ts *testscript.TestScript, least uint64, names []string) {
	for _, name := range names {
		lines := logLines(ts, name, "version in force")
		if len(lines) == 0 {
			failWithLogs(ts, "%s put no version in force", name)
		}
		highest := least
		for _, l := range lines {
			if l.Version < highest {
				failWithLogs(ts, "%s put version %d in force, after or instead of version %d", name, l.Version, highest)
			}
			highest = l.Version
		}
	}
}

// damage DIR inverts one byte in the middle of the log in a data directory.
func cmdDamage(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 1, "damage DIR")
	files, err := filepath.Glob(filepath.Join(ts.MkAbs(args[0]), "log", "*.wal"))
	ts.Check(err)
	if len(files) == 0 {
		ts.Fatalf("no log in %s", args[0])
	}
	file := files[len(files)-1]
	data, err := os.ReadFile(file)
	ts.Check(err)
	data[len(data)/2] ^= 0xff
	ts.Check(os.WriteFile(file, data, 0o644))
}
