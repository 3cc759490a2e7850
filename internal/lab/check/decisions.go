package check

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// LoggedDecision is an entry's log line about a request that it dispatched to a
// target.
type LoggedDecision struct {
	Message   string `json:"msg"`
	RequestID string `json:"request_id"`
	Target    string `json:"target"`
}

// decisionMessage is the log message of a dispatch decision.
const decisionMessage = "request dispatched"

// ReadDecisions returns the decisions in the JSON log of an entry.
func ReadDecisions(path string) ([]LoggedDecision, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	defer f.Close()
	out := []LoggedDecision{}
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		var d LoggedDecision
		// The log of a killed process may end within a line.
		if json.Unmarshal(sc.Bytes(), &d) == nil && d.Message == decisionMessage {
			out = append(out, d)
		}
	}
	return out, sc.Err()
}

// checkDecisions finds requests at targets for which the number of logged
// decisions differs from the number of times they reached the target.
func (c *checker) checkDecisions() {
	if c.opts.Decisions == nil {
		return
	}
	logged := map[LoggedDecision]int{}
	for _, d := range c.opts.Decisions {
		logged[d]++
	}
	reached := map[LoggedDecision]int{}
	for _, t := range c.targets {
		if t.Event == journal.Start || t.Event == journal.Shed {
			reached[LoggedDecision{decisionMessage, t.RequestID, t.Target}]++
		}
	}
	for d, n := range reached {
		if logged[d] != n {
			c.addFinding(DecisionNotLogged, "request %s reached target %s %d times with %d logged decisions", d.RequestID, d.Target, n, logged[d])
		}
	}
}
