package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine of the deployment, with the process of its role.
type machine struct {
	name, class, zone, region, ip string
	sys                           *system
	cmd                           *exec.Cmd
	done                          chan struct{} // closed when the process has ended
	stopping                      bool          // the rig has ended the process
}

// system is a deployment on loopback addresses, with a stand-in for the platform's list.
type system struct {
	rec     *record
	root    string // of the repository
	dir     string // temporary folder
	net     string // first three numbers of the addresses
	port    int    // first port
	zones   map[string]string
	fronts  []*machine
	cores   []*machine
	service map[string]*service
	cloud   *http.Server

	mu       sync.Mutex
	backends []*backend
	version  int
}

// service is a service of the configuration, with the settings of its backends.
type service struct {
	name  string
	slots int
}

const (
	portFront = iota
	portReady
	portControl
	portDirectory
	portCloud
	portBackend
	portInternal     // first of the internal ports
	internalPorts    = 16
	portsNeeded      = portInternal + internalPorts
	cloudMachine     = 200
	firstBackendHost = 100
)

func newSystem(rec *record, zones map[string]string) (*system, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, root: root, dir: dir, zones: zones, service: map[string]*service{}}
	s.net = fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250)
	s.port, err = freePorts(s.addr(1, 0))
	return s, err
}

// addr returns the address of a port of a machine.
func (s *system) addr(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.net, host, s.port+port)
}

// freePorts returns the first of portsNeeded free ports.
func freePorts(addr string) (int, error) {
	host, _, _ := net.SplitHostPort(addr)
	for try := range 50 {
		first := 20000 + (os.Getpid()*37+try*211)%30000
		free := true
		for p := first; p < first+portsNeeded && free; p++ {
			lis, err := net.Listen("tcp", net.JoinHostPort(host, fmt.Sprint(p)))
			if free = err == nil; free {
				lis.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// addMachine adds a machine; it is not started.
func (s *system) addMachine(class, zone string) *machine {
	n := len(s.fronts) + len(s.cores) + 1
	m := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, n), class: class, zone: zone, region: s.zones[zone], ip: fmt.Sprintf("%s.%d", s.net, n), sys: s}
	if class == "core" {
		s.cores = append(s.cores, m)
	} else {
		s.fronts = append(s.fronts, m)
	}
	return m
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.sys.port+port) }

// fields returns what the platform fills the template of a machine with.
func (m *machine) fields(bootstrap bool) map[string]any {
	s := m.sys
	zones := map[string]any{}
	for z, r := range s.zones {
		zones[z] = r
	}
	var seeds []any
	for i, c := range s.cores {
		if i < 3 {
			seeds = append(seeds, c.at(portControl))
		}
	}
	f := map[string]any{
		"nodeName": m.name, "region": m.region, "zone": m.zone, "ip": m.ip, "zones": zones, "seeds": seeds, "bootstrap": bootstrap,
		"internalPortRange": []any{s.port + portInternal, s.port + portInternal + internalPorts - 1},
		"listen":            map[string]any{"front": m.at(portFront), "ready": m.at(portReady), "control": m.at(portControl), "directory": m.at(portDirectory)},
		"bounds":            map[string]any{"graceS": 6, "retryBudgetRatio": 0.2, "budgetSlack": 58, "budgetWindowS": 10, "maxRegionShift": 0.15},
		"limits":            map[string]any{"memoryMb": 284}, "cloud": map[string]any{"address": s.addr(cloudMachine, portCloud), "perS": 47.0},
	}
	if m.class == "core" {
		f["dataDir"] = filepath.Join(s.dir, m.name)
	}
	return f
}

// start starts the process of a machine with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	s := m.sys
	tmpl, err := os.ReadFile(filepath.Join(s.root, "deploy", m.class+".tmpl"))
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, m.name+".conf")
	if err := os.WriteFile(file, []byte(render(string(tmpl), []any{m.fields(bootstrap)})), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(s.root, "target", m.class))
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "FESCUEJUNCTION_CONFIG=" + file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done, m.stopping = cmd, make(chan struct{}), false
	done := m.done
	go func() {
		err := cmd.Wait()
		if !m.stopping {
			s.rec.logf("OWN END of %s: %v", m.name, err)
		}
		close(done)
	}()
	return nil
}

func (m *machine) signal(sig syscall.Signal) {
	m.sys.rec.logf("signal %v to %s", sig, m.name)
	_ = m.cmd.Process.Signal(sig)
}

