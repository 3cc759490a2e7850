package operator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/integrii/flaggy"
)

// maxLogLine is the longest accepted line of a log file, in bytes.
const maxLogLine = 1 << 20

// traceCmd collects the log lines of one request from the logs of several
// instances and derives how the request ended.
type traceCmd struct {
	id    string
	files []string
}

func (c *traceCmd) define() *flaggy.Subcommand {
	s := newSubcommand("trace", "Prints the log lines of one request from the logs of all instances, in order, and how it ended.",
		"fescuectl trace --id 24f3db7b859bc0c3 --file front-a.log --file front-b.log")
	s.String(&c.id, "", "id", "Identifier of the request, as in the caller's request or in an error response.")
	s.StringSlice(&c.files, "", "file", "Log file of an instance; repeat it.")
	return s
}

func (c *traceCmd) run(e *env) error {
	if c.id == "" || len(c.files) == 0 {
		return exitErrorf(ExitUsage, "set --id and --file")
	}
	var lines []logLine
	for _, name := range c.files {
		found, err := readLog(name, c.id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time.Before(lines[j].time) })
	if len(lines) == 0 {
		return exitErrorf(ExitUsage, "no line in %d log files has request id %q; look for \"log lines dropped\" in the logs", len(c.files), c.id)
	}
	t := requestTrace{ID: c.id, Outcome: requestOutcome(lines)}
	for _, l := range lines {
		t.Lines = append(t.Lines, l.fields)
	}
	e.print(t, func(w io.Writer) { printTrace(w, lines, t.Outcome) })
	return nil
}

// requestTrace is the JSON output of trace.
type requestTrace struct {
	ID      string           `json:"request_id"`
	Lines   []map[string]any `json:"lines"`
	Outcome string           `json:"outcome"`
}

// logLine is a JSON line of a log.
type logLine struct {
	time   time.Time
	fields map[string]any
}

// text returns a field as text, or "" if the line does not have it.
func (l logLine) text(field string) string {
	v, ok := l.fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// readLog returns the lines of a file with the request identifier. It ignores
// text before the JSON object of a line, which log collectors may add.
func readLog(name, id string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "open log")
	}
	defer f.Close()
	var out []logLine
	in := bufio.NewScanner(f)
	in.Buffer(make([]byte, 64<<10), maxLogLine)
	for in.Scan() {
		line := in.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || !bytes.Contains(line, []byte(id)) {
			continue
		}
		l := logLine{fields: map[string]any{}}
		if json.Unmarshal(line[start:], &l.fields) != nil || l.text("request_id") != id {
			continue // not a JSON log line, or the line of another request
		}
		if l.time, err = time.Parse(time.RFC3339Nano, l.text("time")); err != nil {
			return nil, errkind.Wrap(errkind.BadRequest, err, "%s: parse the time of a log line", name)
		}
		out = append(out, l)
	}
	if err := in.Err(); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "read %s", name)
	}
	return out, nil
}

// requestOutcome describes how a request ended for its caller. lines are in order
// of time. A failure at the instance that logged the first line takes precedence
// over later lines of other instances, because that instance answered the caller.
func requestOutcome(lines []logLine) string {
	atFirstInstance := func(l logLine) bool { return l.text("instance") == lines[0].text("instance") }
	isFailure := func(l logLine) bool { return l.text("msg") == "request refused or failed" }
	for _, l := range slices.Backward(lines) {
		if isFailure(l) && atFirstInstance(l) {
			return describeFailure(l)
		}
	}
	for _, l := range slices.Backward(lines) {
		switch {
		case isFailure(l):
			return describeFailure(l)
		case l.text("msg") == "target answered":
			return fmt.Sprintf("target %s answered status %s after %s ms, whole: %s", l.text("target"), l.text("status"), l.text("run_ms"), l.text("whole"))
		}
	}
	return "no line shows how the request ended: the instance was killed or isolated, or it dropped the line"
}

// describeFailure describes the failure that a log line reports.
func describeFailure(l logLine) string {
	return fmt.Sprintf("%s answered %s: %s (did it run: %s)", l.text("instance"), l.text("kind"), l.text("error"), l.text("did_run"))
}

// headerFields are left out of the list of fields at the end of a printed line.
// They are part of its beginning, or the same for all lines of a request or
// process.
var headerFields = []string{"time", "instance", "msg", "request_id", "level", "program"}

// printTrace prints the lines with their time since the first one, and the outcome.
func printTrace(w io.Writer, lines []logLine, outcome string) {
	for _, l := range lines {
		var rest []string
		for name := range l.fields {
			if !slices.Contains(headerFields, name) && l.text(name) != "" {
				rest = append(rest, name+"="+l.text(name))
			}
		}
		sort.Strings(rest)
		fmt.Fprintf(w, "+%8.1f ms  %s  %s  %s\n", float64(l.time.Sub(lines[0].time).Microseconds())/1000, l.text("instance"), l.text("msg"), strings.Join(rest, " "))
	}
	fmt.Fprintln(w, "outcome:", outcome)
}
