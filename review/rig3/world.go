package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the settings of a small one.
const (
	drainTime     = 3 * time.Second
	contactWindow = 4 * time.Second
	configApply   = 2500 * time.Millisecond
	stopGrace     = 6 * time.Second
)

const bounds = "seedLagS=3,reuseAfterS=2,contactWindowMs=4000,ackMs=4000,catchUpS=4,drainMs=3000,graceS=6,lossSlackMs=200,configApplyMs=2500,rollbackSlackMs=250,maxStretchMs=6000,retryBudgetRatio=0.2,budgetWindowS=10,budgetSlack=58,coldOvershoot=1.5,coldSlack=5,evacuateMs=5000,recoveryS=15,ttl_max_s=5,maxRegionShift=0.15"

// zone is a zone with its region.
type zone struct{ name, region string }

var zones = []zone{{"z1a", "r1"}, {"z1b", "r1"}, {"z2a", "r2"}, {"z2b", "r2"}, {"z3a", "r3"}, {"z3b", "r3"}}

// machine is a machine of the system with its process.
type machine struct {
	name, role, ip string
	zone           zone
	dir            string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// world is a deployment on loopback addresses.
type world struct {
	trouble bool
	dir     string
	net     string // first two numbers of the addresses
	port    int    // first port
	seeds   []*machine
	cores   []*machine
	fronts  []*machine
	cloud   *cloud
	started time.Time

	closing sync.Mutex // held from the beginning of close on, and while a process is started

	mu     sync.Mutex
	record *os.File
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: f, started: time.Now()}
	for range 50 {
		w.net, w.port = fmt.Sprintf("127.%d", 20+rand.IntN(200)), 12000+rand.IntN(15000)
		if w.free() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// free reports whether nothing listens on the ports of the deployment.
func (w *world) free() bool {
	for p := w.port; p < w.port+40; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1.10:%d", w.net, p))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(w.record, line)
}

// Ports of the deployment.
func (w *world) frontPort() int     { return w.port }
func (w *world) readyPort() int     { return w.port + 1 }
func (w *world) controlPort() int   { return w.port + 2 }
func (w *world) directoryPort() int { return w.port + 3 }
func (w *world) cloudPort() int     { return w.port + 4 }
func (w *world) targetPort() int    { return w.port + 5 }
func (w *world) metricsPort() int   { return w.port + 6 }

func (w *world) ip(zone, host int) string { return fmt.Sprintf("%s.%d.%d", w.net, zone+1, host) }

// addMachines adds machines of a role, one in each of the first n zones.
func (w *world) addMachines(role string, n, host int) []*machine {
	var out []*machine
	for i := range n {
		z := i % len(zones)
		m := &machine{name: fmt.Sprintf("%s-%s-%d", role, zones[z].name, i/len(zones)+1), role: role, ip: w.ip(z, host+i/len(zones)), zone: zones[z]}
		m.dir = filepath.Join(w.dir, m.name)
		out = append(out, m)
	}
	return out
}

// startAll starts the platform, the control machines and the entries.
func (w *world) startAll(cores, fronts int) error {
	c, err := startCloud(w, fmt.Sprintf("%s.200.1:%d", w.net, w.cloudPort()))
	if err != nil {
		return err
	}
	w.cloud = c
	w.cores, w.fronts = w.addMachines("core", cores, 10), w.addMachines("front", fronts, 20)
	w.seeds = []*machine{w.cores[0], w.cores[min(2, cores-1)], w.cores[min(4, cores-1)]}
	for _, m := range append(append([]*machine{}, w.cores...), w.fronts...) {
		if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o700); err != nil {
			return err
		}
		if err := w.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// fields returns the settings that the platform gives to a process.
func (w *world) fields(m *machine, bootstrap bool) map[string]any {
	var seeds []any
	for _, s := range w.seeds {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip, w.controlPort()))
	}
	zoneTable := map[string]any{}
	for _, z := range zones {
		zoneTable[z.name] = z.region
	}
	boundTable := map[string]any{}
	for _, b := range strings.Split(bounds, ",") {
		name, value, _ := strings.Cut(b, "=")
		boundTable[name] = json.Number(value)
	}
	first := w.port + 20
	return map[string]any{
		"nodeName": m.name, "zone": m.zone.name, "region": m.zone.region, "ip": m.ip, "zones": zoneTable, "bounds": boundTable,
		"internalPortRange": []any{json.Number(fmt.Sprint(first)), json.Number(fmt.Sprint(first + 15))},
		"listen": map[string]any{
			"front": fmt.Sprintf("%s:%d", m.ip, w.frontPort()), "ready": fmt.Sprintf("%s:%d", m.ip, w.readyPort()),
			"control": fmt.Sprintf("%s:%d", m.ip, w.controlPort()), "directory": fmt.Sprintf("%s:%d", m.ip, w.directoryPort()),
		},
		"seeds": seeds, "bootstrap": bootstrap, "dataDir": filepath.Join(m.dir, "data"),
		"limits": map[string]any{"memoryMb": json.Number("284")},
		"cloud":  map[string]any{"address": w.cloud.addr, "perS": json.Number("47")},
	}
}

// start renders the settings of a machine and starts its process.
func (w *world) start(m *machine, bootstrap bool) error {
	tmpl, err := os.ReadFile(filepath.Join("deploy", m.role+".tmpl"))
	if err != nil {
		return err
	}
	text := render(string(tmpl), w.fields(m, bootstrap))
	// The template has a fixed port for metrics, which must be free on this machine.
	text = strings.ReplaceAll(text, ":9464", fmt.Sprintf(":%d", w.metricsPort()))
	file := filepath.Join(m.dir, "settings")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/" + m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir, "FESCUEJUNCTION_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	w.closing.Lock()
	err = cmd.Start()
	exited := make(chan struct{})
	if err == nil {
		m.cmd, m.exited = cmd, exited
	}
	w.closing.Unlock()
	if err != nil {
		return err
	}
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	w.log("%s started", m.name)
	return nil
}

// signal sends a signal to the process of a machine.
func (w *world) signal(m *machine, s syscall.Signal) {
	w.log("%s to %s", s, m.name)
	_ = m.cmd.Process.Signal(s)
}

// kill ends a process at once and waits for its end.
func (w *world) kill(m *machine) {
	w.signal(m, syscall.SIGKILL)
	<-m.exited
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.closing.Lock() // a case that is interrupted ends without unlocking
	for _, m := range append(append([]*machine{}, w.cores...), w.fronts...) {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		w.log("logs kept in the temporary folder %s", filepath.Base(w.dir))
	}
	w.record.Close()
}
