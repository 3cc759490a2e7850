package scenarios

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// templateDir holds the settings of the system that most scripts use.
const templateDir = "templates"

// Names in that system: one control replica, the entries e1 and e2 and the
// targets t1 to t4 of service rota, in data centre n1. A script that brings
// its own platform.yaml and targets.yaml may use the ports up to T12.
var (
	systemPorts = []string{
		"CTL", "CTL_ADMIN", "PLATFORM", "T_ADMIN",
		"T1", "T2", "T3", "T4", "T5", "T6", "T7", "T8", "T9", "T10", "T11", "T12",
		"E1", "E1_PEER", "E1_GRPC", "E1_ADMIN", "E2", "E2_PEER", "E2_GRPC", "E2_ADMIN",
	}
	systemFiles = []string{
		"control.yaml", "e1.yaml", "e2.yaml", "platform.yaml", "targets.yaml",
		"section-platform.yaml", "section-shore.yaml", "load.yaml",
	}
)

// allHealthyPattern matches the status of an entry that knows the dispatcher
// and the given number of healthy targets.
const allHealthyPattern = `"dispatcher":"e[12]".*("status":"healthy".*){%s}`

// system [TARGETS] starts the system and waits until both entries serve and
// see the targets, 4 if no number is given. A script replaces a settings file
// by having a file of that name.
func cmdSystem(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) <= 1, "system [TARGETS]")
	ts.Setenv("TARGETS", "4")
	if len(args) == 1 {
		ts.Setenv("TARGETS", args[0])
	}
	cmdPorts(ts, false, systemPorts)
	ts.Setenv("CONTROL", strconv.Quote(ts.Getenv("CTL")))
	cmdExpand(ts, false, systemFiles)
	cmdStart(ts, false, []string{"platform", "fescue-lab", "platform", "-c", "platform.yaml"})
	cmdStart(ts, false, []string{"targets", "fescue-lab", "target", "-c", "targets.yaml"})
	cmdStart(ts, false, []string{"control", "fescue-control", "-c", "control.yaml"})
	cmdStart(ts, false, []string{"e1", "fescue-entry", "-c", "e1.yaml"})
	cmdStart(ts, false, []string{"e2", "fescue-entry", "-c", "e2.yaml"})
	cmdWaitEntry(ts, false, []string{"e1", "e2"})
	for _, shift := range []string{"north-guards", "south-guards"} {
		waitServing(ts, ts.Getenv("E1"), shift)
		waitServing(ts, ts.Getenv("E2"), shift)
	}
}

// waitentry NAME... waits until the entries are ready and see every target.
func cmdWaitEntry(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) > 0, "waitentry NAME...")
	for _, name := range args {
		admin := "http://" + ts.Getenv(strings.ToUpper(name)+"_ADMIN")
		cmdWaitHTTP(ts, false, []string{admin + "/healthz"})
		cmdWaitHTTP(ts, false, []string{admin + "/status", fmt.Sprintf(allHealthyPattern, ts.Getenv("TARGETS"))})
	}
}

// restart COUNT PAUSE stops and starts e1 and e2 in turn, COUNT times in all,
// with a pause after each.
func cmdRestart(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 2, "restart COUNT PAUSE")
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	pause := duration(ts, args[1])
	for i := range count {
		name := []string{"e1", "e2"}[i%2]
		cmdShutdown(ts, false, []string{name})
		cmdStart(ts, false, []string{name, "fescue-entry", "-c", name + ".yaml"})
		cmdWaitEntry(ts, false, []string{name})
		time.Sleep(pause)
	}
}

// waitServing waits until the entry answers a request of the shift. A fresh
// entry has no unit of a shift's cap before it has asked for one.
func waitServing(ts *testscript.TestScript, address, shift string) {
	var last string
	if !poll(servingLimit, func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/rota/chairs", nil)
		ts.Check(err)
		req.Header.Set("Fescue-Service", "rota")
		req.Header.Set("Fescue-Shift", shift)
		resp, err := shortClient.Do(req)
		if err != nil {
			last = err.Error()
			return false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		last = fmt.Sprintf("status %d, body %.200s, error %v", resp.StatusCode, body, err)
		return err == nil && resp.StatusCode == http.StatusOK
	}) {
		failWithLogs(ts, "entry at %s does not serve shift %s within %s; last: %s", address, shift, servingLimit, last)
	}
}

// servingLimit bounds the time from the start of the system to the first
// answer to a request. A new control leader may wait for the longest lease
// and the longest deadline, together 12 s with the settings in templates/.
const servingLimit = 30 * time.Second

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
