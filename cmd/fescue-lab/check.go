package main

import (
	"os"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/lab/check"
	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// checkCommandFlags name the journals and set the expectations for the check.
type checkCommandFlags struct {
	targets []string
	callers []string
	caps    []string
	logs    []string
	json    string
	opts    check.Options
}

func checkCommand() command {
	f := &checkCommandFlags{opts: check.Options{DrainBound: check.DefaultDrainBound}}
	sub := flaggy.NewSubcommand("check")
	sub.Description = "Check the journals of targets and callers against the guarantees."
	sub.StringSlice(&f.targets, "t", "targets", "journal of targets; repeatable")
	sub.StringSlice(&f.callers, "l", "callers", "journal of the load tool; repeatable")
	sub.StringSlice(&f.caps, "", "cap", "cap of a shift as name=number; repeatable")
	sub.Duration(&f.opts.DrainBound, "", "drain-bound", "longest time from the leaving mark of a target to its last new request")
	sub.Bool(&f.opts.AllowLost, "", "allow-lost", "accept connections that ended early because a process was killed")
	sub.Bool(&f.opts.AllowShed, "", "allow-shed", "accept requests that targets shed, for runs in which nothing limits the load")
	sub.Duration(&f.opts.MaxGap, "", "max-gap", "longest time without a complete response on a route")
	sub.StringSlice(&f.logs, "", "entry-log", "log of an entry whose dispatch decisions are checked; repeatable")
	sub.String(&f.json, "", "json", "file for the report as JSON")
	return command{parser: sub, run: f.run}
}

func (f *checkCommandFlags) run() error {
	var err error
	if f.opts.Caps, err = parseCaps(f.caps); err != nil {
		return err
	}
	targets, err := readJournals[journal.Target](f.targets)
	if err != nil {
		return err
	}
	callers, err := readJournals[journal.Caller](f.callers)
	if err != nil {
		return err
	}
	if len(f.logs) > 0 {
		f.opts.Decisions = []check.LoggedDecision{}
	}
	for _, path := range f.logs {
		decided, err := check.ReadDecisions(path)
		if err != nil {
			return err
		}
		f.opts.Decisions = append(f.opts.Decisions, decided...)
	}
	report := check.Run(targets, callers, f.opts)
	report.Print(os.Stdout)
	if err := writeJSON(f.json, report); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return errkind.New(errkind.Internal, "the journals show %d broken guarantees", len(report.Findings))
	}
	return nil
}

// readJournals returns the records of all journals. A journal without records is an
// error, because a check of nothing would pass.
func readJournals[T any](paths []string) ([]T, error) {
	var out []T
	for _, path := range paths {
		recs, err := journal.Read[T](path)
		if err != nil {
			return nil, err
		}
		if len(recs) == 0 {
			return nil, errkind.New(errkind.InvalidSettings, "journal %s has no records to check", path)
		}
		out = append(out, recs...)
	}
	return out, nil
}

// parseCaps parses caps of the form name=number.
func parseCaps(args []string) (map[string]int, error) {
	out := map[string]int{}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return nil, errkind.New(errkind.InvalidSettings, "--cap %q is not of the form name=number", arg)
		}
		out[name] = n
	}
	return out, nil
}
