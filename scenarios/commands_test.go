package scenarios

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/lab/ports"
	"github.com/rogpeppe/go-internal/testscript"
)

// defaultWait bounds the wait commands. It is far above what any step takes
// on a busy machine.
const defaultWait = 20 * time.Second

// pollInterval is the time between two evaluations of a condition.
const pollInterval = 20 * time.Millisecond

// commands are the commands of the scripts beside the built-in ones of
// testscript, whose names (wait, stop, kill) cannot be replaced.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"start":    cmdStart,
	"await":    cmdAwait,
	"shutdown": cmdShutdown,
	"sigterm":  signalCommand(syscall.SIGTERM),
	"sighup":   signalCommand(syscall.SIGHUP),
	"sigkill":  signalCommand(syscall.SIGKILL),
	"freeze":   signalCommand(syscall.SIGSTOP),
	"thaw":     signalCommand(syscall.SIGCONT),
	"waitlog":  cmdWaitLog,
	"waithttp": cmdWaitHTTP,
	"http":     cmdHTTP,
	"rawhttp":  cmdRawHTTP,
	"sendraw":  cmdSendRaw,
	"received": cmdReceived,
	"ports":    cmdPorts,
	"expand":   cmdExpand,
	"sleep":    cmdSleep,

	"system":     cmdSystem,
	"dispatcher": cmdDispatcher,
	"restart":    cmdRestart,
	"waitentry":  cmdWaitEntry,
}

func usage(ts *testscript.TestScript, ok bool, text string) {
	if !ok {
		ts.Fatalf("usage: %s", text)
	}
}

func duration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

// sleep DURATION
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) == 1, "sleep DURATION")
	time.Sleep(duration(ts, args[0]))
}

// poll calls done until it returns true, and reports whether it did in time.
func poll(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if done() {
			return true
		}
	}
	return done()
}

// waitlog NAME REGEXP [LIMIT] waits until the log of a process matches.
func cmdWaitLog(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && (len(args) == 2 || len(args) == 3), "waitlog NAME REGEXP [LIMIT]")
	limit := defaultWait
	if len(args) == 3 {
		limit = duration(ts, args[2])
	}
	re, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	file := ts.MkAbs(args[0] + ".log")
	if !poll(limit, func() bool {
		data, err := os.ReadFile(file)
		return err == nil && re.Match(data)
	}) {
		failWithLogs(ts, "log of %s does not match %q within %s", args[0], args[1], limit)
	}
}

// tailLength bounds how much of a log a failure prints, in bytes.
const tailLength = 2000

func tail(data []byte) []byte {
	if len(data) > tailLength {
		return data[len(data)-tailLength:]
	}
	return data
}

// waithttp URL [REGEXP [LIMIT]] waits until a GET answers 200 with a body
// that matches.
func cmdWaitHTTP(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 1 && len(args) <= 3, "waithttp URL [REGEXP [LIMIT]]")
	pattern, limit := "", defaultWait
	if len(args) > 1 {
		pattern = args[1]
	}
	if len(args) > 2 {
		limit = duration(ts, args[2])
	}
	re, err := regexp.Compile(pattern)
	ts.Check(err)
	var last string
	if !poll(limit, func() bool {
		resp, err := shortClient.Get(args[0])
		if err != nil {
			last = err.Error()
			return false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		last = fmt.Sprintf("status %d, body %s, error %v", resp.StatusCode, body, err)
		return err == nil && resp.StatusCode == http.StatusOK && re.Match(body)
	}) {
		failWithLogs(ts, "GET %s does not match %q within %s; last: %s", args[0], pattern, limit, last)
	}
}

// shortClient opens a connection for each request, so that a restarted server
// is found.
var shortClient = &http.Client{
	Timeout:   5 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// http METHOD URL [-h 'Name: value']... [-d BODY] prints the status line, the
// headers and the body to stdout. It fails only without a whole answer.
func cmdHTTP(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, len(args) >= 2, "http METHOD URL [-h 'Name: value']... [-d BODY]")
	headers := http.Header{}
	var body io.Reader
	for rest := args[2:]; len(rest) >= 2; rest = rest[2:] {
		switch rest[0] {
		case "-h":
			name, value, _ := strings.Cut(rest[1], ":")
			headers.Add(strings.TrimSpace(name), strings.TrimSpace(value))
		case "-d":
			body = strings.NewReader(rest[1])
		default:
			ts.Fatalf("unknown flag %q", rest[0])
		}
	}
	req, err := http.NewRequest(args[0], args[1], body)
	ts.Check(err)
	req.Header = headers
	resp, err := (&http.Client{Timeout: defaultWait, Transport: shortClient.Transport}).Do(req)
	if err == nil {
		defer resp.Body.Close()
		err = resp.Write(ts.Stdout())
	}
	if (err != nil) != neg {
		ts.Fatalf("http %s: error %v", strings.Join(args, " "), err)
	}
}

// rawhttp ADDRESS FILE [PAUSE] sends the bytes of FILE, with a pause after
// each line of the body if one is given, and prints what comes back until the other side
// closes. In the file, @N@ stands for N times the letter a; line ends become
// CRLF.
func cmdRawHTTP(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && (len(args) == 2 || len(args) == 3), "rawhttp ADDRESS FILE [PAUSE]")
	printReceived(ts, startRaw(ts, args))
}

// sendraw NAME ADDRESS FILE [PAUSE] does the same in the background. The connection
// is open when it returns.
func cmdSendRaw(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && (len(args) == 3 || len(args) == 4), "sendraw NAME ADDRESS FILE [PAUSE]")
	x := startRaw(ts, args[1:])
	procs := ts.Value(processesKey{}).(*processes)
	procs.mu.Lock()
	defer procs.mu.Unlock()
	procs.raw[args[0]] = x
}

// received NAME waits for the end of the connection of sendraw and prints what came
// back.
func cmdReceived(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 1, "received NAME")
	procs := ts.Value(processesKey{}).(*processes)
	procs.mu.Lock()
	x := procs.raw[args[0]]
	procs.mu.Unlock()
	if x == nil {
		ts.Fatalf("sendraw did not start %s", args[0])
	}
	printReceived(ts, x)
}

// rawExchange is a connection on which a file is sent.
type rawExchange struct {
	address string
	done    chan struct{} // closed when the other side has closed
	got     bytes.Buffer  // valid after done is closed
	err     error
}

// startRaw opens a connection and sends a file, as rawhttp describes it.
func startRaw(ts *testscript.TestScript, args []string) *rawExchange {
	var pause time.Duration
	if len(args) == 3 {
		pause = duration(ts, args[2])
	}
	data := fillRE.ReplaceAllStringFunc(ts.ReadFile(args[1]), func(m string) string {
		n, _ := strconv.Atoi(strings.Trim(m, "@"))
		return strings.Repeat("a", n)
	})
	conn, err := net.DialTimeout("tcp", args[0], defaultWait)
	ts.Check(err)
	ts.Check(conn.SetDeadline(time.Now().Add(4 * defaultWait)))
	x := &rawExchange{address: args[0], done: make(chan struct{})}
	go sendSlowly(conn, strings.ReplaceAll(data, "\n", "\r\n"), pause)
	go func() {
		defer close(x.done)
		defer conn.Close()
		_, x.err = io.Copy(&x.got, conn)
	}()
	return x
}

// printReceived prints what came back, which must not be empty.
func printReceived(ts *testscript.TestScript, x *rawExchange) {
	<-x.done
	_, _ = ts.Stdout().Write(x.got.Bytes())
	if x.got.Len() == 0 {
		ts.Fatalf("no answer from %s: %v", x.address, x.err)
	}
}

// sendSlowly sends the head at once and the body line by line. An error ends
// it: the server may answer and close before the end.
func sendSlowly(conn net.Conn, data string, pause time.Duration) {
	head, body, _ := strings.Cut(data, "\r\n\r\n")
	if _, err := io.WriteString(conn, head+"\r\n\r\n"); err != nil {
		return
	}
	for line := range strings.SplitAfterSeq(body, "\n") {
		time.Sleep(pause)
		if _, err := io.WriteString(conn, line); err != nil {
			return
		}
	}
}

var fillRE = regexp.MustCompile(`@\d+@`)

// ports NAME... sets each NAME to a loopback address host:port that is kept for the
// script, and NAME_PORT to its port.
func cmdPorts(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) > 0, "ports NAME...")
	for _, name := range args {
		addr, release, err := ports.Reserve()
		ts.Check(err)
		ts.Defer(release)
		ts.Setenv(name, addr)
		_, port, err := net.SplitHostPort(addr)
		ts.Check(err)
		ts.Setenv(name+"_PORT", port)
	}
}

// expand FILE... replaces ${NAME} by the environment variable in the files. A
// file that the script does not have comes from templates/.
func cmdExpand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) > 0, "expand FILE...")
	for _, name := range args {
		if _, err := os.Stat(ts.MkAbs(name)); err != nil {
			data, err := os.ReadFile(filepath.Join(templateDir, name))
			ts.Check(err)
			ts.Check(os.WriteFile(ts.MkAbs(name), data, 0o644))
		}
		text := os.Expand(ts.ReadFile(name), func(key string) string {
			value := ts.Getenv(key)
			if value == "" {
				ts.Fatalf("%s: environment variable %s is not set", name, key)
			}
			return value
		})
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}
