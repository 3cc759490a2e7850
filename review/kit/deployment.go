// Package kit starts the project's programs as the deploy file says, on loopback
// addresses, and has stand-ins for the platform's list, the backends, the operator and
// the clients, which follow the users' pages.
package kit

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds are the bounds of the deployment that a case relies on.
var Bounds = map[string]string{
	"graceS": "6", "retryBudgetRatio": "0.2", "budgetSlack": "58", "budgetWindowS": "10", "maxRegionShift": "0.15",
}

// Deployment is a running system on loopback addresses.
type Deployment struct {
	Root   string // of the repository
	Dir    string // temporary folder
	Record *Record
	Ports  Ports
	Zones  map[string]any // zone to region
	Cores  []*Machine
	Fronts []*Machine
	Cloud  *Cloud
}

// Ports are the ports that all machines use.
type Ports struct{ Front, Ready, Control, Directory, Internal, Metrics, Cloud, Backend int }

// Machine is a machine with one process.
type Machine struct {
	Name, Class, IP, Zone, Region string

	d         *Deployment
	bootstrap bool
	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	ends      int // ends of the process that the case did not ask for
	expected  bool
}

// NewDeployment prepares a deployment: one core machine for each of the zones, each with
// its region, and the given number of front machines in each.
func NewDeployment(root string, rec *Record, zones [][2]string, frontsPerZone int) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Root: root, Dir: dir, Record: rec, Zones: map[string]any{}}
	if d.Ports, err = freePorts(); err != nil {
		return nil, err
	}
	for i, z := range zones {
		d.Zones[z[0]] = z[1]
		d.Cores = append(d.Cores, &Machine{Name: "core-" + z[0] + "-1", Class: "core", IP: fmt.Sprintf("127.0.11.%d", 10+i), Zone: z[0], Region: z[1], d: d, bootstrap: true})
		for k := range frontsPerZone {
			d.Fronts = append(d.Fronts, &Machine{
				Name: fmt.Sprintf("front-%s-%d", z[0], k+1), Class: "front", IP: fmt.Sprintf("127.0.12.%d", 10+10*i+k), Zone: z[0], Region: z[1], d: d, bootstrap: true,
			})
		}
	}
	d.Cloud = NewCloud(fmt.Sprintf("127.0.13.1:%d", d.Ports.Cloud))
	return d, d.Cloud.Start()
}

// freePorts finds a block of ports that are free on the addresses of the deployment.
func freePorts() (Ports, error) {
	for base := 21000 + os.Getpid()%97*100; base < 60000; base += 100 {
		free := true
		for i := 0; i < 40 && free; i++ {
			for _, ip := range []string{"127.0.11.10", "127.0.12.10", "127.0.13.1", "127.0.14.1"} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return Ports{Front: base, Ready: base + 1, Control: base + 2, Directory: base + 3, Metrics: base + 4, Cloud: base + 5, Backend: base + 6, Internal: base + 10}, nil
		}
	}
	return Ports{}, errors.New("no free ports")
}

// Start starts all machines.
func (d *Deployment) Start() error {
	for _, m := range append(d.Cores[:len(d.Cores):len(d.Cores)], d.Fronts...) {
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all processes and removes the temporary folder.
func (d *Deployment) Stop() {
	for _, m := range append(d.Fronts[:len(d.Fronts):len(d.Fronts)], d.Cores...) {
		m.Kill()
	}
	d.Cloud.Stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.Dir)
	} else {
		fmt.Println("logs are in", d.Dir)
	}
}

