package check

import (
	"fmt"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// keys finds keys that ran more than once.
func (c *checker) keys() {
	for key, starts := range c.byKey {
		if len(starts) > 1 {
			c.find(KeyTwice, "key %q ran %d times: at %s and at %s, %.1f ms apart", key, len(starts),
				starts[0].Target, starts[1].Target, milliseconds(starts[1].Time-starts[0].Time))
		}
	}
}

// notRun finds attempts that were reported as not run and ran, and keys that
// were reported as not run after they had started.
func (c *checker) notRun() {
	for _, a := range c.callers {
		if a.DidRun != string(errkind.No) {
			continue
		}
		if starts := c.starts[attemptID{a.Call, a.Attempt}]; len(starts) > 0 {
			c.find(NotRunRan, "call %s attempt %d got %s from %s but ran at %s", a.Call, a.Attempt, a.Kind, a.Entry, starts[0].Target)
			continue
		}
		if a.Key == "" || a.Status == 0 {
			continue // without an answer the caller knows only about this attempt
		}
		for _, start := range c.byKey[a.Key] {
			if start.Time < a.Sent {
				c.find(KeyNotRunRan, "key %q got %s from %s but had started at %s %.1f ms before", a.Key, a.Kind, a.Entry,
					start.Target, milliseconds(a.Sent-start.Time))
			}
		}
	}
}

// slots finds targets that had more requests than slots, and requests that
// they had to shed.
func (c *checker) slots() {
	for i, t := range c.targets {
		if t.Event != journal.Start && t.Event != journal.Shed {
			continue
		}
		c.report.MostByTarget[t.Target] = max(c.report.MostByTarget[t.Target], t.InProgress)
		if t.InProgress > t.Slots {
			c.find(Slots, "target %s had %d requests in progress in %d slots", t.Target, t.InProgress, t.Slots)
		}
		if t.Event == journal.Shed && !c.opts.AllowShed {
			c.find(Slots, "target %s with %d slots shed call %s%s", t.Target, t.Slots, t.Call, c.nextFinish(i))
		}
	}
}

// nextFinish describes the first request that ended on the same target after
// record i: a slot that was given back before the target noticed a
// cancellation shows up there.
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

// caps counts the requests in progress of each shift over all targets.
func (c *checker) caps() {
	inProgress := map[string]int{}
	exceeded := map[string]bool{}
	running := map[string]map[int64]string{} // target to sequence number to shift
	runs := map[string]int64{}
	for _, t := range c.targets {
		if runs[t.Target] != t.Run { // a restarted target runs nothing of before
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
			c.noteShift(t.Shift, inProgress[t.Shift], exceeded)
		case journal.Finish:
			delete(running[t.Target], t.Seq)
			inProgress[t.Shift]--
		}
	}
}

func (c *checker) noteShift(shift string, n int, exceeded map[string]bool) {
	c.report.MostByShift[shift] = max(c.report.MostByShift[shift], n)
	limit, limited := c.opts.Caps[shift]
	if limited && n > limit && !exceeded[shift] {
		exceeded[shift] = true
		c.find(ShiftCap, "shift %q had %d requests in progress with a cap of %d", shift, n, limit)
	}
}

// answers finds wrong and lost answers and calls without an end.
func (c *checker) answers() {
	ended := map[string]bool{}
	for _, a := range c.callers {
		c.report.Attempts++
		kind := a.Kind
		if kind == "" {
			kind = "ok"
		}
		c.report.Kinds[kind]++
		ended[a.Call] = ended[a.Call] || a.Last
		c.answer(a)
	}
	c.report.Calls = len(ended)
	for call, end := range ended {
		if !end {
			c.find(Unfinished, "call %s has no last attempt", call)
		}
	}
}

// Kinds that the load tool gives to the ends of connections.
const (
	connectionLost = "caller_connection_lost"
	timedOut       = "caller_timeout"
	badErrorBody   = "caller_bad_error_body"
)

func (c *checker) answer(a journal.Caller) {
	if a.Wrong != "" {
		c.find(WrongAnswer, "call %s attempt %d at %s: %s", a.Call, a.Attempt, a.Entry, a.Wrong)
	}
	switch a.Kind {
	case badErrorBody:
		c.find(BadError, "call %s attempt %d at %s: %s", a.Call, a.Attempt, a.Entry, a.Detail)
	case connectionLost, timedOut:
		if !c.opts.AllowLost && !c.faulty(a) {
			c.find(LostAnswer, "call %s attempt %d at %s: %s: %s", a.Call, a.Attempt, a.Entry, a.Kind, a.Detail)
		}
	}
}

// faulty reports whether the target was told to spoil the answer.
func (c *checker) faulty(a journal.Caller) bool {
	for _, t := range c.starts[attemptID{a.Call, a.Attempt}] {
		if t.Fault != "" {
			return true
		}
	}
	return false
}

// bodies finds requests whose body did not reach the target whole.
func (c *checker) bodies() {
	sent := map[attemptID]int64{}
	for _, a := range c.callers {
		sent[attemptID{a.Call, a.Attempt}] = a.BodyBytes
	}
	for _, t := range c.targets {
		want, known := sent[attemptID{t.Call, t.Attempt}]
		if t.Event == journal.Finish && known && !t.Cancelled && t.BodyBytes != want {
			c.find(RequestBody, "call %s attempt %d reached %s with %d of %d body bytes", t.Call, t.Attempt, t.Target, t.BodyBytes, want)
		}
	}
}

// drains finds new requests on targets that leave.
func (c *checker) drains() {
	leaving := map[string]int64{}
	for _, t := range c.targets {
		switch t.Event {
		case journal.Leaving:
			c.report.Drains++
			leaving[t.Target] = t.Time
		case journal.Back:
			delete(leaving, t.Target)
		case journal.Start:
			if since, ok := leaving[t.Target]; ok {
				c.newOnLeaving(t, time.Duration(t.Time-since))
			}
		}
	}
}

func (c *checker) newOnLeaving(t journal.Target, after time.Duration) {
	c.report.LastNewMs = max(c.report.LastNewMs, milliseconds(int64(after)))
	if after > c.opts.DrainBound {
		c.find(Drain, "target %s got call %s %s after it began to leave", t.Target, t.Call, after)
	}
}

func milliseconds(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }
