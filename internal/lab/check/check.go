// Package check compares the journals of targets and callers and finds
// broken guarantees: work that ran twice or ran although it was reported as
// not run, exceeded slots and caps, wrong or lost answers, and requests that
// reached a leaving target.
package check

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// Rule identifies the rule that a finding breaks.
type Rule string

// The rules.
const (
	KeyRanTwice            Rule = "key_ran_twice"
	NotRunButRan           Rule = "not_run_but_ran"     // the attempt that was reported as not run ran
	KeyNotRunButRan        Rule = "key_not_run_but_ran" // the key had run in an earlier attempt
	SlotsExceeded          Rule = "slots_exceeded"
	ShiftCapExceeded       Rule = "shift_cap_exceeded"
	WrongAnswer            Rule = "wrong_answer" // received completely, but truncated, crossed or inconsistent
	LostAnswer             Rule = "lost_answer"  // the connection ended before the answer, or no answer came in time
	BadError               Rule = "bad_error"    // an error without the documented body
	RequestBodyChanged     Rule = "request_body_changed"
	RequestOnLeavingTarget Rule = "new_request_on_leaving_target"
	RequestsInPause        Rule = "requests_in_pause" // more than maxInPause requests and probes reached a target that wanted none
	CallWithoutEnd         Rule = "call_without_end"
	ServiceGap             Rule = "gap_in_service"      // no complete answer on a route for longer than MaxGap
	DecisionNotLogged      Rule = "decision_not_logged" // the number of logged decisions differs from the number of requests that reached the target
)

// Finding is one broken rule.
type Finding struct {
	Rule    Rule   `json:"rule"`
	Message string `json:"message"`
}

// Options sets the bounds and the faults that a check allows.
type Options struct {
	Caps       map[string]int   // shift to cap
	DrainBound time.Duration    // longest time from a leaving record to a new request on the target
	AllowLost  bool             // connections may end early because a process was killed
	AllowShed  bool             // targets may shed because nothing limits the load
	MaxGap     time.Duration    // longest time between complete answers of a route; 0: not checked
	Decisions  []LoggedDecision // decisions that entries logged; nil: not checked
}

// DefaultDrainBound is the bound of guarantee 6: a leaving target gets no new
// requests after this time.
const DefaultDrainBound = 3 * time.Second

// Report is the result of a check.
type Report struct {
	Starts                 int            `json:"starts"`
	Finishes               int            `json:"finishes"`
	Sheds                  int            `json:"sheds"`
	Cancelled              int            `json:"cancelled"`
	Calls                  int            `json:"calls"`
	Attempts               int            `json:"attempts"`
	Kinds                  map[string]int `json:"kinds"` // attempts by error kind; "ok" for successes
	Keys                   int            `json:"keys"`  // distinct keys that ran
	MaxByShift             map[string]int `json:"most_by_shift"`
	MaxByTarget            map[string]int `json:"most_by_target"`
	Drains                 int            `json:"drains"`
	Pauses                 int            `json:"pauses"`         // announced by targets
	MaxStartAfterLeavingMs float64        `json:"last_new_ms"`    // longest time from a leaving record to a new request on that target
	LongestGapMs           float64        `json:"longest_gap_ms"` // longest time between complete answers of a route
	Findings               []Finding      `json:"findings"`
}

// checker holds the records of a check, indexed by attempt and key.
type checker struct {
	opts    Options
	targets []journal.Target // in order of time
	callers []journal.Caller
	starts  map[attemptID][]journal.Target
	byKey   map[string][]journal.Target // starts
	report  Report
}

// attemptID identifies an attempt in the journals of targets and callers.
type attemptID struct {
	call    string
	attempt int
}

// Run checks the journals.
func Run(targets []journal.Target, callers []journal.Caller, opts Options) Report {
	c := &checker{
		opts:    opts,
		targets: slices.Clone(targets),
		callers: callers,
		starts:  map[attemptID][]journal.Target{},
		byKey:   map[string][]journal.Target{},
	}
	c.report.Kinds = map[string]int{}
	c.report.MaxByShift = map[string]int{}
	c.report.MaxByTarget = map[string]int{}
	slices.SortStableFunc(c.targets, func(a, b journal.Target) int { return compare(a.Time, b.Time) })
	c.index()
	c.checkKeys()
	c.checkNotRun()
	c.checkSlots()
	c.checkCaps()
	c.checkAnswers()
	c.checkBodies()
	c.checkDrains()
	c.checkPauses()
	c.checkGaps()
	c.checkDecisions()
	return c.report
}

func compare(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (c *checker) index() {
	for _, t := range c.targets {
		switch t.Event {
		case journal.Start:
			c.report.Starts++
			id := attemptID{t.Call, t.Attempt}
			c.starts[id] = append(c.starts[id], t)
			if t.Key != "" {
				c.byKey[t.Key] = append(c.byKey[t.Key], t)
			}
		case journal.Finish:
			c.report.Finishes++
			if t.Cancelled {
				c.report.Cancelled++
			}
		case journal.Shed:
			c.report.Sheds++
		}
	}
	c.report.Keys = len(c.byKey)
}

func (c *checker) addFinding(rule Rule, format string, args ...any) {
	c.report.Findings = append(c.report.Findings, Finding{Rule: rule, Message: fmt.Sprintf(format, args...)})
}

// maxPrintedFindings bounds the findings of one rule that Print writes.
const maxPrintedFindings = 10

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "targets: %d starts, %d finishes, %d cancelled, %d shed, %d keys\n", r.Starts, r.Finishes, r.Cancelled, r.Sheds, r.Keys)
	fmt.Fprintf(w, "callers: %d calls, %d attempts\n", r.Calls, r.Attempts)
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		fmt.Fprintf(w, "  %s: %d\n", kind, r.Kinds[kind])
	}
	for _, shift := range slices.Sorted(maps.Keys(r.MaxByShift)) {
		fmt.Fprintf(w, "shift %s: at most %d in progress\n", shift, r.MaxByShift[shift])
	}
	if r.Drains > 0 {
		fmt.Fprintf(w, "drains: %d, last new request %.1f ms after the mark\n", r.Drains, r.MaxStartAfterLeavingMs)
	}
	if r.Pauses > 0 {
		fmt.Fprintf(w, "pauses: %d\n", r.Pauses)
	}
	if r.Calls > 0 {
		fmt.Fprintf(w, "longest time without a whole answer on a route: %.1f ms\n", r.LongestGapMs)
	}
	counts := map[Rule]int{}
	for _, f := range r.Findings {
		counts[f.Rule]++
		if counts[f.Rule] <= maxPrintedFindings {
			fmt.Fprintf(w, "FINDING %s: %s\n", f.Rule, f.Message)
		}
	}
	for _, rule := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s: %d findings\n", rule, counts[rule])
	}
	fmt.Fprintf(w, "findings: %d\n", len(r.Findings))
}
