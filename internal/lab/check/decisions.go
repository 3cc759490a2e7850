package check

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// Decided is a decision that an entry logged: a request goes to a target.
type Decided struct {
	Message   string `json:"msg"`
	RequestID string `json:"request_id"`
	Target    string `json:"target"`
}

// decisionMessage is the log message of a dispatch decision.
const decisionMessage = "request dispatched"

// ReadDecisions returns the decisions in the JSON log of an entry.
func ReadDecisions(path string) ([]Decided, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	defer f.Close()
	out := []Decided{}
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		var d Decided
		// The log of a killed process may end within a line.
		if json.Unmarshal(sc.Bytes(), &d) == nil && d.Message == decisionMessage {
			out = append(out, d)
		}
	}
	return out, sc.Err()
}

// decisions finds requests at targets without exactly one logged decision.
func (c *checker) decisions() {
	if c.opts.Decisions == nil {
		return
	}
	logged := map[Decided]int{}
	for _, d := range c.opts.Decisions {
		logged[d]++
	}
	reached := map[Decided]int{}
	for _, t := range c.targets {
		if t.Event == journal.Start || t.Event == journal.Shed {
			reached[Decided{decisionMessage, t.RequestID, t.Target}]++
		}
	}
	for d, n := range reached {
		if logged[d] != n {
			c.find(Decision, "request %s reached target %s %d times with %d logged decisions", d.RequestID, d.Target, n, logged[d])
		}
	}
}