// kill ends the process at once.
func (m *machine) kill() {
	m.stopping = true
	m.signal(syscall.SIGKILL)
	<-m.done
}

// close ends everything.
func (s *system) close() {
	for _, m := range append(append([]*machine{}, s.fronts...), s.cores...) {
		if m.cmd != nil {
			m.stopping = true
			_ = m.cmd.Process.Kill()
			<-m.done
		}
	}
	if s.cloud != nil {
		_ = s.cloud.Close()
	}
	s.mu.Lock()
	for _, b := range s.backends {
		b.close()
	}
	s.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// startCloud serves the platform's list of instances.
func (s *system) startCloud() error {
	lis, err := net.Listen("tcp", s.addr(cloudMachine, portCloud))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		out := map[string][]map[string]any{}
		s.mu.Lock()
		at := time.Now().Add(-listLag) // the list lags
		for _, b := range s.backends {
			if b.startedAt.After(at) {
				continue
			}
			if zone := r.URL.Query().Get("zone"); b.listed && (zone == "" || zone == b.zone) {
				out[b.zone] = append(out[b.zone], map[string]any{
					"id": b.id, "service": b.service, "address": b.addr, "version": "v1", "slots": b.slots, "state": "ready", "coldRemainingMs": b.coldMs(at),
				})
			}
		}
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": out, "nextToken": nil})
	})
	s.cloud = &http.Server{Handler: mux}
	go s.cloud.Serve(lis)
	return nil
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs                         int
}

// config returns a complete configuration of the next version, and the version that it
// builds on.
func (s *system) config(routes []route) (base int, body []byte) {
	base = s.version
	s.version += 2
	var res []map[string]any
	for _, r := range routes {
		res = append(res, map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
			"host": r.host, "pathPrefix": r.prefix, "routeKind": r.kind, "timeoutMs": r.timeoutMs, "targetLatencyMs": 500, "priority": 1,
			"service": r.service, "maxAttempts": 2, "sessionAffinity": false, "homeRegions": []string{},
		}})
	}
	for _, svc := range s.service {
		res = append(res, map[string]any{"resourceKind": "services", "metadata": map[string]any{"name": svc.name}, "spec": map[string]any{
			"healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 15.0,
		}})
	}
	res = append(res, map[string]any{"resourceKind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}})
	body, _ = json.Marshal(map[string]any{"version": s.version, "resources": res})
	return base, body
}

// order sends an order of the operator to the core machines in turn, until one gives a
// clear response: one second each, as PROTOCOL.md says.
func (s *system) order(method, path string, header map[string]string, body []byte, tries int) (status int, answer []byte) {
	for i := range tries {
		status, answer = s.orderTo(s.cores[i%len(s.cores)], method, path, header, body)
		if status != 0 && status < 500 && status != 408 && status != 429 {
			return status, answer
		}
		time.Sleep(time.Duration(min(50*(i+1), 500)) * time.Millisecond)
	}
	return status, answer
}

// orderTo sends an order to one core machine. The status is 0 without a response.
func (s *system) orderTo(m *machine, method, path string, header map[string]string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+m.at(portControl)+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		s.rec.logf("order %s %s to %s: no response (%v)", method, path, m.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	s.rec.logf("order %s %s to %s: %d", method, path, m.name, resp.StatusCode)
	return resp.StatusCode, data
}

// put sends a complete configuration until it is acknowledged.
func (s *system) put(routes []route, tries int) error {
	base, body := s.config(routes)
	status, answer := s.order("POST", "/fescuejunction/Config.Put", map[string]string{"X-Base-Version": fmt.Sprint(base), "Content-Type": "application/json"}, body, tries)
	if status != 200 {
		return fmt.Errorf("configuration: %d %s", status, answer)
	}
	return nil
}

// ready returns an error unless the front is ready.
func (m *machine) ready() error {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.at(portReady) + "/healthz")
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// awaitReady waits until all fronts are ready.
func (s *system) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, m := range s.fronts {
			if m.ready() == nil {
				n++
			}
		}
		if n == len(s.fronts) {
			return nil
		}
	}
	return fmt.Errorf("the fronts are not ready")
}

// startAll starts all machines for the first time, sends the first configuration and waits
// until the fronts are ready.
func (s *system) startAll(routes []route) error {
	if err := s.startCloud(); err != nil {
		return err
	}
	for _, m := range append(append([]*machine{}, s.cores...), s.fronts...) {
		if err := m.start(true); err != nil {
			return err
		}
	}
	if err := s.put(routes, 40); err != nil {
		return err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond) // the list of backends is read
	return nil
}
