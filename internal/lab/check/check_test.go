package check

import (
	"slices"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

const ms = int64(time.Millisecond)

func start(at int64, call string) journal.Target {
	return journal.Target{Time: at * ms, Event: journal.Start, Target: "t", Run: 1, Seq: at, Call: call, Attempt: 1, Shift: "s", InProgress: 1, Slots: 2}
}

func finish(at int64, of journal.Target) journal.Target {
	of.Time, of.Event, of.InProgress = at*ms, journal.Finish, 0
	return of
}

func keyed(t journal.Target, key string) journal.Target {
	t.Key = key
	return t
}

func caller(call, kind, didRun string) journal.Caller {
	return journal.Caller{Call: call, Attempt: 1, Kind: kind, DidRun: didRun, Status: 200, Sent: 50 * ms, Last: true}
}

// Guards against a check that accepts journals with a broken guarantee, or
// that reports a finding for journals without one.
func TestRules(t *testing.T) {
	a, b := start(1, "a"), start(2, "b")
	over := start(3, "c")
	over.InProgress = 3
	faulty := start(1, "a")
	faulty.Fault = "short_broken"
	restarted := start(5, "b")
	restarted.Run = 2
	leaving := journal.Target{Time: 0, Event: journal.Leaving, Target: "t", Run: 1}
	back := journal.Target{Time: 10 * ms, Event: journal.Returned, Target: "t", Run: 1}
	keyNo := caller("b", "queue_full", "no")
	keyNo.Key = "k"
	wrong := caller("a", "", "yes")
	wrong.Wrong = "truncated"
	unfinished := caller("a", "queue_full", "no")
	unfinished.Last = false
	bodied := caller("a", "", "yes")
	bodied.BodyBytes = 7
	gap := caller("b", "", "yes")
	gap.Done = 2000 * ms
	logged := start(1, "a")
	logged.RequestID = "r"
	unlogged := start(2, "b")
	unlogged.RequestID = "other"
	paused := journal.Target{Time: 0, Event: journal.Pause, Target: "t", Run: 1, Slots: 2, Call: "p", PauseMs: 1000}
	noLength := paused
	noLength.PauseMs = 0
	probe := journal.Target{Time: 900 * ms, Event: journal.Probe, Target: "t", Run: 1, Slots: 2}
	late, again := start(700, "a"), start(800, "b")
	afterRestart := restarted
	afterRestart.Time = 750 * ms
	tests := []struct {
		name    string
		targets []journal.Target
		callers []journal.Caller
		want    []Rule
	}{
		{"clean", []journal.Target{a, finish(9, a)}, []journal.Caller{caller("a", "", "yes")}, nil},
		{"key ran twice", []journal.Target{keyed(a, "k"), keyed(b, "k")}, nil, []Rule{KeyRanTwice}},
		{"not run but ran", []journal.Target{a}, []journal.Caller{caller("a", "queue_full", "no")}, []Rule{NotRunButRan}},
		{"key not run but ran", []journal.Target{keyed(a, "k")}, []journal.Caller{keyNo}, []Rule{KeyNotRunButRan}},
		{"slots", []journal.Target{over}, nil, []Rule{SlotsExceeded}},
		{"shed", []journal.Target{{Event: journal.Shed, InProgress: 2, Slots: 2, Run: 1}}, nil, []Rule{SlotsExceeded}},
		{"cap", []journal.Target{a, b}, nil, []Rule{ShiftCapExceeded}},
		{"cap after finish", []journal.Target{a, finish(2, a), start(3, "b")}, nil, nil},
		{"cap after restart of the target", []journal.Target{a, restarted}, nil, nil},
		{"wrong answer", nil, []journal.Caller{wrong}, []Rule{WrongAnswer}},
		{"lost answer", nil, []journal.Caller{caller("a", connectionLost, "unknown")}, []Rule{LostAnswer}},
		{"lost by a fault that was set", []journal.Target{faulty}, []journal.Caller{caller("a", connectionLost, "unknown")}, nil},
		{"bad error", nil, []journal.Caller{caller("a", badErrorBody, "unknown")}, []Rule{BadError}},
		{"no end", nil, []journal.Caller{unfinished}, []Rule{CallWithoutEnd}},
		{"request body", []journal.Target{a, finish(2, a)}, []journal.Caller{bodied}, []Rule{RequestBodyChanged}},
		{"drain within bound", []journal.Target{leaving, start(4, "a")}, nil, nil},
		{"drain", []journal.Target{leaving, start(6, "a")}, nil, []Rule{RequestOnLeavingTarget}},
		{"gap", nil, []journal.Caller{gap}, []Rule{ServiceGap}},
		{"decision", []journal.Target{logged, finish(2, logged), unlogged}, nil, []Rule{DecisionNotLogged}},
		{"two requests in a pause", []journal.Target{paused, late, finish(701, late), again, finish(801, again)}, nil, nil},
		{"three in a pause", []journal.Target{paused, late, finish(701, late), again, finish(801, again), probe}, nil, []Rule{RequestsInPause}},
		{"before and after a pause", []journal.Target{paused, a, finish(2, a), late, finish(701, late), again, finish(801, again), start(1100, "c")}, nil, nil},
		{"pause of the process before", []journal.Target{paused, late, finish(701, late), afterRestart, finish(790, afterRestart), again}, nil, nil},
		{"pause without a length", []journal.Target{noLength, late, finish(701, late), again, finish(801, again), probe}, nil, nil},
		{"back after drain", []journal.Target{leaving, back, start(11, "a")}, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			opts := Options{Caps: map[string]int{"s": 1}, DrainBound: 5 * time.Millisecond}
			switch tt.name {
			case "key ran twice":
				opts.Caps = nil
			case "gap":
				opts.MaxGap = time.Second
			case "decision":
				opts.Decisions = []LoggedDecision{{decisionMessage, "r", "t"}}
			}
			var got []Rule
			for _, f := range Run(tt.targets, tt.callers, opts).Findings {
				got = append(got, f.Rule)
			}
			if !slices.Equal(got, tt.want) {
				t.Fatalf("findings %v, want %v", got, tt.want)
			}
		})
	}
}
