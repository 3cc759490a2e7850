package check

import (
	"fmt"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// checkKeys finds idempotency keys that ran more than once.
func (c *checker) checkKeys() {
	for key, starts := range c.byKey {
		if len(starts) > 1 {
			c.addFinding(KeyRanTwice, "key %q ran %d times: at %s and at %s, %.1f ms apart", key, len(starts),
				starts[0].Target, starts[1].Target, milliseconds(starts[1].Time-starts[0].Time))
		}
	}
}

// checkNotRun finds attempts that ran although they were reported as not run,
// and keys that were reported as not run after they had started.
func (c *checker) checkNotRun() {
	for _, a := range c.callers {
		if a.DidRun != string(errkind.No) {
			continue
		}
		if starts := c.starts[attemptID{a.Call, a.Attempt}]; len(starts) > 0 {
			c.addFinding(NotRunButRan, "call %s attempt %d got %s from %s but ran at %s", a.Call, a.Attempt, a.Kind, a.Entry, starts[0].Target)
			continue
		}
		if a.Key == "" || a.Status == 0 {
			continue // without an answer, "not run" is the caller's own statement about this attempt only
		}
		for _, start := range c.byKey[a.Key] {
			if start.Time < a.Sent {
				c.addFinding(KeyNotRunButRan, "key %q got %s from %s but had started at %s %.1f ms before", a.Key, a.Kind, a.Entry,
					start.Target, milliseconds(a.Sent-start.Time))
			}
		}
	}
}

// checkSlots finds targets that had more requests in progress than slots, and
// requests that they shed.
func (c *checker) checkSlots() {
	for i, t := range c.targets {
		if t.Event != journal.Start && t.Event != journal.Shed {
			continue
		}
		c.report.MaxByTarget[t.Target] = max(c.report.MaxByTarget[t.Target], t.InProgress)
		if t.InProgress > t.Slots {
			c.addFinding(SlotsExceeded, "target %s had %d requests in progress in %d slots", t.Target, t.InProgress, t.Slots)
		}
		if t.Event == journal.Shed && !c.opts.AllowShed {
			c.addFinding(SlotsExceeded, "target %s with %d slots shed call %s%s", t.Target, t.Slots, t.Call, c.nextFinish(i))
		}
	}
}

// nextFinish describes the first request that ended on the same target after
// record i. It shows whether the target shed a request because the system
// released a slot before the target noticed a cancellation.
func (c *checker) nextFinish(i int) string {
	shed := c.targets[i]
	for _, t := range c.targets[i+1:] {
		if t.Target != shed.Target || t.Event != journal.Finish {
			continue
		}
		end := "ended"
		if t.Cancelled {
			end = "was cancelled"
		}
		return fmt.Sprintf("; the next request there %s %.3f ms later", end, milliseconds(t.Time-shed.Time))
	}
	return ""
}

// checkCaps finds shifts that had more requests in progress over all targets
// than their caps allow.
func (c *checker) checkCaps() {
	inProgress := map[string]int{}
	exceeded := map[string]bool{}
	running := map[string]map[int64]string{} // target to sequence number to shift
	runs := map[string]int64{}
	for _, t := range c.targets {
		if runs[t.Target] != t.Run { // a restarted target no longer runs the requests of its previous process
			for _, shift := range running[t.Target] {
				inProgress[shift]--
			}
			runs[t.Target] = t.Run
			running[t.Target] = map[int64]string{}
		}
		switch t.Event {
		case journal.Start:
			running[t.Target][t.Seq] = t.Shift
			inProgress[t.Shift]++
			c.recordShift(t.Shift, inProgress[t.Shift], exceeded)
		case journal.Finish:
			delete(running[t.Target], t.Seq)
			inProgress[t.Shift]--
		}
	}
}

func (c *checker) recordShift(shift string, n int, exceeded map[string]bool) {
	c.report.MaxByShift[shift] = max(c.report.MaxByShift[shift], n)
	limit, limited := c.opts.Caps[shift]
	if limited && n > limit && !exceeded[shift] {
		exceeded[shift] = true
		c.addFinding(ShiftCapExceeded, "shift %q had %d requests in progress with a cap of %d", shift, n, limit)
	}
}

// checkAnswers finds wrong and lost answers, and calls whose last attempt is
// not recorded.
func (c *checker) checkAnswers() {
	ended := map[string]bool{}
	for _, a := range c.callers {
		c.report.Attempts++
		kind := a.Kind
		if kind == "" {
			kind = "ok"
		}
		c.report.Kinds[kind]++
		ended[a.Call] = ended[a.Call] || a.Last
		c.checkAnswer(a)
	}
	c.report.Calls = len(ended)
	for call, end := range ended {
		if !end {
			c.addFinding(CallWithoutEnd, "call %s has no last attempt", call)
		}
	}
}

// Error kinds that the load generator assigns itself.
const (
	connectionLost = "caller_connection_lost"
	timedOut       = "caller_timeout"
	badErrorBody   = "caller_bad_error_body"
)

func (c *checker) checkAnswer(a journal.Caller) {
	if a.Wrong != "" {
		c.addFinding(WrongAnswer, "call %s attempt %d at %s: %s", a.Call, a.Attempt, a.Entry, a.Wrong)
	}
	switch a.Kind {
	case badErrorBody:
		c.addFinding(BadError, "call %s attempt %d at %s: %s", a.Call, a.Attempt, a.Entry, a.Detail)
	case connectionLost, timedOut:
		if !c.opts.AllowLost && !c.faultInjected(a) {
			c.addFinding(LostAnswer, "call %s attempt %d at %s: %s: %s", a.Call, a.Attempt, a.Entry, a.Kind, a.Detail)
		}
	}
}

// faultInjected reports whether the target that got the attempt had an
// injected fault.
func (c *checker) faultInjected(a journal.Caller) bool {
	for _, t := range c.starts[attemptID{a.Call, a.Attempt}] {
		if t.Fault != "" {
			return true
		}
	}
	return false
}

// checkBodies finds requests whose body reached the target with a different
// length.
func (c *checker) checkBodies() {
	sent := map[attemptID]int64{}
	for _, a := range c.callers {
		sent[attemptID{a.Call, a.Attempt}] = a.BodyBytes
	}
	for _, t := range c.targets {
		want, known := sent[attemptID{t.Call, t.Attempt}]
		if t.Event == journal.Finish && known && !t.Cancelled && t.BodyBytes != want {
			c.addFinding(RequestBodyChanged, "call %s attempt %d reached %s with %d of %d body bytes", t.Call, t.Attempt, t.Target, t.BodyBytes, want)
		}
	}
}

// checkDrains finds new requests on targets that are leaving.
func (c *checker) checkDrains() {
	leaving := map[string]int64{}
	for _, t := range c.targets {
		switch t.Event {
		case journal.Leaving:
			c.report.Drains++
			leaving[t.Target] = t.Time
		case journal.Returned:
			delete(leaving, t.Target)
		case journal.Start:
			if since, ok := leaving[t.Target]; ok {
				c.checkStartOnLeaving(t, time.Duration(t.Time-since))
			}
		}
	}
}

func (c *checker) checkStartOnLeaving(t journal.Target, after time.Duration) {
	c.report.MaxStartAfterLeavingMs = max(c.report.MaxStartAfterLeavingMs, milliseconds(int64(after)))
	if after > c.opts.DrainBound {
		c.addFinding(RequestOnLeavingTarget, "target %s got call %s %s after it began to leave", t.Target, t.Call, after)
	}
}

// A target that has announced a pause gets at most maxInPause requests and probes from
// pauseReaction after its answer until the end of the pause.
const (
	maxInPause    = 2
	pauseReaction = 500 * time.Millisecond
)

// checkPauses finds targets that got requests or probes within a pause.
func (c *checker) checkPauses() {
	for i, t := range c.targets {
		if t.Event != journal.Pause || t.PauseMs == 0 {
			continue
		}
		c.report.Pauses++
		from, until := t.Time+int64(pauseReaction), t.Time+t.PauseMs*int64(time.Millisecond)
		n := 0
		for _, later := range c.targets[i+1:] {
			if later.Time > until {
				break
			}
			if later.Target == t.Target && later.Run == t.Run && later.Time > from && later.Event.IsArrival() {
				n++
			}
		}
		if n > maxInPause {
			c.addFinding(RequestsInPause, "target %s got %d requests and probes within the pause of %d ms that it announced to call %s", t.Target, n, t.PauseMs, t.Call)
		}
	}
}

func milliseconds(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }
