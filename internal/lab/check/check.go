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

// Rule names what a finding breaks.
type Rule string

// The rules.
const (
	KeyTwice     Rule = "key_ran_twice"
	NotRunRan    Rule = "not_run_but_ran"     // the attempt that was reported as not run ran
	KeyNotRunRan Rule = "key_not_run_but_ran" // the key had run in an earlier attempt
	Slots        Rule = "slots_exceeded"
	ShiftCap     Rule = "shift_cap_exceeded"
	WrongAnswer  Rule = "wrong_answer" // cleanly ended, but truncated, crossed or inconsistent
	LostAnswer   Rule = "lost_answer"  // the connection ended before the answer, or no answer came in time
	BadError     Rule = "bad_error"    // an error without the documented body
	RequestBody  Rule = "request_body_changed"
	Drain        Rule = "new_request_on_leaving_target"
	Unfinished   Rule = "call_without_end"
	Gap          Rule = "gap_in_service"      // no whole answer for too long
	Decision     Rule = "decision_not_logged" // not exactly one line for a request that reached a target
)

// Finding is one broken rule.
type Finding struct {
	Rule    Rule   `json:"rule"`
	Message string `json:"message"`
}

// Options sets what is expected.
type Options struct {
	Caps       map[string]int // shift to cap
	DrainBound time.Duration  // from a leaving mark to the last new request
	AllowLost  bool           // connections may end early: a process was killed
	AllowShed  bool           // targets may shed: nothing limits the load
	MaxGap     time.Duration  // between whole answers of a route; 0: any
	Decisions  []Decided      // decisions that entries logged; nil: not checked
}

// DefaultDrainBound is the bound of guarantee 6.
const DefaultDrainBound = 3 * time.Second

// Report is the result of a check.
type Report struct {
	Starts       int            `json:"starts"`
	Finishes     int            `json:"finishes"`
	Sheds        int            `json:"sheds"`
	Cancelled    int            `json:"cancelled"`
	Calls        int            `json:"calls"`
	Attempts     int            `json:"attempts"`
	Kinds        map[string]int `json:"kinds"` // of attempts; "ok" for whole answers
	Keys         int            `json:"keys"`  // distinct keys that ran
	MostByShift  map[string]int `json:"most_by_shift"`
	MostByTarget map[string]int `json:"most_by_target"`
	Drains       int            `json:"drains"`
	LastNewMs    float64        `json:"last_new_ms"`    // greatest time from a leaving mark to a new request there
	LongestGapMs float64        `json:"longest_gap_ms"` // between whole answers of a route
	Findings     []Finding      `json:"findings"`
}

// checker holds the records in indexed form.
type checker struct {
	opts    Options
	targets []journal.Target // in order of time
	callers []journal.Caller
	starts  map[attemptID][]journal.Target
	byKey   map[string][]journal.Target // starts
	report  Report
}

// attemptID identifies an attempt in both kinds of journal.
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
	c.report.MostByShift = map[string]int{}
	c.report.MostByTarget = map[string]int{}
	slices.SortStableFunc(c.targets, func(a, b journal.Target) int { return compare(a.Time, b.Time) })
	c.index()
	c.keys()
	c.notRun()
	c.slots()
	c.caps()
	c.answers()
	c.bodies()
	c.drains()
	c.gaps()
	c.decisions()
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

func (c *checker) find(rule Rule, format string, args ...any) {
	c.report.Findings = append(c.report.Findings, Finding{Rule: rule, Message: fmt.Sprintf(format, args...)})
}

// shown bounds the findings of one rule in the text form.
const shown = 10

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "targets: %d starts, %d finishes, %d cancelled, %d shed, %d keys\n", r.Starts, r.Finishes, r.Cancelled, r.Sheds, r.Keys)
	fmt.Fprintf(w, "callers: %d calls, %d attempts\n", r.Calls, r.Attempts)
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		fmt.Fprintf(w, "  %s: %d\n", kind, r.Kinds[kind])
	}
	for _, shift := range slices.Sorted(maps.Keys(r.MostByShift)) {
		fmt.Fprintf(w, "shift %s: at most %d in progress\n", shift, r.MostByShift[shift])
	}
	if r.Drains > 0 {
		fmt.Fprintf(w, "drains: %d, last new request %.1f ms after the mark\n", r.Drains, r.LastNewMs)
	}
	if r.Calls > 0 {
		fmt.Fprintf(w, "longest time without a whole answer on a route: %.1f ms\n", r.LongestGapMs)
	}
	counts := map[Rule]int{}
	for _, f := range r.Findings {
		counts[f.Rule]++
		if counts[f.Rule] <= shown {
			fmt.Fprintf(w, "FINDING %s: %s\n", f.Rule, f.Message)
		}
	}
	for _, rule := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s: %d findings\n", rule, counts[rule])
	}
	fmt.Fprintf(w, "findings: %d\n", len(r.Findings))
}
