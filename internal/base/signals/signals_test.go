package signals_test

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/signals"
)

// childVariable makes the test binary run as the process that gets the signals.
const childVariable = "FESCUE_SIGNALS_TEST_CHILD"

// waitLimit is far above what a step of the child takes on a busy machine.
const waitLimit = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		runChild()
		return
	}
	os.Exit(m.Run())
}

// runChild starts up until it reads a line, then reports the stop and each
// reload, and ends when its input ends.
func runChild() {
	in := bufio.NewReader(os.Stdin)
	fmt.Println("starting")
	_, _ = in.ReadString('\n')
	ctx := signals.StopContext(logging.Discard())
	go func() {
		<-ctx.Done()
		fmt.Println("stop")
	}()
	go func() {
		for range signals.Reload() {
			fmt.Println("reload")
		}
	}()
	fmt.Println("running")
	_, _ = io.Copy(io.Discard, in)
}

// child is a process under test.
type child struct {
	t     *testing.T
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   io.Closer
	lines chan string
}

func startChild(t *testing.T) *child {
	t.Helper()
	c := &child{t: t, cmd: exec.Command(os.Args[0]), lines: make(chan string, 64)}
	c.cmd.Env = append(os.Environ(), childVariable+"=1")
	c.cmd.Stderr = os.Stderr
	var err error
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	c.out = out
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.cmd.Process.Kill() })
	go func() {
		defer close(c.lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			c.lines <- strings.TrimSpace(s.Text())
		}
	}()
	return c
}

func (c *child) signal(sig syscall.Signal) {
	c.t.Helper()
	if err := c.cmd.Process.Signal(sig); err != nil {
		c.t.Fatalf("send %v: %v", sig, err)
	}
}

// expect waits for the lines, which may be printed in any order.
func (c *child) expect(want ...string) {
	c.t.Helper()
	missing := map[string]bool{}
	for _, line := range want {
		missing[line] = true
	}
	limit := time.After(waitLimit)
	for len(missing) > 0 {
		select {
		case line, open := <-c.lines:
			if !open {
				c.t.Fatalf("the process ended without printing %v", missing)
			}
			delete(missing, line)
		case <-limit:
			c.t.Fatalf("the process did not print %v", missing)
		}
	}
}

// exit ends the process and checks that no signal ended it before.
func (c *child) exit() {
	c.t.Helper()
	_ = c.in.Close()
	for range c.lines {
	}
	if err := c.cmd.Wait(); err != nil {
		c.t.Errorf("the process ended with %v", err)
	}
}

// Guards against a signal during start-up that ends the process or is lost.
func TestSignalsDuringStart(t *testing.T) {
	c := startChild(t)
	c.expect("starting")
	c.signal(syscall.SIGHUP)
	c.signal(syscall.SIGTERM)
	if _, err := io.WriteString(c.in, "\n"); err != nil {
		t.Fatal(err)
	}
	c.expect("running", "reload", "stop")
	c.exit()
}

// Guards against a process that a SIGHUP or a second SIGTERM ends while it stops
// gracefully with requests in flight.
func TestSignalsDuringStop(t *testing.T) {
	c := startChild(t)
	c.expect("starting")
	if _, err := io.WriteString(c.in, "\n"); err != nil {
		t.Fatal(err)
	}
	c.expect("running")
	c.signal(syscall.SIGTERM)
	c.expect("stop")
	for range 3 {
		c.signal(syscall.SIGTERM)
		c.signal(syscall.SIGINT)
		c.signal(syscall.SIGHUP)
		c.expect("reload")
	}
	c.exit()
}

// Guards against a process that ends when the reader of its standard output, such as
// a log collector, ends before it.
func TestClosedOutputDoesNotEndTheProcess(t *testing.T) {
	c := startChild(t)
	c.expect("starting")
	if _, err := io.WriteString(c.in, "\n"); err != nil {
		t.Fatal(err)
	}
	c.expect("running")
	_ = c.out.Close()
	for range 5 {
		c.signal(syscall.SIGHUP) // the process writes a line
		time.Sleep(20 * time.Millisecond)
	}
	c.exit()
}

// Guards against a signal that an operator or a supervisor may send, other than those
// that stop or reload, and that ends a process with requests in flight.
func TestOtherSignalsHaveNoEffect(t *testing.T) {
	c := startChild(t)
	c.expect("starting")
	if _, err := io.WriteString(c.in, "\n"); err != nil {
		t.Fatal(err)
	}
	c.expect("running")
	for _, sig := range []syscall.Signal{
		syscall.SIGPIPE, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGVTALRM, syscall.SIGPROF, syscall.SIGIO,
		syscall.SIGPWR, syscall.SIGXCPU, syscall.SIGXFSZ, syscall.SIGWINCH, syscall.SIGURG, syscall.SIGCHLD, syscall.SIGCONT,
	} {
		c.signal(sig)
		c.signal(syscall.SIGHUP)
		c.expect("reload")
	}
	c.exit()
}
