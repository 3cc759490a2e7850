package scenarios

import (
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// stopLimit bounds how long a process may take to stop.
const stopLimit = 90 * time.Second

// killLimit bounds how long a process may take to end by SIGKILL. It took 17 ms at
// most beside two busy processes on its core.
const killLimit = 10 * time.Second

// processes are the processes that a script started.
type processes struct {
	mu     sync.Mutex
	byName map[string]*process
	raw    map[string]*rawExchange // connections that sendraw opened
}

type processesKey struct{}

// process is one started process. Signals go to its process identifier only.
type process struct {
	cmd    *exec.Cmd
	killed bool          // SIGKILL was sent
	done   chan struct{} // closed when the process has ended
	err    error         // result of Wait; valid after done is closed
}

// start NAME PROGRAM ARGS... starts a process in the background that logs to
// NAME.log. A name can be used again after its process has ended; the log is
// appended to. start waits for a process that was sent SIGKILL: none can refuse
// it, but on a busy machine it takes a moment.
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 2, "start NAME PROGRAM ARGS...")
	procs := ts.Value(processesKey{}).(*processes)
	procs.awaitEnded(ts, args[0])
	log, err := os.OpenFile(ts.MkAbs(args[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	defer log.Close() // the process has its own copy
	cmd := exec.Command(filepath.Join(binDir, args[1]), args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Stdout, cmd.Stderr = log, log
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	procs.mu.Lock()
	defer procs.mu.Unlock()
	procs.byName[args[0]] = p
}

// awaitEnded fails the script unless the process of a name has ended or ends by
// a SIGKILL that was sent.
func (ps *processes) awaitEnded(ts *testscript.TestScript, name string) {
	ps.mu.Lock()
	old := ps.byName[name]
	ps.mu.Unlock()
	if old == nil || old.ended() {
		return
	}
	if !old.killed {
		ts.Fatalf("process %s still runs", name)
	}
	select {
	case <-old.done:
	case <-time.After(killLimit):
		ts.Fatalf("process %s still runs %s after SIGKILL", name, killLimit)
	}
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func findProcess(ts *testscript.TestScript, name string) *process {
	procs := ts.Value(processesKey{}).(*processes)
	procs.mu.Lock()
	defer procs.mu.Unlock()
	p := procs.byName[name]
	if p == nil {
		ts.Fatalf("no process %s was started", name)
	}
	return p
}

// await NAME [LIMIT] waits until a process ends with exit code 0; ! await
// wants another one.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, len(args) == 1 || len(args) == 2, "await NAME [LIMIT]")
	limit := stopLimit
	if len(args) == 2 {
		limit = duration(ts, args[1])
	}
	p := findProcess(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(limit):
		failWithLogs(ts, "process %s did not end within %s", args[0], limit)
	}
	if (p.err != nil) != neg {
		failWithLogs(ts, "process %s ended with %v", args[0], p.err)
	}
}

// shutdown NAME [LIMIT] sends SIGTERM and waits.
func cmdShutdown(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, len(args) == 1 || len(args) == 2, "shutdown NAME [LIMIT]")
	ts.Check(findProcess(ts, args[0]).cmd.Process.Signal(syscall.SIGTERM))
	cmdAwait(ts, neg, args)
}

// signalCommand returns the command NAME... that sends sig to processes.
func signalCommand(sig syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		usage(ts, !neg && len(args) > 0, "sigterm|sighup|sigkill|freeze|thaw NAME...")
		for _, name := range args {
			p := findProcess(ts, name)
			ts.Check(p.cmd.Process.Signal(sig))
			p.killed = p.killed || sig == syscall.SIGKILL
		}
	}
}

// failWithLogs fails the script and prints the last part of the log of each of
// its processes.
func failWithLogs(ts *testscript.TestScript, format string, args ...any) {
	procs := ts.Value(processesKey{}).(*processes)
	procs.mu.Lock()
	defer procs.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(procs.byName)) {
		log, _ := os.ReadFile(ts.MkAbs(name + ".log"))
		ts.Logf("log of %s (ended: %t):\n%s", name, procs.byName[name].ended(), tail(log))
	}
	ts.Fatalf(format, args...)
}

// killAll ends the processes that still run at the end of a script.
func (ps *processes) killAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byName {
		if !p.ended() {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}