// Addr returns an address of a machine.
func (m *Machine) Addr(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// settings renders the settings file of the machine with the project's template.
func (m *Machine) settings() (string, error) {
	d := m.d
	var seeds []string
	for i, c := range d.Cores {
		if i < 3 {
			seeds = append(seeds, c.Addr(d.Ports.Control))
		}
	}
	bounds := map[string]any{}
	for k, v := range Bounds {
		bounds[k] = v
	}
	fields := map[string]any{
		"nodeName": m.Name, "role": m.Class, "machineClass": m.Class, "ip": m.IP, "zone": m.Zone, "region": m.Region, "zones": d.Zones,
		"internalPortRange": []string{fmt.Sprint(d.Ports.Internal), fmt.Sprint(d.Ports.Internal + 15)},
		"seeds":             seeds, "bootstrap": m.bootstrap, "bounds": bounds,
		"limits": map[string]any{"memoryMb": m.MemoryMB()},
		"cloud":  map[string]any{"address": d.Cloud.Addr, "perS": "47.0"},
		"listen": map[string]any{
			"front": m.Addr(d.Ports.Front), "ready": m.Addr(d.Ports.Ready), "control": m.Addr(d.Ports.Control), "directory": m.Addr(d.Ports.Directory),
		},
		"dataDir": filepath.Join(d.Dir, m.Name, "data"),
	}
	text, err := os.ReadFile(filepath.Join(d.Root, "deploy", m.Class+".tmpl"))
	if err != nil {
		return "", err
	}
	out, err := Render(string(text), fields)
	// The template has a fixed port for the metrics, which is not free on every machine.
	return strings.ReplaceAll(out, ":9464", fmt.Sprintf(":%d", d.Ports.Metrics)), err
}

// MemoryMB is the memory of a machine of the class, as on the users' page of the system.
func (m *Machine) MemoryMB() int {
	if m.Class == "core" {
		return 280
	}
	return 284
}

// Start starts the process of the machine.
func (m *Machine) Start() error {
	dir := filepath.Join(m.d.Dir, m.Name)
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o700); err != nil {
		return err
	}
	text, err := m.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "settings.conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(m.d.Root, "target", m.Class))
	cmd.Dir = m.d.Root
	cmd.Env = []string{"FESCUEJUNCTION_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + dir, "LANG=C.UTF-8"}
	if e := os.Getenv("MACHINE_ENV"); e != "" {
		cmd.Env = append(cmd.Env, e)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.expected, m.bootstrap = cmd, exited, false, false
	m.mu.Unlock()
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		if !m.expected {
			m.ends++
			m.d.Record.Printf("process %s ended by itself: %v", m.Name, err)
		}
		m.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Pid returns the process identifier.
func (m *Machine) Pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// Ends returns how often the process has ended by itself.
func (m *Machine) Ends() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends
}

// Signal sends a signal to the process.
func (m *Machine) Signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(sig)
	}
}

// Kill ends the process at once and waits for its end.
func (m *Machine) Kill() {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.expected = true
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// Terminate sends SIGTERM and, if the process still runs after grace, SIGKILL.
func (m *Machine) Terminate(grace time.Duration) {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.expected = true
	m.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// restartDelay is how long the platform waits before it starts a process again that has
// ended.
const restartDelay = 500 * time.Millisecond

// GuardMemory ends the process when it uses more memory than its machine has, and starts it
// again, as the platform does, until the context ends. It counts what the process has
// allocated, without shared files and the bytes that have arrived and are not read yet. It
// returns the highest value seen, in MB. Unless kill is set, it only measures.
func (m *Machine) GuardMemory(ctx context.Context, kill bool) (peakMB int) {
	for ctx.Err() == nil {
		m.mu.Lock()
		cmd, exited, stopped := m.cmd, m.exited, m.expected
		m.mu.Unlock()
		used := allocatedMB(cmd.Process.Pid)
		peakMB = max(peakMB, used)
		if used > m.MemoryMB() && kill && !stopped {
			m.mu.Lock()
			m.expected = true
			m.ends++
			m.mu.Unlock()
			m.d.Record.Printf("%s uses %d MB of memory, more than its %d MB: the platform kills it", m.Name, used, m.MemoryMB())
			_ = cmd.Process.Kill()
			<-exited
			time.Sleep(restartDelay)
			if err := m.Start(); err != nil {
				m.d.Record.Printf("%s does not start again: %v", m.Name, err)
				return peakMB
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return peakMB
}

// allocatedMB returns the anonymous memory of a process in MB, rounded down, or 0 if it
// does not run.
func allocatedMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	var kb int
	_, _ = fmt.Sscan(rest, &kb)
	return kb >> 10
}

// WipeDisk removes what the machine has stored. The process must have ended.
func (m *Machine) WipeDisk() error { return os.RemoveAll(filepath.Join(m.d.Dir, m.Name, "data")) }

// WaitReady waits until all fronts answer their readiness check with 200.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, f := range d.Fronts {
		for !Ready(f.Addr(d.Ports.Ready)) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", f.Name, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}
