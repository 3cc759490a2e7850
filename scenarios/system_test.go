package scenarios

import (
	"encoding/json"
	"net/http"

	"github.com/rogpeppe/go-internal/testscript"
)

// templateDir holds the settings of the system that most scripts use.
const templateDir = "templates"

// Names in that system: one control replica, the entries e1 and e2 and the
// targets t1 to t4 of service rota, in data centre n1.
var (
	systemPorts = []string{
		"CTL", "CTL_ADMIN", "PLATFORM", "T1", "T2", "T3", "T4", "T_ADMIN",
		"E1", "E1_PEER", "E1_GRPC", "E1_ADMIN", "E2", "E2_PEER", "E2_GRPC", "E2_ADMIN",
	}
	systemFiles = []string{
		"control.yaml", "e1.yaml", "e2.yaml", "platform.yaml", "targets.yaml",
		"section-platform.yaml", "section-shore.yaml", "load.yaml",
	}
)

// allTargetsHealthy matches the status of an entry that sees four targets and
// knows the dispatcher.
const allTargetsHealthy = `"dispatcher":"e[12]".*("status":"healthy".*){4}`

// system starts the system and waits until both entries serve. A script
// replaces a settings file by having a file of that name.
func cmdSystem(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 0, "system")
	cmdPorts(ts, false, systemPorts)
	cmdExpand(ts, false, systemFiles)
	cmdStart(ts, false, []string{"platform", "fescue-lab", "platform", "-c", "platform.yaml"})
	cmdStart(ts, false, []string{"targets", "fescue-lab", "target", "-c", "targets.yaml"})
	cmdStart(ts, false, []string{"control", "fescue-control", "-c", "control.yaml"})
	cmdStart(ts, false, []string{"e1", "fescue-entry", "-c", "e1.yaml"})
	cmdStart(ts, false, []string{"e2", "fescue-entry", "-c", "e2.yaml"})
	for _, entry := range []string{"E1_ADMIN", "E2_ADMIN"} {
		admin := "http://" + ts.Getenv(entry)
		cmdWaitHTTP(ts, false, []string{admin + "/healthz"})
		cmdWaitHTTP(ts, false, []string{admin + "/status", allTargetsHealthy})
	}
}

// dispatcher SERVICE sets DISPATCHER and OTHER to the names of the entries.
func cmdDispatcher(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 1, "dispatcher SERVICE")
	var status struct {
		Services []struct{ Service, Dispatcher string }
	}
	resp, err := shortClient.Get("http://" + ts.Getenv("E1_ADMIN") + "/status")
	ts.Check(err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("status of e1: %s", resp.Status)
	}
	ts.Check(json.NewDecoder(resp.Body).Decode(&status))
	other := map[string]string{"e1": "e2", "e2": "e1"}
	for _, s := range status.Services {
		if s.Service == args[0] && other[s.Dispatcher] != "" {
			ts.Setenv("DISPATCHER", s.Dispatcher)
			ts.Setenv("OTHER", other[s.Dispatcher])
			return
		}
	}
	ts.Fatalf("no dispatcher of service %s in %+v", args[0], status)
}
